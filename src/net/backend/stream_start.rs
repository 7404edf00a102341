//! [`StreamStart`]: when a long value that is held back begins to stream all the same.

use super::response::LongValue;
use super::response_failure::ResponseFailure;
use crate::net::dispatcher::AttemptRequest;
use crate::net::drain::ValueProgress;
use std::time::{Duration, Instant};

/// The longest time for which the beginning of a long value is held back.
const MAX_HOLD_BACK: Duration = Duration::from_secs(1);
/// The longest time for which the beginning of a long value is held back that a late request in a
/// drain asks for. It shows how fast the value arrives.
const MAX_LATE_HOLD_BACK: Duration = Duration::from_millis(250);
/// The time after the first byte of a value within which what arrives does not show its pace: a backend
/// may send the first bytes all at once.
const BURST_DURATION: Duration = Duration::from_millis(5);
/// The time before the attempt's deadline at which a long value begins to stream at the latest.
/// The timer that fails the request is due at the deadline.
const DEADLINE_LEAD: Duration = Duration::from_millis(20);

/// A long value of which some bytes have arrived, but fewer than are awaited before a value streams.
#[derive(Default)]
pub(super) struct StreamStart {
    value: Option<LongValue>,
    beginning: Option<Beginning>,
    /// The time at which the value begins to stream; `None` while only the head has arrived.
    due: Option<Instant>,
}

/// The beginning of a long value.
#[derive(Clone, Copy, Debug)]
pub(super) struct Beginning {
    /// The time of the first byte of the value.
    at: Instant,
    /// The bytes of the first burst, which do not count for the pace of the value.
    burst_bytes: usize,
    /// The time from which the pace of the value counts.
    paced_from: Instant,
    /// The time at which the value begins to stream if it is collected and not complete.
    pub start_by: Instant,
}

impl StreamStart {
    /// Records that `received` bytes of the response have arrived, and decides when the value
    /// begins to stream: a while after the first byte of the value, and before the attempt's
    /// deadline.
    ///
    /// Inputs: the time of the first byte of the value, whether the request is late in a drain, and
    /// the attempt's deadline, on the monotonic clock.
    /// Reason: a backend that sends slowly has not failed, and the client of a long value waits for
    /// its first bytes only.
    /// Source: docs/incidents/2026-12-05-sound-slow-responses-cut-off.md.
    pub(super) fn update(&mut self, value: LongValue, received: usize, attempt: &AttemptRequest) {
        let value_bytes = received.saturating_sub(value.starts_at);
        if let Some(beginning) = &mut self.beginning {
            beginning.extend_burst(value_bytes);
        } else if value_bytes > 0 {
            let beginning = Beginning::now(value_bytes, attempt);
            let late_limit = attempt.request.lost_at.map(|_| beginning.at + MAX_LATE_HOLD_BACK);
            self.due = Some(late_limit.map_or(beginning.start_by, |limit| limit.min(beginning.start_by)));
            self.beginning = Some(beginning);
        }
        self.value = Some(value);
    }

    /// Returns the time at which the value begins to stream, if bytes of it have arrived.
    pub(super) fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Returns the beginning of the value, of which enough has arrived by now.
    pub(super) fn beginning(&self, attempt: &AttemptRequest) -> Beginning {
        self.beginning.unwrap_or_else(|| Beginning::now(0, attempt))
    }

    /// Takes the value if it is to stream now that a read has ended for this reason.
    pub(super) fn take_due_value(&mut self, failure: ResponseFailure) -> Option<LongValue> {
        let is_due = failure == ResponseFailure::Late && self.due.is_some();
        self.value.take().filter(|_| is_due)
    }
}

impl Beginning {
    /// Returns the beginning of a value whose first bytes arrive now.
    fn now(burst_bytes: usize, attempt: &AttemptRequest) -> Beginning {
        let at = Instant::now();
        let before_deadline = attempt.deadline.checked_sub(DEADLINE_LEAD).unwrap_or(attempt.deadline);
        Beginning { at, burst_bytes, paced_from: at, start_by: before_deadline.min(at + MAX_HOLD_BACK) }
    }

    /// Counts the bytes that have arrived by now as those of the first burst, if they are.
    fn extend_burst(&mut self, value_bytes: usize) {
        if self.at.elapsed() < BURST_DURATION {
            self.burst_bytes = value_bytes;
            self.paced_from = Instant::now();
        }
    }

    /// Returns the progress of the value since its first burst. A value of which no more arrives has no
    /// pace.
    pub(super) fn progress(&self, received: usize, length: usize) -> ValueProgress {
        ValueProgress {
            paced_bytes: received.saturating_sub(self.burst_bytes),
            remaining_bytes: length.saturating_sub(received),
            elapsed: self.paced_from.elapsed(),
        }
    }
}
