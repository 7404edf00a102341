//! Eligibility: which backends may receive a request now. Read [`EligibilityRules::decide`] first, which
//! asks the rules on failures, capacity, warm-up and idempotency in turn.

use super::concurrency_limit::{self, CapacityDecision, ProxyQuota};
use super::outlier_ejection::{self, ExclusionScope, OutlierDecision};
use super::retry::idempotency;
use super::slow_start::{self, SlowStartDecision, WarmUpInputs};
use crate::interface::BackendId;
use crate::settings::SafetyLimits;
use crate::state::{Backend, BackendTable, PendingRequest, Tier};
use crate::time::Timestamp;

/// Whether a cache node may receive a request, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eligibility {
    /// It may.
    Eligible,
    /// Connections to it failed (`outlier_ejection`).
    Ejected,
    /// Its recent attempts failed (`outlier_ejection`).
    Outlier,
    /// It has no capacity for one more attempt (`concurrency_limit`).
    NoCapacity,
    /// It warms up, and this request is beyond what it may get (`slow_start`).
    WarmingUp,
    /// Another attempt there could have an effect twice (`retry::idempotency`).
    RepeatUnsafe,
}

/// What holds for all nodes while the eligible backends for one request are found.
#[derive(Clone, Copy, Debug)]
pub(super) struct EligibilityRules<'a> {
    /// Whether outliers and ejected nodes are excluded.
    pub(super) exclusion: ExclusionScope,
    /// What the request has to do with nodes that warm up.
    pub(super) warm_up: WarmUpInputs,
    /// What the operators' rules allow.
    pub(super) safety_limits: &'a SafetyLimits,
    /// This proxy's quota.
    pub(super) quota: &'a ProxyQuota,
    /// All backends, by which a first attempt's backend is found.
    pub(super) backends: &'a BackendTable,
    /// The time now.
    pub(super) now: Timestamp,
}

impl EligibilityRules<'_> {
    /// Decides: whether a cache node may receive a request.
    /// Inputs: the node; the request with its attempts; what holds for all nodes.
    /// Reason: each rule can forbid it alone; the answer names the first that does.
    /// Source: the rules named by [`Eligibility`].
    pub(super) fn decide(&self, node: &Backend, pending: &PendingRequest) -> Eligibility {
        match outlier_ejection::decide(node, self.exclusion, self.now) {
            OutlierDecision::Ejected => return Eligibility::Ejected,
            OutlierDecision::Outlier => return Eligibility::Outlier,
            OutlierDecision::Eligible => {}
        }
        match concurrency_limit::decide_capacity(node, Tier::CacheNodes, self.quota, self.now) {
            CapacityDecision::Full | CapacityDecision::CoolingDown => return Eligibility::NoCapacity,
            CapacityDecision::Available => {}
        }
        match slow_start::decide(node, self.safety_limits, self.warm_up, self.now) {
            SlowStartDecision::WarmingUp => return Eligibility::WarmingUp,
            SlowStartDecision::Warm | SlowStartDecision::WithinFraction => {}
        }
        if idempotency::safety_at_backend(pending, &node.info, self.backends).is_safe() {
            Eligibility::Eligible
        } else {
            Eligibility::RepeatUnsafe
        }
    }

    /// Returns the cache nodes that may receive this request. Nodes where it was attempted without a
    /// miss are included only if no other is eligible.
    pub(super) fn eligible_nodes(&self, nodes: &[&Backend], pending: &PendingRequest) -> Vec<BackendId> {
        let is_eligible = |node: &&&Backend| self.decide(node, pending) == Eligibility::Eligible;
        let eligible: Vec<BackendId> = nodes.iter().filter(is_eligible).map(|node| node.id()).collect();
        let untried: Vec<BackendId> =
            eligible.iter().copied().filter(|id| !pending.has_attempt_without_miss_at(*id)).collect();
        if untried.is_empty() {
            eligible
        } else {
            untried
        }
    }
}

#[cfg(test)]
mod tests;
