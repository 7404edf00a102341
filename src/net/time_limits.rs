//! The time limits of the process, each with its allowance for a hold-up: final responses,
//! attempts, the deadline that a backend receives, the deduplication window, and the shutdown
//! before SIGKILL. Read [`MAX_HOLD_UP`] first.
//!
//! Every limit is planned early enough that a process which is held up between a decision and its
//! effect still keeps it. All spans are of the monotonic clock, so setting a wall clock moves none.

use crate::time::TimeSpan;
use std::time::{Duration, Instant};

/// The longest time for which the whole process may be held up between reading its clock and
/// writing, for instance on a machine that is short of processors.
pub const MAX_HOLD_UP: Duration = Duration::from_millis(150);
/// How late a timer and the coroutine that it wakes may run without a hold-up.
pub const TIMER_LATENCY: Duration = Duration::from_millis(10);
/// On sockets, the time limits of clients and backends are longer by this.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// An effect that is planned this long before its limit keeps it through a hold-up.
const HOLD_UP_MARGIN: Duration = Duration::from_millis(110);
/// The margin of a short limit is at most this fraction of the limit. The whole margin would cost
/// more requests their response than hold-ups do.
const MAX_MARGIN_FRACTION: f64 = 0.15;
/// Milliseconds in a second, for the conversion of the decision module's spans.
pub const MS_PER_SECOND: f64 = 1000.0;

// The sum that the margin stands for.
const _: () = assert!(
    HOLD_UP_MARGIN.as_millis() + SOCKET_SLACK.as_millis()
        == (MAX_HOLD_UP.as_millis() + TIMER_LATENCY.as_millis())
);

/// A request that is open this long after its response was due has lost its timer, and is expired
/// by the guard. Its response is in time, also after the shortest wait, unless the process is held
/// up at that moment.
pub const GUARD_DELAY: Duration = Duration::from_millis(50);

/// The time between the last responses and SIGKILL. SIGTERM may be noticed late by one hold-up, and
/// a second one may precede the last write.
pub const SHUTDOWN_RESERVE: Duration = Duration::from_millis(350);

// What `SHUTDOWN_RESERVE` stands for, with time to spare for the writes themselves.
const _: () = assert!(SHUTDOWN_RESERVE.as_millis() >= 2 * MAX_HOLD_UP.as_millis() + SOCKET_SLACK.as_millis());

/// A duration as a span of the decision module.
pub fn time_span(duration: Duration) -> TimeSpan {
    TimeSpan::from_ms(duration.as_secs_f64() * MS_PER_SECOND)
}

/// The margin of a limit.
///
/// Decides: how long before a limit its effect is planned.
/// Inputs: the length of the limit, a span.
/// Reason: a hold-up between the decision and its effect must not break the limit.
/// Source: docs/incidents/2026-12-02-late-final-answers.md.
fn hold_up_margin(limit: TimeSpan) -> TimeSpan {
    time_span(HOLD_UP_MARGIN).min(limit * MAX_MARGIN_FRACTION)
}

/// The time budget of a request.
///
/// Decides: how long after its arrival a request must have its final response.
/// Inputs: how long its client waits, a span.
/// Reason: a response after the client's deadline is lost work.
/// Source: docs/incidents/2026-12-02-late-final-answers.md.
pub fn response_budget(client_wait: TimeSpan) -> TimeSpan {
    client_wait - hold_up_margin(client_wait)
}

/// The decision module's allowance between deciding an attempt and its last byte.
///
/// Decides: by how much the deduplication window ends earlier. The module takes off at most a
/// fraction of a short window.
/// Inputs: none.
/// Reason: an attempt that is written after a hold-up must still be inside its window.
/// Source: docs/incidents/2026-12-02-late-final-answers.md.
pub fn write_delay() -> TimeSpan {
    hold_up_margin(TimeSpan::MAX)
}

/// The deadline that a backend receives with an attempt.
///
/// Decides: the remaining time that the attempt states, in whole ms, at least 1.
/// Inputs: the deadline of the attempt and the present moment, on the monotonic clock.
/// Reason: the attempt ends before the client's deadline by the margin, so the stated time is below
/// the client's remaining time and its slack even if the attempt is written after a hold-up.
/// Source: docs/incidents/2026-12-02-late-final-answers.md.
pub fn remaining_deadline_ms(attempt_deadline: Instant, now: Instant) -> u128 {
    const SHORTEST_DEADLINE_MS: u128 = 1;
    attempt_deadline.saturating_duration_since(now).as_millis().max(SHORTEST_DEADLINE_MS)
}

#[cfg(test)]
mod tests;
