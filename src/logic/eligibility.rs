//! Eligibility: which cache nodes may receive a request now. Read [`EligibilityRules::decide`]
//! first, which evaluates the rules on failures, capacity, warm-up and idempotency in turn.

use super::concurrency_limit::{self, CapacityDecision, ProxyQuota};
use super::outlier_ejection::{self, ExclusionScope, OutlierDecision};
use super::retry::idempotency;
use super::slow_start::{self, SlowStartDecision, WarmUpInputs};
use crate::interface::BackendId;
use crate::settings::SafetyLimits;
use crate::state::{Backend, BackendTable, PendingRequest, Tier};
use crate::time::Timestamp;

/// Whether a cache node may receive a request, and the first rule that forbids it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eligibility {
    /// The node may receive the request.
    Eligible,
    /// Connections to the node failed (`outlier_ejection`).
    Ejected,
    /// Recent attempts at the node failed (`outlier_ejection`).
    Outlier,
    /// The node has no capacity for one more attempt (`concurrency_limit`).
    NoCapacity,
    /// The node warms up, and the request exceeds what the node may receive (`slow_start`).
    WarmingUp,
    /// An attempt at the node could apply the request's effect a second time
    /// (`retry::idempotency`).
    RepeatUnsafe,
}

/// The inputs that all nodes have in common while the eligible nodes for one request are
/// determined.
#[derive(Clone, Copy, Debug)]
pub(super) struct EligibilityRules<'a> {
    /// Whether outliers and ejected nodes are excluded at all.
    pub(super) exclusion: ExclusionScope,
    /// The inputs of the slow-start rule that depend on the request.
    pub(super) warm_up: WarmUpInputs,
    /// The safety limits from the settings.
    pub(super) safety_limits: &'a SafetyLimits,
    /// The quota of this proxy.
    pub(super) quota: &'a ProxyQuota,
    /// All known backends, among which the backend of an earlier attempt is looked up.
    pub(super) backends: &'a BackendTable,
    /// The time now.
    pub(super) now: Timestamp,
}

impl EligibilityRules<'_> {
    /// Decides whether a cache node may receive a request.
    ///
    /// Inputs: the node; the request with its attempts; the fields of `self`.
    /// Reason: every rule must allow the attempt; the result names the first that forbids it.
    /// Source: the rules that [`Eligibility`] names.
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

    /// Returns the cache nodes that may receive a request. Nodes at which the request was already
    /// attempted without a miss are included only if no other node is eligible.
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
