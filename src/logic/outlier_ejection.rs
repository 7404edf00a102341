//! Outlier ejection: which cache nodes receive no requests because recent attempts there failed,
//! and when they get a trial attempt. The origin is never ejected, since nothing can replace it.
//! Read [`decide`] first.
//!
//! A node without earlier failures becomes an outlier after four consecutive errors or timeouts, or
//! after two resets.

use crate::interface::Outcome;
use crate::state::{Backend, OutlierHistory};
use crate::time::{TimeSpan, Timestamp};
use std::ops::Range;

/// The fraction of failed recent attempts above which a backend is an outlier.
const OUTLIER_FAILURE_FRACTION: f64 = 0.5;
/// The mean interval between trial attempts at an outlier or an ejected backend.
const TRIAL_INTERVAL: TimeSpan = TimeSpan::from_ms(1000.0);
/// The range of the random factor on trial intervals and ejections, which prevents all proxies from
/// making trials or ending ejections at the same time.
pub(super) const JITTER_FACTOR: Range<f64> = 0.75..1.25;
/// The duration of the first ejection of a backend.
const FIRST_EJECTION: TimeSpan = TimeSpan::from_ms(4000.0);
/// The factor by which the duration grows with each consecutive ejection.
const EJECTION_GROWTH: f64 = 4.0;
/// The weight of a success in the moving average of failures.
const SUCCESS_WEIGHT: f64 = 0.5;
/// The weight of an error or a timeout in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// The weight of a broken connection in the moving average of failures.
const RESET_WEIGHT: f64 = 0.4;
/// The least ratio of ready nodes to failing nodes at which failing nodes are excluded.
const MIN_NODES_PER_EXCLUDED: usize = 2;

/// Whether the failures of a backend allow it to receive a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutlierDecision {
    /// The backend may receive a request.
    Eligible,
    /// The backend must not receive a request: recent attempts failed, and no trial is due.
    Outlier,
    /// The backend must not receive a request: connections to it failed, and no trial is allowed
    /// yet.
    Ejected,
}

/// Whether outliers and ejected backends are excluded at all, which depends on their number.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExclusionScope {
    /// Whether outliers receive only trial attempts.
    excludes_outliers: bool,
    /// Whether ejected backends receive no attempts, not even trials, until their ejection ends.
    excludes_ejected: bool,
}

impl ExclusionScope {
    /// Decides whether outliers and ejected backends are excluded.
    ///
    /// Inputs: the cache nodes that accept requests; the time now.
    /// Reason: if most nodes fail, the fault lies in the network or affects all nodes, and to
    /// exclude the failing nodes would overload the others.
    /// Source: the "panic threshold" of outlier ejection in common proxies.
    pub(super) fn for_nodes(nodes: &[&Backend], now: Timestamp) -> ExclusionScope {
        let outliers = nodes.iter().filter(|node| is_outlier(&node.outlier_history)).count();
        let ejected = nodes.iter().filter(|node| now < node.outlier_history.ejected_until).count();
        ExclusionScope {
            excludes_outliers: outliers * MIN_NODES_PER_EXCLUDED <= nodes.len(),
            excludes_ejected: ejected * MIN_NODES_PER_EXCLUDED <= nodes.len(),
        }
    }
}

/// Decides whether the failures of a backend allow it to receive a request.
///
/// Inputs: the failures of the backend and its attempts in flight; the scope of exclusion; the time
/// now.
/// Reason: an outlier gets one attempt at a time, and about one in [`TRIAL_INTERVAL`]. A backend
/// that refuses connections has a full connection table and would fail trials again and again, so
/// that it gets no attempt before its ejection ends.
/// Source: passive health checks and half-open trials of a circuit breaker.
pub(super) fn decide(backend: &Backend, scope: ExclusionScope, now: Timestamp) -> OutlierDecision {
    let history = &backend.outlier_history;
    let is_trial_due = backend.in_flight.is_empty() && now >= history.next_trial;
    if now < history.ejected_until && (scope.excludes_ejected || !is_trial_due) {
        OutlierDecision::Ejected
    } else if scope.excludes_outliers && is_outlier(history) && !is_trial_due {
        OutlierDecision::Outlier
    } else {
        OutlierDecision::Eligible
    }
}

fn is_outlier(history: &OutlierHistory) -> bool {
    history.failure_fraction.value() > OUTLIER_FAILURE_FRACTION
}

/// An ended attempt, with the inputs of [`record`].
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedAttempt {
    /// The outcome of the attempt.
    pub(super) outcome: Outcome,
    /// The time now.
    pub(super) now: Timestamp,
    /// A random factor from [`JITTER_FACTOR`].
    pub(super) jitter: f64,
    /// The longest ejection before jitter, unless [`FIRST_EJECTION`] is longer.
    pub(super) max_ejection: TimeSpan,
}

/// Updates the outlier history of a backend after an attempt: its ejection, its next trial and the
/// fraction of failures.
///
/// Inputs: the outcome of the attempt; the time now; a random factor; the longest ejection.
/// Reason: a backend that answers (`Ok`, `Miss`, `Full` or `Error`) is reachable, which ends its
/// ejection; a timeout or a reset does not end it. Connections that fail at the same time, or
/// during an ejection, count as one failure, since they have one cause. The random factor is
/// applied after the limit on the duration, so that an ejection may exceed that limit by a quarter.
/// Source: exponential backoff.
pub(super) fn record(history: &mut OutlierHistory, attempt: EndedAttempt) {
    let next_trial = attempt.now + TRIAL_INTERVAL * attempt.jitter;
    match attempt.outcome {
        Outcome::ConnectFailed => {
            if attempt.now >= history.ejected_until {
                eject(history, attempt);
            }
            history.next_trial = next_trial;
        }
        Outcome::Ok | Outcome::Miss => {
            end_ejection(history);
            history.failure_fraction.update(SUCCESS_WEIGHT, 0.0);
        }
        Outcome::Full => end_ejection(history),
        Outcome::Error => {
            end_ejection(history);
            record_failure(history, FAILURE_WEIGHT, next_trial);
        }
        Outcome::Timeout => record_failure(history, FAILURE_WEIGHT, next_trial),
        Outcome::Reset => record_failure(history, RESET_WEIGHT, next_trial),
        Outcome::Cancelled | Outcome::Moot => {}
    }
}

fn eject(history: &mut OutlierHistory, attempt: EndedAttempt) {
    let grown = history.last_ejection * EJECTION_GROWTH;
    let ejection = grown.min(attempt.max_ejection).max(FIRST_EJECTION);
    history.last_ejection = ejection;
    history.ejected_until = attempt.now + ejection * attempt.jitter;
}

fn end_ejection(history: &mut OutlierHistory) {
    history.last_ejection = TimeSpan::ZERO;
    history.ejected_until = Timestamp::ZERO;
}

fn record_failure(history: &mut OutlierHistory, weight: f64, next_trial: Timestamp) {
    history.failure_fraction.update(weight, 1.0);
    if is_outlier(history) {
        history.next_trial = next_trial;
    }
}

#[cfg(test)]
mod tests;
