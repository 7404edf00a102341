//! Slow start: how much a backend gets while it warms up. Read [`decide`] first.

use crate::interface::BackendId;
use crate::settings::SafetyLimits;
use crate::state::Backend;
use crate::time::{TimeSpan, Timestamp};

/// All proxies together send a warming backend this fraction of what would overload it.
const OVERLOAD_FRACTION: f64 = 0.5;
/// From this fraction on a backend is warm.
const WARM_FRACTION: f64 = 1.0;
/// The shortest time in which a backend warms up.
const MIN_WARM_UP_TIME: TimeSpan = TimeSpan::from_ms(1.0);
/// Where proxies are few, a key is hot from this fraction of one node's requests on.
const HOT_KEY_FRACTION: f64 = 0.25;

/// Whether a backend may get a request, as far as its warm-up goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlowStartDecision {
    /// It is warm, and may.
    Warm,
    /// It warms up, and the request is within the fraction that it may get.
    WithinFraction,
    /// It warms up, and must not get this request.
    WarmingUp,
}

/// What a request has to do with the backends that warm up.
#[derive(Clone, Copy, Debug)]
pub(super) struct WarmUpInputs {
    /// The home backend of the request's key; none if no backend warms up.
    pub(super) home: Option<BackendId>,
    /// A number between 0 and 1 that this proxy draws by the key.
    pub(super) sample: f64,
}

/// Decides: whether a backend may get a request, as far as its warm-up goes.
/// Inputs: the backend; the safety limits; the home and the draw of the request's key, from 0 to 1;
/// the time now.
/// Reason: a cold backend collapses under its usual load, and its few attempts in flight attract
/// requests that look for the least load. It gets requests for the keys whose home it is, and of
/// these a fraction that each proxy draws for itself; all proxies together then send half of what
/// overloads it, without counting. Requests beyond that are queued and shed, also where all nodes
/// warm up.
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

/// Whether a backend still warms up.
pub(super) fn is_warming_up(backend: &Backend, limits: &SafetyLimits, now: Timestamp) -> bool {
    admitted_fraction(backend.info.started_at, limits, now) < WARM_FRACTION
}

/// Decides: which fraction of the requests for the keys whose home it is a backend may get.
/// Inputs: when its process started, 0 for long ago; the safety limits; the time now.
/// Reason: its capacity rises evenly from the start capacity to the whole during its warm-up time.
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

/// What tells whether a key is hot.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyLoad {
    /// The fraction of all counted requests that are for the key, from 0 to 1.
    pub(super) fraction: f64,
    /// How many cache nodes take requests.
    pub(super) nodes: usize,
    /// Whether this proxy's quota is small, so that the proxies are many.
    pub(super) has_small_quota: bool,
}

/// Decides: whether the requests for a key are spread over all nodes during a warm-up.
/// Inputs: the key's fraction of all requests, from 0 to 1; the number of cache nodes.
/// Reason: where proxies are few, one hot key would fill the whole fraction of its home backend.
/// Where they are many, each draws a home of its own for the key.
/// Source: rule 4 (docs/decisions.md).
pub(super) fn is_hot(key: KeyLoad) -> bool {
    !key.has_small_quota && key.fraction * key.nodes as f64 > HOT_KEY_FRACTION
}

#[cfg(test)]
mod tests;
