//! [`StreamStart`]: when a long value that is held back begins to stream all the same.

use super::response::LongValue;
use super::response_failure::ResponseFailure;
use std::time::{Duration, Instant};

/// The longest time for which the beginning of a long value is held back.
const MAX_HOLD_BACK: Duration = Duration::from_secs(1);
/// The time before the attempt's deadline at which a long value begins to stream at the latest.
/// The timer that fails the request is due at the deadline.
const DEADLINE_LEAD: Duration = Duration::from_millis(20);

/// A long value of which some bytes have arrived, but fewer than are awaited before a value streams.
#[derive(Default)]
pub(super) struct StreamStart {
    value: Option<LongValue>,
    /// The time at which the value begins to stream; `None` while only the head has arrived.
    due: Option<Instant>,
}

impl StreamStart {
    /// Records that `received` bytes of the response have arrived, and decides when the value
    /// begins to stream: a while after the first byte of the value, and before the attempt's
    /// deadline.
    ///
    /// Inputs: the time of the first byte of the value, and the attempt's deadline, on the monotonic
    /// clock.
    /// Reason: a backend that sends slowly has not failed, and the client of a long value waits for
    /// its first bytes only.
    /// Source: docs/incidents/2026-12-05-sound-slow-responses-cut-off.md.
    pub(super) fn update(&mut self, value: LongValue, received: usize, attempt_deadline: Instant) {
        if received > value.starts_at && self.due.is_none() {
            self.due = Some(latest_start(Instant::now(), attempt_deadline));
        }
        self.value = Some(value);
    }

    /// Returns the time at which the value begins to stream, if bytes of it have arrived.
    pub(super) fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Returns the time at which a value that is collected begins to stream if it is not complete.
    pub(super) fn latest_start(&self, attempt_deadline: Instant) -> Instant {
        self.due.unwrap_or_else(|| latest_start(Instant::now(), attempt_deadline))
    }

    /// Takes the value if it is to stream now that a read has ended for this reason.
    pub(super) fn take_due_value(&mut self, failure: ResponseFailure) -> Option<LongValue> {
        let is_due = failure == ResponseFailure::Late && self.due.is_some();
        self.value.take().filter(|_| is_due)
    }
}

/// Returns when a value begins to stream at the latest whose first byte arrived at `began`.
fn latest_start(began: Instant, attempt_deadline: Instant) -> Instant {
    let before_deadline = attempt_deadline.checked_sub(DEADLINE_LEAD).unwrap_or(attempt_deadline);
    before_deadline.min(began + MAX_HOLD_BACK)
}
