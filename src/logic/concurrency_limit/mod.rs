//! Concurrency limit: how many attempts this proxy may have in flight at a backend. Read
//! [`decide_capacity`] first. How the limit follows the responses is in `aimd`, which part of the
//! fleet's limit is this proxy's in `quota`.

mod aimd;
mod quota;

pub(super) use aimd::{record, SlowThresholdInputs, TimedAttempt, Timeliness};
pub(super) use quota::ProxyQuota;

use crate::interface::FleetLimits;
use crate::state::{Backend, ConcurrencyLimit, Tier};
use crate::time::{TimeSpan, Timestamp};

/// All proxies together have this many attempts in flight at a cache node at first.
const INITIAL_NODE_LIMIT: f64 = 32.0;
/// All proxies together have this many attempts in flight at the origin at first.
const INITIAL_ORIGIN_LIMIT: f64 = 8.0;
/// The least attempts in flight that a proxy has at a cache node at first.
const MIN_INITIAL_NODE_LIMIT: f64 = 1.0;
/// The least attempts in flight that a proxy has at the origin at first.
const MIN_INITIAL_ORIGIN_LIMIT: f64 = 2.0;
/// The lowest concurrency limit.
const MIN_LIMIT: f64 = 1.0;
/// Below this limit a backend rests after a decrease.
const COOLDOWN_BELOW_LIMIT: f64 = 2.0;
/// How long a backend rests.
const COOLDOWN: TimeSpan = TimeSpan::from_ms(100.0);

/// Whether a backend may get one more attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CapacityDecision {
    /// It may.
    Available,
    /// As many attempts as are allowed are in flight.
    Full,
    /// Its limit was just decreased and cannot decrease much further.
    CoolingDown,
}

/// Decides: whether a backend may get one more attempt, as far as its concurrency limit goes.
/// Inputs: its limit and its attempts in flight; this proxy's quota; the time now.
/// Reason: a backend that rejects attempts quickly at a limit of 1 would get them in quick
/// succession, so that it rests after each decrease.
pub(super) fn decide_capacity(
    backend: &Backend,
    tier: Tier,
    quota: &ProxyQuota,
    now: Timestamp,
) -> CapacityDecision {
    let limit = &backend.limit;
    let has_cooled_down = limit.max_in_flight >= COOLDOWN_BELOW_LIMIT || now - limit.last_decrease > COOLDOWN;
    let allowed = quota.allowed_attempts(limit.max_in_flight, tier, now);
    if !has_cooled_down {
        CapacityDecision::CoolingDown
    } else if (backend.in_flight.len() as f64) < allowed.floor() {
        CapacityDecision::Available
    } else {
        CapacityDecision::Full
    }
}

/// Decides: this proxy's concurrency limit at a backend of which it knows nothing.
/// Inputs: the kind of backend; how many quotas like this proxy's make the whole.
/// Reason: all proxies together begin with one limit, however many they are.
pub(super) fn initial_limit(tier: Tier, quota_divisor: f64) -> f64 {
    match tier {
        Tier::Origin => (INITIAL_ORIGIN_LIMIT / quota_divisor).max(MIN_INITIAL_ORIGIN_LIMIT),
        Tier::CacheNodes => (INITIAL_NODE_LIMIT / quota_divisor).max(MIN_INITIAL_NODE_LIMIT),
    }
}

/// Scales a limit that was learned with another quota.
pub(super) fn rescale(limit: &mut ConcurrencyLimit, factor: f64) {
    limit.max_in_flight = (limit.max_in_flight * factor).max(MIN_LIMIT);
}

/// Whether a limit cannot decrease any more.
pub(super) fn is_at_minimum(limit: &ConcurrencyLimit) -> bool {
    limit.max_in_flight <= MIN_LIMIT
}

/// What all proxies together may have in flight at a backend of this kind.
fn fleet_limit(limits: FleetLimits, tier: Tier) -> f64 {
    match tier {
        Tier::Origin => limits.origin,
        Tier::CacheNodes => limits.per_node,
    }
}

#[cfg(test)]
mod tests;
