//! Outlier ejection: which cache nodes get no requests since recent attempts there failed, and when
//! they are tried again. The origin is never ejected: there is no other. Read [`decide`] first.
//!
//! Four errors or timeouts in a row, or two resets, make an outlier of a node without failures.

use crate::interface::Outcome;
use crate::state::{Backend, OutlierHistory};
use crate::time::{TimeSpan, Timestamp};
use std::ops::Range;

/// A backend is an outlier while more than this fraction of its recent attempts failed.
const OUTLIER_FAILURE_FRACTION: f64 = 0.5;
/// An outlier or ejected backend gets a trial attempt about this often.
const TRIAL_INTERVAL: TimeSpan = TimeSpan::from_ms(1000.0);
/// Trials and ejections are spread by a random factor from this range, so that the proxies do not
/// act together.
pub(super) const JITTER_FACTOR: Range<f64> = 0.75..1.25;
/// The first ejection of a backend lasts this long.
const FIRST_EJECTION: TimeSpan = TimeSpan::from_ms(4000.0);
/// Each ejection lasts this many times as long as the one before.
const EJECTION_GROWTH: f64 = 4.0;
/// The weight of a served attempt in the failure average.
const SUCCESS_WEIGHT: f64 = 0.5;
/// The weight of an error or a timeout in the failure average.
const FAILURE_WEIGHT: f64 = 0.2;
/// The weight of a broken connection in the failure average.
const RESET_WEIGHT: f64 = 0.4;
/// Backends are excluded only while this many times their number is no more than that of all nodes.
const MIN_NODES_PER_EXCLUDED: usize = 2;

/// Whether a backend may get a request, as far as its failures go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutlierDecision {
    /// It may.
    Eligible,
    /// It must not: its recent attempts failed, and no trial is due.
    Outlier,
    /// It must not: connections to it failed, and no trial is due.
    Ejected,
}

/// Whether outliers and ejected backends are excluded at all, which depends on how many there are.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExclusionScope {
    /// Whether outliers get nothing but trials.
    excludes_outliers: bool,
    /// Whether ejected backends get no trial either before their ejection ends.
    excludes_ejected: bool,
}

impl ExclusionScope {
    /// Decides: whether outliers, and ejected backends, are excluded.
    /// Inputs: the cache nodes that take requests; the time now.
    /// Reason: if most of the nodes fail, the fault is in the network or everywhere, and excluding
    /// the failing nodes would overload the others.
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

/// Decides: whether a backend may get a request, as far as its failures go.
/// Inputs: its failures; its attempts in flight; the scope of exclusion; the time now.
/// Reason: a failing backend gets one attempt at a time, and about one in [`TRIAL_INTERVAL`]. One
/// whose connections fail has a full connection table and fails each new proxy again and again, so
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

/// How an attempt ended, and what the next trial and ejection depend on.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedAttempt {
    /// How it ended.
    pub(super) outcome: Outcome,
    /// The time now.
    pub(super) now: Timestamp,
    /// A random factor from [`JITTER_FACTOR`].
    pub(super) jitter: f64,
    /// Ejections grow up to this length, but are never shorter than [`FIRST_EJECTION`].
    pub(super) max_ejection: TimeSpan,
}

/// Decides: when an ejection begins and ends, when the next trial is due, and how the failure
/// average follows an attempt.
/// Inputs: how the attempt ended; the time now; a random factor; the longest ejection.
/// Reason: a backend that answers (`Ok`, `Miss`, `Full` or `Error`) is reachable, which ends its
/// ejection; a timeout or a reset does not. Connections that fail together, or during an ejection,
/// show no more than the first of them. The random factor applies to the length last, so that an
/// ejection may exceed the longest by a quarter.
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
