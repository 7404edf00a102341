//! The endpoint list: what a new entry means for what is known of a backend, and when a failed list
//! is asked for again. Read [`compare`] first.

use crate::interface::{EndpointInfo, EndpointState};
use crate::time::TimeSpan;
use std::ops::Range;

/// The first delay after which a failed list is asked for again.
const FIRST_RETRY_DELAY: TimeSpan = TimeSpan::from_ms(500.0);
/// Each delay is this many times as long as the one before.
const RETRY_DELAY_GROWTH: f64 = 2.0;
/// After so many failures in a row the delay grows no more.
const MAX_GROWTH_STEPS: i32 = 2;
/// The delays are spread by a random factor from this range.
pub(super) const JITTER_FACTOR: Range<f64> = 0.5..1.5;

/// Which process an entry of the list speaks of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListedProcess {
    /// The process that is known.
    Known,
    /// Another process: what was learned of the one before does not hold for it.
    New,
}

/// Decides: whether an entry of the list speaks of another process of its backend.
/// Inputs: what is known of the backend; the entry, with the start time in Unix ms.
/// Reason: what is learned belongs to one process. A backend that was removed, or started later, is
/// another; a list that is out of date states an earlier start and changes nothing.
pub(super) fn compare(known: &EndpointInfo, listed: &EndpointInfo) -> ListedProcess {
    if known.state == EndpointState::Gone || listed.started_at > known.started_at {
        ListedProcess::New
    } else {
        ListedProcess::Known
    }
}

/// Decides: how long after a failure the list is asked for again.
/// Inputs: how many times in a row it failed before; a random factor from [`JITTER_FACTOR`].
/// Reason: a discovery service that fails would be asked by all proxies at the same moment.
/// Source: exponential backoff with jitter.
pub(super) fn retry_delay(earlier_failures: i32, jitter: f64) -> TimeSpan {
    let growth = RETRY_DELAY_GROWTH.powi(earlier_failures.min(MAX_GROWTH_STEPS));
    FIRST_RETRY_DELAY * growth * jitter
}

#[cfg(test)]
mod tests;
