//! Slow start: which requests a backend receives while it warms up. Read [`decide`] first.

use crate::interface::BackendId;
use crate::settings::SafetyLimits;
use crate::state::Backend;
use crate::time::{TimeSpan, Timestamp};

/// The load that all proxies together send a warming backend, as a fraction of the load that would
/// overload the backend.
const OVERLOAD_FRACTION: f64 = 0.5;
/// The admitted fraction from which on a backend counts as warm.
const WARM_FRACTION: f64 = 1.0;
/// The shortest warm-up time.
const MIN_WARM_UP_TIME: TimeSpan = TimeSpan::from_ms(1.0);
/// The fraction of one node's requests above which a key is hot, where few proxies share the fleet.
const HOT_KEY_FRACTION: f64 = 0.25;

/// Whether the warm-up of a backend allows it to receive a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlowStartDecision {
    /// The backend is warm and may receive any request.
    Warm,
    /// The backend warms up, and the request is within the fraction that the backend may receive.
    WithinFraction,
    /// The backend warms up and must not receive this request.
    WarmingUp,
}

/// The inputs of [`decide`] that depend on the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct WarmUpInputs {
    /// The home of the request's key; `None` if no backend warms up.
    pub(super) home: Option<BackendId>,
    /// A pseudo-random number between 0 and 1 that this proxy derives from the key.
    pub(super) sample: f64,
}

/// Decides whether the warm-up of a backend allows it to receive a request.
///
/// Inputs: the backend; the safety limits; the home of the request's key, and the key's sample from
/// 0 to 1; the time now.
/// Reason: a cold backend collapses under its usual load, and its few attempts in flight attract
/// the requests that are sent to the least loaded backend. The backend therefore receives only
/// requests for keys whose home it is, and of these only a fraction, which each proxy selects by
/// its own samples. All proxies together then send half of the load that would overload the
/// backend, without counting requests. Requests beyond that are queued and shed, even where all
/// nodes warm up.
/// Source: rule 4 (docs/decisions.md).
pub(super) fn decide(
    backend: &Backend,
    limits: &SafetyLimits,
    request: WarmUpInputs,
    now: Timestamp,
) -> SlowStartDecision {
    let fraction = admitted_fraction(backend.info.started_at, limits, now);
    if fraction >= WARM_FRACTION {
        SlowStartDecision::Warm
    } else if request.home == Some(backend.id()) && request.sample < fraction {
        SlowStartDecision::WithinFraction
    } else {
        SlowStartDecision::WarmingUp
    }
}

/// Returns whether a backend still warms up.
pub(super) fn is_warming_up(backend: &Backend, limits: &SafetyLimits, now: Timestamp) -> bool {
    admitted_fraction(backend.info.started_at, limits, now) < WARM_FRACTION
}

/// Decides the fraction of the requests for a backend's own keys (those whose home it is) that the
/// backend may receive.
///
/// Inputs: the start time of the backend's process, 0 for a time long past; the safety limits; the
/// time now.
/// Reason: the capacity of a backend rises linearly from the start capacity to its full capacity
/// during the warm-up time.
/// Source: rule 4 (docs/decisions.md).
fn admitted_fraction(started: Timestamp, limits: &SafetyLimits, now: Timestamp) -> f64 {
    let started = if started > Timestamp::ZERO { started } else { Timestamp::DISTANT_PAST };
    let progress = (now - started) / limits.warm_up_time.max(MIN_WARM_UP_TIME);
    let capacity = limits.start_capacity + (1.0 - limits.start_capacity) * progress.clamp(0.0, 1.0);
    let fraction = OVERLOAD_FRACTION * limits.overload_multiple * capacity;
    if progress >= 1.0 {
        fraction.max(WARM_FRACTION)
    } else {
        fraction.max(0.0)
    }
}

/// The inputs of [`is_hot`].
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyLoad {
    /// The fraction of all counted requests that are for the key, from 0 to 1.
    pub(super) fraction: f64,
    /// The number of cache nodes that accept requests.
    pub(super) nodes: usize,
    /// Whether this proxy's quota is small, that is, many proxies share the fleet.
    pub(super) has_small_quota: bool,
}

/// Decides whether the requests for a key are spread over all nodes during a warm-up.
///
/// Inputs: the key's fraction of all requests, from 0 to 1; the number of cache nodes; whether this
/// proxy's quota is small.
/// Reason: where few proxies share the fleet, one hot key could use up the whole fraction that its
/// home may receive. Where many proxies share the fleet, each selects its own home for the key.
/// Source: rule 4 (docs/decisions.md).
pub(super) fn is_hot(key: KeyLoad) -> bool {
    !key.has_small_quota && key.fraction * key.nodes as f64 > HOT_KEY_FRACTION
}

#[cfg(test)]
mod tests;
