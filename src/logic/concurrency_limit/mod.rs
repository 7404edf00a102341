//! Concurrency limit: how many attempts this proxy may have in flight at a backend. Read
//! [`decide_capacity`] first. `aimd` adjusts the limit after each attempt; `quota` determines this
//! proxy's part of the fleet-wide limit.

mod aimd;
mod quota;

pub(super) use aimd::{record, SlowThresholdInputs, TimedAttempt, Timeliness};
pub(super) use quota::ProxyQuota;

use crate::interface::FleetLimits;
use crate::state::{Backend, ConcurrencyLimit, Tier};
use crate::time::{TimeSpan, Timestamp};

/// The initial concurrency limit of all proxies together at a cache node, in attempts.
const INITIAL_NODE_LIMIT: f64 = 32.0;
/// The initial concurrency limit of all proxies together at the origin, in attempts.
const INITIAL_ORIGIN_LIMIT: f64 = 8.0;
/// The least initial concurrency limit of one proxy at a cache node, in attempts.
const MIN_INITIAL_NODE_LIMIT: f64 = 1.0;
/// The least initial concurrency limit of one proxy at the origin, in attempts.
const MIN_INITIAL_ORIGIN_LIMIT: f64 = 2.0;
/// The lowest concurrency limit, in attempts.
const MIN_LIMIT: f64 = 1.0;
/// The concurrency limit, in attempts, below which a backend gets a cooldown after a decrease.
const COOLDOWN_BELOW_LIMIT: f64 = 2.0;
/// The time after a decrease during which a backend with a low limit gets no attempt.
const COOLDOWN: TimeSpan = TimeSpan::from_ms(100.0);

/// Whether the concurrency limit of a backend allows one more attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CapacityDecision {
    /// The backend has capacity for one more attempt.
    Available,
    /// The number of attempts in flight has reached the limit.
    Full,
    /// The limit was decreased within [`COOLDOWN`] and is close to its minimum.
    CoolingDown,
}

/// Decides whether the concurrency limit of a backend allows one more attempt.
///
/// Inputs: the limit of the backend and its attempts in flight; this proxy's quota; the time now.
/// Reason: a backend that rejects attempts quickly would get them in quick succession even at a
/// limit of 1, so that a low limit is combined with a cooldown after each decrease.
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

/// Decides the initial concurrency limit of this proxy at a new backend, in attempts.
///
/// Inputs: the tier of the backend; the divisor from [`ProxyQuota::divisor`].
/// Reason: the initial limit of all proxies together does not depend on their number.
pub(super) fn initial_limit(tier: Tier, quota_divisor: f64) -> f64 {
    match tier {
        Tier::Origin => (INITIAL_ORIGIN_LIMIT / quota_divisor).max(MIN_INITIAL_ORIGIN_LIMIT),
        Tier::CacheNodes => (INITIAL_NODE_LIMIT / quota_divisor).max(MIN_INITIAL_NODE_LIMIT),
    }
}

/// Scales a limit that was learned under another quota.
pub(super) fn rescale(limit: &mut ConcurrencyLimit, factor: f64) {
    limit.max_in_flight = (limit.max_in_flight * factor).max(MIN_LIMIT);
}

/// Returns whether a limit cannot decrease any further.
pub(super) fn is_at_minimum(limit: &ConcurrencyLimit) -> bool {
    limit.max_in_flight <= MIN_LIMIT
}

/// Returns the limit on the attempts in flight of all proxies together at a backend of this tier.
fn fleet_limit(limits: FleetLimits, tier: Tier) -> f64 {
    match tier {
        Tier::Origin => limits.origin,
        Tier::CacheNodes => limits.per_node,
    }
}

#[cfg(test)]
mod tests;
