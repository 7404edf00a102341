//! How a concurrency limit follows the responses: additive increase, multiplicative decrease.

use super::MIN_LIMIT;
use crate::interface::Outcome;
use crate::state::{ConcurrencyLimit, Tier};
use crate::time::{TimeSpan, Timestamp};

/// A decrease multiplies the limit by this.
const DECREASE_FACTOR: f64 = 0.7;
/// The weight of an attempt in the average of slow attempts.
const SLOW_AVERAGE_WEIGHT: f64 = 0.1;
/// The origin is crowded while more than this fraction of its recent attempts was slow.
const CONGESTED_ORIGIN_SLOW_FRACTION: f64 = 0.25;
/// A limit is in use while this many times the attempts in flight exceed it.
const IN_USE_MULTIPLE: f64 = 2.0;
/// At the origin, an attempt is slow beyond this fraction of the shortest latency objective.
const ORIGIN_OBJECTIVE_FRACTION: f64 = 0.5;
/// At a cache node, an attempt is slow beyond this fraction of its class's latency objective.
const NODE_OBJECTIVE_FRACTION: f64 = 0.25;

/// How long an attempt took, against what its class asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timeliness {
    /// No longer than it may.
    InTime,
    /// Longer, or it was not served in time at all.
    Slow,
}

/// What the timeliness of an attempt depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowThresholdInputs {
    /// The kind of backend.
    pub(crate) tier: Tier,
    /// The latency objective of the request's class.
    pub(crate) latency_objective: TimeSpan,
    /// The shortest latency objective of all classes.
    pub(crate) shortest_objective: TimeSpan,
    /// How long the backend was expected to work on it.
    pub(crate) expected_work: TimeSpan,
}

impl SlowThresholdInputs {
    /// Decides: beyond which latency an attempt is slow.
    /// Inputs: the latency objectives and the expected work, in ms.
    /// Reason: the time that an attempt takes beyond the expected work is spent in queues. The
    /// origin serves all classes, so that the most urgent one sets what is slow there.
    pub(crate) fn slow_threshold(&self) -> TimeSpan {
        let queueing = match self.tier {
            Tier::Origin => self.shortest_objective * ORIGIN_OBJECTIVE_FRACTION,
            Tier::CacheNodes => self.latency_objective * NODE_OBJECTIVE_FRACTION,
        };
        queueing + self.expected_work
    }
}

impl Timeliness {
    /// The timeliness of an attempt that ended like this. One that was rejected or timed out is slow.
    pub(crate) fn of(outcome: Outcome, latency: TimeSpan, slow_threshold: TimeSpan) -> Timeliness {
        if latency > slow_threshold || matches!(outcome, Outcome::Full | Outcome::Timeout) {
            Timeliness::Slow
        } else {
            Timeliness::InTime
        }
    }
}

/// An attempt that has ended, and what the limit's change depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedAttempt {
    /// How it ended.
    pub(crate) outcome: Outcome,
    /// How long it took.
    pub(crate) latency: TimeSpan,
    /// How long it took against what its class asks for.
    pub(crate) timeliness: Timeliness,
    /// The kind of backend.
    pub(crate) tier: Tier,
    /// The attempts in flight at the backend, this one included.
    pub(crate) in_flight: f64,
    /// The time now.
    pub(crate) now: Timestamp,
}

/// Decides: how a concurrency limit changes as an attempt ends.
/// Inputs: the attempt's outcome, latency, timeliness and kind of backend; the attempts in flight; the
/// time now.
/// Reason: a limit in use grows while responses come in time, and falls once for each time that
/// the backend is crowded. Attempts sent before the last decrease do not decrease it again.
/// Source: Chiu and Jain (1989); TCP's congestion avoidance (RFC 5681, section 3.1).
pub(crate) fn record(limit: &mut ConcurrencyLimit, attempt: TimedAttempt) {
    let is_slow = attempt.timeliness == Timeliness::Slow;
    limit.slow_fraction.update(SLOW_AVERAGE_WEIGHT, if is_slow { 1.0 } else { 0.0 });
    let is_after_decrease = attempt.now - attempt.latency >= limit.last_decrease;
    let is_in_use = attempt.in_flight * IN_USE_MULTIPLE > limit.max_in_flight;
    if is_slow && is_congested(limit, attempt) && is_after_decrease {
        limit.max_in_flight = (limit.max_in_flight * DECREASE_FACTOR).max(MIN_LIMIT);
        limit.last_decrease = attempt.now;
    } else if !is_slow && attempt.outcome == Outcome::Ok && is_in_use {
        limit.max_in_flight += 1.0 / limit.max_in_flight;
    }
}

/// Decides: whether a slow attempt shows that its backend is crowded.
/// Inputs: as for [`record`].
/// Reason: fetches differ in length, so that a limit decreased for each long one would stay far
/// below what the origin can take: there a fraction of them has to be slow. A node that pauses
/// rejects what has waited there, however few attempts are in flight; decreasing its limit would
/// send its keys to nodes that lack them, and the misses to the origin.
fn is_congested(limit: &ConcurrencyLimit, attempt: TimedAttempt) -> bool {
    let is_rejected = attempt.outcome == Outcome::Full;
    match attempt.tier {
        Tier::Origin => is_rejected || limit.slow_fraction.value() > CONGESTED_ORIGIN_SLOW_FRACTION,
        Tier::CacheNodes => !is_rejected || attempt.in_flight * IN_USE_MULTIPLE >= limit.max_in_flight,
    }
}
