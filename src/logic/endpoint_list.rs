//! Endpoint list: decides whether an entry describes a new process of a backend, and when the list
//! is requested again after a failure. Read [`compare`] first.

use crate::interface::{EndpointInfo, EndpointState};
use crate::time::TimeSpan;
use std::ops::Range;

/// The delay after a first failure until the list is requested again.
const FIRST_RETRY_DELAY: TimeSpan = TimeSpan::from_ms(500.0);
/// The factor by which the delay grows with each consecutive failure.
const RETRY_DELAY_GROWTH: f64 = 2.0;
/// The number of consecutive failures after which the delay no longer grows.
const MAX_GROWTH_STEPS: i32 = 2;
/// The range of the random factor that is applied to each delay.
pub(super) const JITTER_FACTOR: Range<f64> = 0.5..1.5;

/// Whether an entry of the list describes the known process of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListedProcess {
    /// The entry describes the known process.
    Known,
    /// The entry describes another process, to which nothing that was learned before applies.
    New,
}

/// Decides whether an entry of the list describes another process of its backend than the known
/// one.
///
/// Inputs: the last known entry of the backend; the new entry. Start times are in ms.
/// Reason: what is learned about a backend belongs to one of its processes. A backend that was
/// removed before, or that has a later start time, is a new process; an outdated list states an
/// earlier start time and changes nothing.
pub(super) fn compare(known: &EndpointInfo, listed: &EndpointInfo) -> ListedProcess {
    if known.state == EndpointState::Gone || listed.started_at > known.started_at {
        ListedProcess::New
    } else {
        ListedProcess::Known
    }
}

/// Decides how long after a failure the list is requested again.
///
/// Inputs: the number of consecutive earlier failures; a random factor from [`JITTER_FACTOR`].
/// Reason: without jitter, all proxies would send their requests to a failing discovery service at
/// the same moment.
/// Source: exponential backoff with jitter.
pub(super) fn retry_delay(earlier_failures: i32, jitter: f64) -> TimeSpan {
    let growth = RETRY_DELAY_GROWTH.powi(earlier_failures.min(MAX_GROWTH_STEPS));
    FIRST_RETRY_DELAY * growth * jitter
}

#[cfg(test)]
mod tests;
