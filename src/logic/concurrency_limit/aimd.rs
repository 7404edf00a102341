//! Adjusts a concurrency limit after each attempt: additive increase, multiplicative decrease
//! (AIMD). Read [`record`] first.

use super::MIN_LIMIT;
use crate::interface::Outcome;
use crate::state::{ConcurrencyLimit, Tier};
use crate::time::{TimeSpan, Timestamp};

/// The factor by which a decrease multiplies the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// The weight of one attempt in the moving average of the fraction of slow attempts.
const SLOW_AVERAGE_WEIGHT: f64 = 0.1;
/// The fraction of slow recent attempts above which the origin counts as congested.
const CONGESTED_ORIGIN_SLOW_FRACTION: f64 = 0.25;
/// The multiple of the attempts in flight that must exceed the limit for the limit to count as in
/// use: with 2, more than half of the limit must be in flight.
const IN_USE_MULTIPLE: f64 = 2.0;
/// The queueing time above which an attempt at the origin is slow, as a fraction of the shortest
/// latency objective of all classes.
const ORIGIN_OBJECTIVE_FRACTION: f64 = 0.5;
/// The queueing time above which an attempt at a cache node is slow, as a fraction of the latency
/// objective of its class.
const NODE_OBJECTIVE_FRACTION: f64 = 0.25;

/// Whether an attempt ended within its slow threshold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timeliness {
    /// The attempt ended within the slow threshold, and was neither rejected nor timed out.
    InTime,
    /// The attempt took longer than the slow threshold, was rejected, or timed out.
    Slow,
}

/// The inputs of the slow threshold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowThresholdInputs {
    /// The tier of the backend.
    pub(crate) tier: Tier,
    /// The latency objective of the request's class.
    pub(crate) latency_objective: TimeSpan,
    /// The shortest latency objective of all classes.
    pub(crate) shortest_objective: TimeSpan,
    /// The expected processing time of the request at the backend.
    pub(crate) expected_work: TimeSpan,
}

impl SlowThresholdInputs {
    /// Decides the latency above which an attempt is slow.
    ///
    /// Inputs: the tier; the latency objectives and the expected work, in ms.
    /// Reason: the time that an attempt takes beyond the expected work is spent in queues. The
    /// origin serves all classes, so that the class with the shortest objective sets the threshold
    /// there.
    pub(crate) fn slow_threshold(&self) -> TimeSpan {
        let queueing = match self.tier {
            Tier::Origin => self.shortest_objective * ORIGIN_OBJECTIVE_FRACTION,
            Tier::CacheNodes => self.latency_objective * NODE_OBJECTIVE_FRACTION,
        };
        queueing + self.expected_work
    }
}

impl Timeliness {
    /// Classifies an ended attempt. Rejected attempts and timeouts are always slow.
    pub(crate) fn of(outcome: Outcome, latency: TimeSpan, slow_threshold: TimeSpan) -> Timeliness {
        if latency > slow_threshold || matches!(outcome, Outcome::Full | Outcome::Timeout) {
            Timeliness::Slow
        } else {
            Timeliness::InTime
        }
    }
}

/// An ended attempt, with the inputs of [`record`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedAttempt {
    /// The outcome of the attempt.
    pub(crate) outcome: Outcome,
    /// The time between sending the attempt and its end.
    pub(crate) latency: TimeSpan,
    /// Whether the attempt ended within its slow threshold.
    pub(crate) timeliness: Timeliness,
    /// The tier of the backend.
    pub(crate) tier: Tier,
    /// The number of attempts in flight at the backend, including this one.
    pub(crate) in_flight: f64,
    /// The time now.
    pub(crate) now: Timestamp,
}

/// Adjusts a concurrency limit after an attempt has ended.
///
/// Inputs: the attempt's outcome, latency, timeliness and tier; the attempts in flight; the time
/// now.
/// Reason: a limit that is in use grows while responses come in time, and decreases once each time
/// the backend becomes congested: attempts sent before the last decrease do not decrease the limit
/// again, since they met the same congestion.
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

/// Decides whether a slow attempt shows that its backend is congested.
///
/// Inputs: as for [`record`].
/// Reason: fetches differ in length, so that a limit that each long fetch decreased would stay far
/// below the capacity of the origin; there a fraction of the attempts has to be slow. A cache node
/// that pauses rejects the attempts that waited there even if few are in flight, and a decrease of
/// its limit would send its keys to nodes that lack them, and the misses to the origin. A rejection
/// by a cache node therefore counts only while at least half of the limit is in flight.
fn is_congested(limit: &ConcurrencyLimit, attempt: TimedAttempt) -> bool {
    let is_rejected = attempt.outcome == Outcome::Full;
    match attempt.tier {
        Tier::Origin => is_rejected || limit.slow_fraction.value() > CONGESTED_ORIGIN_SLOW_FRACTION,
        Tier::CacheNodes => !is_rejected || attempt.in_flight * IN_USE_MULTIPLE >= limit.max_in_flight,
    }
}
