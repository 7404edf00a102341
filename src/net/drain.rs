//! The schedules of a graceful shutdown and of directing clients to other proxies. Read
//! [`DrainSchedule`] first: it has the steps after SIGTERM. [`DisconnectSchedule`] decides when
//! each client connection is closed. Both only compute times and do no I/O.
//!
//! The steps after SIGTERM:
//!
//! | until | new connections | requests on open connections | open requests |
//! | --- | --- | --- | --- |
//! | `accept_until` | accepted | accepted | in progress |
//! | `serve_until` | not accepted | accepted | in progress |
//! | `abort_at` | not accepted | connections close once they are idle, after what has arrived by then | in progress |
//! | `release_at` | not accepted | rejected | failed; the responses are written |
//! | `exit_at` | not accepted | rejected | none; responses that have begun are passed on to their end |
//!
//! From `late_from` on, a request whose response SIGKILL finds incomplete is lost. A long value that
//! such a request asks for begins only if it will be whole in time ([`is_whole_in_time`]). At
//! `release_at` the process gives up what the next process of the proxy needs, and it exits as soon as
//! no response is incomplete any more.
//!
//! If a peer process accepts clients, the draining process accepts no new connections from the
//! beginning, and directs its clients away by [`DisconnectSchedule::for_drain`].
//!
//! The platform sends SIGKILL no sooner than `KILL_GRACE` plus the longest wait of a client after
//! SIGTERM. It counts a longer wait than `MAX_COUNTED_WAIT` as `MAX_COUNTED_WAIT`.

use super::time_limits::{MAX_HOLD_UP, SHUTDOWN_RESERVE};
use std::time::{Duration, Instant};

/// The time after SIGTERM for which connections are accepted. Clients open new connections for up
/// to 400 ms after SIGTERM.
const ACCEPT_DURATION: Duration = Duration::from_millis(500);
/// The shortest time between the end of the longest wait of a client and SIGKILL.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The longest wait of a client that the platform takes into account.
const MAX_COUNTED_WAIT: Duration = Duration::from_millis(3000);
/// The time between the last accepted request and the abort of open requests. Most requests get
/// their response within this time.
const LAST_REQUESTS_DURATION: Duration = Duration::from_millis(300);
/// The time for writing the final responses.
const FINAL_WRITES_DURATION: Duration = Duration::from_millis(50);
/// The time after SIGTERM within which a request must come for SIGKILL to excuse its missing response.
const KILL_EXCUSE: Duration = Duration::from_millis(700);
/// The longest time from SIGTERM to the exit: as long as the longest budget of a request.
const MAX_DRAIN_DURATION: Duration = Duration::from_secs(60);
/// The time after the arrival of a connection before which the connection is not closed as idle, if
/// it arrives while clients are directed to other proxies.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(500);
/// The divisor of the time of the last close that gives the time of the first close of an idle
/// connection.
const IDLE_CLOSE_START_DIVISOR: u32 = 2;
/// The number of steps over which the closes of idle connections are spread.
const SPREAD_STEPS: u64 = 64;

/// The steps of a graceful shutdown, each as the time since SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    /// The end of accepting connections.
    pub accept_until: Duration,
    /// The end of accepting requests on open connections. Clients use a connection for as long as
    /// it is open, and a single proxy has no peer that could answer them.
    pub serve_until: Duration,
    /// The time from which SIGKILL does not excuse the missing response to a new request. One hold-up
    /// may delay the handling of SIGTERM.
    pub late_from: Duration,
    /// The time at which every request that is still open fails.
    ///
    /// Invariant: this time is before SIGKILL, which would lose every request without a response.
    pub abort_at: Duration,
    /// The time at which the process gives up its addresses, its membership and its leases. By then
    /// the final responses are written, except for those that have begun and are long or not read.
    pub release_at: Duration,
    /// The earliest SIGKILL.
    pub kill_at: Duration,
    /// The latest exit of the process, also if a response is still incomplete.
    pub exit_at: Duration,
}

impl DrainSchedule {
    /// Decides the steps for connections and requests after SIGTERM, and the latest exit, for
    /// clients that wait at most `longest_wait`; `None` means that the longest wait is unknown.
    ///
    /// Inputs: the longest wait of a client over all classes, a duration.
    /// Reason: accepted requests need their response before the platform kills the process, and
    /// requests that are still accepted need time for an attempt. A response that has begun is passed
    /// on, since no page says when SIGKILL comes at the latest; a client or a backend that never ends
    /// it must not keep the process for ever.
    /// Source: `docs/connection-limits.md`, "A planned restart".
    ///
    /// If the longest wait is unknown, requests are accepted only as long as connections are, so
    /// that SIGKILL finds no accepted request without a response.
    pub fn for_longest_wait(longest_wait: Option<Duration>) -> DrainSchedule {
        let kill_at = longest_wait.unwrap_or(MAX_COUNTED_WAIT).min(MAX_COUNTED_WAIT) + KILL_GRACE;
        let serve_until = match longest_wait {
            Some(_) => kill_at.saturating_sub(SHUTDOWN_RESERVE + LAST_REQUESTS_DURATION).max(ACCEPT_DURATION),
            None => ACCEPT_DURATION,
        };
        let abort_at = kill_at.saturating_sub(SHUTDOWN_RESERVE).max(ACCEPT_DURATION);
        DrainSchedule {
            accept_until: ACCEPT_DURATION,
            late_from: KILL_EXCUSE.saturating_sub(MAX_HOLD_UP),
            serve_until,
            abort_at,
            release_at: abort_at + FINAL_WRITES_DURATION,
            kill_at,
            exit_at: MAX_DRAIN_DURATION,
        }
    }
}

/// How fast a long value arrives, and how much of it is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueProgress {
    /// The bytes that have arrived since the first burst.
    pub paced_bytes: usize,
    /// The time since the first burst.
    pub elapsed: Duration,
    /// The bytes that have not arrived.
    pub remaining_bytes: usize,
}

/// Decides whether a long value that a late request asks for will be whole before the process may be
/// killed, if the rest arrives as fast as its beginning.
///
/// Inputs: the progress of the value, the present time and that of the earliest SIGKILL, on the
/// monotonic clock.
/// Reason: a value that SIGKILL cuts off is lost. A request that is rejected instead has its answer,
/// and may be sent to the next process.
/// Source: docs/incidents/2026-12-06-values-cut-off-at-an-exit.md.
pub fn is_whole_in_time(progress: ValueProgress, now: Instant, kill_at: Instant) -> bool {
    let ValueProgress { paced_bytes, elapsed, remaining_bytes } = progress;
    let time_left = kill_at.saturating_duration_since(now).saturating_sub(SHUTDOWN_RESERVE);
    let time_needed = elapsed.as_secs_f64() * remaining_bytes as f64 / paced_bytes.max(1) as f64;
    !time_left.is_zero() && time_needed <= time_left.as_secs_f64()
}

/// The schedule by which client connections are closed while clients are directed to other proxies.
/// Each time is measured from the beginning of the schedule. A connection in use is closed right
/// after a response if its client has no other open request. The closes of idle connections are
/// spread over time, so that not all clients connect to the other proxies at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DisconnectSchedule {
    /// The time of the first close of an idle connection.
    idle_close_from: Duration,
    /// The time of the last close of an idle connection. From then on every connection is closed
    /// as soon as it is idle, except for the first [`NEW_CONNECTION_GRACE`] of a new one.
    idle_close_until: Duration,
    /// The time until which a partial command keeps its connection open.
    partial_command_until: Duration,
}

impl DisconnectSchedule {
    /// The schedule of a proxy that is put out of service. After 4 s there may be no idle
    /// connection, and no open request that arrived in the last 2 s.
    pub const OUT_OF_SERVICE: DisconnectSchedule = DisconnectSchedule {
        idle_close_from: Duration::from_millis(400),
        idle_close_until: Duration::from_millis(1800),
        partial_command_until: Duration::from_millis(3400),
    };

    /// Returns the schedule of a process that drains while the peer process accepts clients. Idle
    /// connections are closed late, because a command that crosses the close is the less likely the
    /// longer the connection has been idle.
    pub fn for_drain(drain: &DrainSchedule) -> DisconnectSchedule {
        let until = drain.serve_until;
        DisconnectSchedule {
            idle_close_from: whole_ms(whole_ms(until) / IDLE_CLOSE_START_DIVISOR),
            idle_close_until: whole_ms(until),
            partial_command_until: whole_ms(until),
        }
    }

    /// Returns when a connection is to be closed if it is idle. `number` is the connection's number
    /// in the order of arrival. `arrived` is zero for a connection that was open at the beginning.
    pub fn idle_close_at(&self, number: u64, arrived: Duration) -> Duration {
        let spread_ms = as_ms(self.idle_close_until.saturating_sub(self.idle_close_from));
        let offset_ms = spread_ms * (number % SPREAD_STEPS) / SPREAD_STEPS;
        let close_at = self.idle_close_from + Duration::from_millis(offset_ms);
        if arrived > Duration::ZERO {
            close_at.max(arrived + NEW_CONNECTION_GRACE)
        } else {
            close_at
        }
    }

    /// Returns whether a partial command still keeps its connection open.
    pub fn keeps_partial_command(&self, elapsed: Duration) -> bool {
        elapsed < self.partial_command_until
    }

    /// Returns whether nothing more is read from a connection that has open requests.
    pub fn stops_reading(&self, elapsed: Duration) -> bool {
        elapsed >= self.idle_close_until
    }
}

fn as_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Rounds a duration down to whole ms, the unit of the connection table's clock.
fn whole_ms(span: Duration) -> Duration {
    Duration::from_millis(as_ms(span))
}

#[cfg(test)]
mod tests;
