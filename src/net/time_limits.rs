//! The time limits of the process, each with a margin for a hold-up: for final responses, attempts,
//! the deadline that a backend receives, the deduplication window, and the shutdown before SIGKILL.
//! Read [`MAX_HOLD_UP`] first.
//!
//! Effects are planned so early before their limit that they are in time even if the process is
//! held up between the decision and the effect. All times are of the monotonic clock, so that
//! setting a wall clock changes none of them.

use crate::time::TimeSpan;
use std::time::{Duration, Instant};

/// The longest hold-up of the whole process, between reading its clock and writing, for which the
/// time limits have a margin. Hold-ups happen for instance on a machine that is short of
/// processors.
pub const MAX_HOLD_UP: Duration = Duration::from_millis(150);
/// The longest delay of a timer and of the coroutine that it wakes if there is no hold-up.
pub const TIMER_LATENCY: Duration = Duration::from_millis(10);
/// The time by which clients and backends on sockets extend their time limits.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// The time before a limit at which an effect is planned, so that the effect is in time even after
/// a hold-up.
const HOLD_UP_MARGIN: Duration = Duration::from_millis(110);
/// The largest margin of a limit, as a fraction of the limit. With the whole margin, short limits
/// would cost more requests their response than hold-ups do.
const MAX_MARGIN_FRACTION: f64 = 0.15;
/// The longest duration of a timer in ms. The decision module requests only shorter ones.
const MAX_TIMER_MS: f64 = 4_260_000.0;
/// The milliseconds in a second, for the conversion of the decision module's [`TimeSpan`]s.
pub const MS_PER_SECOND: f64 = 1000.0;

// Margin and slack together cover the longest hold-up and the timer latency.
const _: () = assert!(
    HOLD_UP_MARGIN.as_millis() + SOCKET_SLACK.as_millis()
        == (MAX_HOLD_UP.as_millis() + TIMER_LATENCY.as_millis())
);

/// The time after a response was due at which the dispatcher's guard expires the request. The timer
/// of a request that is still open then was lost or is late. The failure is in time for the client,
/// even with the shortest wait, unless the process is held up at that moment.
pub const GUARD_DELAY: Duration = Duration::from_millis(50);

/// The time between the last responses and SIGKILL. One hold-up may delay the handling of SIGTERM,
/// and a second one the last write.
pub const SHUTDOWN_RESERVE: Duration = Duration::from_millis(350);

// The reserve covers two hold-ups and the time for the writes themselves.
const _: () = assert!(SHUTDOWN_RESERVE.as_millis() >= 2 * MAX_HOLD_UP.as_millis() + SOCKET_SLACK.as_millis());

/// Converts a duration to a [`TimeSpan`] of the decision module.
pub fn time_span(duration: Duration) -> TimeSpan {
    TimeSpan::from_ms(duration.as_secs_f64() * MS_PER_SECOND)
}

/// Converts a time span of the decision module to a duration, of 71 minutes at the most.
pub fn timer_duration(span: TimeSpan) -> Duration {
    Duration::from_secs_f64(span.as_ms().clamp(0.0, MAX_TIMER_MS) / MS_PER_SECOND)
}

/// Decides how long before a time limit an effect is planned: the margin for a hold-up.
///
/// Inputs: the length of the limit, as a time span.
/// Reason: a hold-up between the decision and its effect must not break the limit.
/// Source: docs/incidents/2026-12-02-late-final-answers.md.
fn hold_up_margin(limit: TimeSpan) -> TimeSpan {
    time_span(HOLD_UP_MARGIN).min(limit * MAX_MARGIN_FRACTION)
}

/// Decides the time budget of a request: the time after its arrival within which the final response
/// must be ready.
///
/// Inputs: how long the client waits, as a time span.
/// Reason: a response after the client's deadline is useless to the client.
/// Source: docs/incidents/2026-12-02-late-final-answers.md.
pub fn response_budget(client_wait: TimeSpan) -> TimeSpan {
    client_wait - hold_up_margin(client_wait)
}

/// Decides the time that the decision module reserves between deciding on an attempt and the write
/// of its last byte. The deduplication window is taken to end earlier by this time; the decision
/// module shortens a short window by at most a fraction of it.
///
/// Inputs: none.
/// Reason: an attempt that is written after a hold-up must still be inside the window.
/// Source: docs/incidents/2026-12-02-late-final-answers.md.
pub fn write_delay() -> TimeSpan {
    hold_up_margin(TimeSpan::MAX)
}

/// Decides the deadline that a backend receives with an attempt: the remaining time in whole ms, at
/// least 1.
///
/// Inputs: the deadline of the attempt and the current time, on the monotonic clock.
/// Reason: the attempt ends before the client's deadline by the margin. The stated time is
/// therefore below the client's remaining time plus its slack, even if the attempt is written after
/// a hold-up.
/// Source: docs/incidents/2026-12-02-late-final-answers.md.
pub fn remaining_deadline_ms(attempt_deadline: Instant, now: Instant) -> u128 {
    const SHORTEST_DEADLINE_MS: u128 = 1;
    attempt_deadline.saturating_duration_since(now).as_millis().max(SHORTEST_DEADLINE_MS)
}

#[cfg(test)]
mod tests;
