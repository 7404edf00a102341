//! The schedules of a graceful shutdown and of directing clients to other proxies. Read
//! [`DrainSchedule`] first: the steps after SIGTERM. [`DisconnectSchedule`] decides when each
//! client connection is closed. Both only compute times; they do no I/O.
//!
//! What happens after SIGTERM:
//!
//! | until | new connections | requests on open connections | open requests |
//! | --- | --- | --- | --- |
//! | `accept_until` | accepted | accepted | in progress |
//! | `serve_until` | not accepted | accepted | in progress |
//! | `abort_at` | not accepted | connections close once they are idle | in progress |
//! | `exit_at` | not accepted | not accepted | failed; the responses are written |
//!
//! If a peer process accepts clients, this one accepts no new connections from the beginning, and
//! its clients are directed away by [`DisconnectSchedule::for_drain`].
//!
//! The platform kills a process no sooner than `KILL_GRACE` after the longest wait of a client,
//! counted from SIGTERM; waits beyond `MAX_COUNTED_WAIT` count as that.

use super::time_limits::SHUTDOWN_RESERVE;
use std::time::Duration;

/// How long after SIGTERM connections are accepted. Clients open new ones for up to 400 ms after
/// it.
const ACCEPT_DURATION: Duration = Duration::from_millis(500);
/// How long after the longest wait of a client the kill comes at the earliest.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The longest wait of a client that the platform counts.
const MAX_COUNTED_WAIT: Duration = Duration::from_millis(3000);
/// How long the last requests that were accepted have before the final responses are sent. Most are
/// answered within it.
const LAST_REQUESTS_DURATION: Duration = Duration::from_millis(300);
/// How long the final responses have to be written.
const FINAL_WRITES_DURATION: Duration = Duration::from_millis(50);
/// How long a connection that is opened while clients are directed elsewhere may be silent.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(500);
/// Idle connections are closed from the end of the drain divided by this.
const IDLE_CLOSE_START_DIVISOR: u32 = 2;
/// The number of steps over which the closes of idle connections are spread.
const SPREAD_STEPS: u64 = 64;

/// The steps of a graceful shutdown, each as the time since SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    /// Connections are accepted until then.
    pub accept_until: Duration,
    /// Until then requests are accepted on open connections. Clients use a connection for as long
    /// as it is open, and a single proxy has no other one that could answer them.
    pub serve_until: Duration,
    /// At this time every open request gets its final response.
    ///
    /// Invariant: it comes before the kill, which would lose every request without a response.
    pub abort_at: Duration,
    /// By then the final responses are written, or their clients do not read them.
    pub exit_at: Duration,
}

impl DrainSchedule {
    /// Returns the schedule for clients that wait at most this long; `None` if that is unknown.
    ///
    /// Decides: what happens to connections and requests after SIGTERM, and when the process exits.
    /// Inputs: the longest wait of a client over all classes, a duration.
    /// Reason: accepted requests need their response before the platform kills the process, and
    /// requests that are still accepted need time for an attempt.
    /// Source: `docs/connection-limits.md`, "A planned restart".
    ///
    /// With an unknown wait, requests are accepted only while connections are: no request is
    /// accepted that the kill could find without a response.
    pub fn for_longest_wait(longest_wait: Option<Duration>) -> DrainSchedule {
        let kill_at = longest_wait.unwrap_or(MAX_COUNTED_WAIT).min(MAX_COUNTED_WAIT) + KILL_GRACE;
        let serve_until = match longest_wait {
            Some(_) => kill_at.saturating_sub(SHUTDOWN_RESERVE + LAST_REQUESTS_DURATION).max(ACCEPT_DURATION),
            None => ACCEPT_DURATION,
        };
        let abort_at = kill_at.saturating_sub(SHUTDOWN_RESERVE).max(ACCEPT_DURATION);
        DrainSchedule {
            accept_until: ACCEPT_DURATION,
            serve_until,
            abort_at,
            exit_at: abort_at + FINAL_WRITES_DURATION,
        }
    }
}

/// When client connections are closed while clients are directed to other proxies, each as the time
/// since that began. A connection in use is closed right after a response, when its client has no
/// other request open. The closes of idle connections are spread over a time, so that not all
/// clients connect elsewhere at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DisconnectSchedule {
    /// Until then idle connections stay open.
    idle_close_from: Duration,
    /// From then on every idle connection is closed.
    idle_close_until: Duration,
    /// From then on a partial command does not keep its connection open.
    partial_command_until: Duration,
}

impl DisconnectSchedule {
    /// The schedule of a proxy that is put out of service. After 4 s no connection may be idle, nor
    /// have a request of the last 2 s open.
    pub const OUT_OF_SERVICE: DisconnectSchedule = DisconnectSchedule {
        idle_close_from: Duration::from_millis(400),
        idle_close_until: Duration::from_millis(1800),
        partial_command_until: Duration::from_millis(3400),
    };

    /// The schedule of a process that drains while the peer process accepts clients. Idle
    /// connections are closed late: the longer one has been idle, the less likely is a command that
    /// crosses its close.
    pub fn for_drain(drain: &DrainSchedule) -> DisconnectSchedule {
        let until = drain.serve_until;
        DisconnectSchedule {
            idle_close_from: whole_ms(whole_ms(until) / IDLE_CLOSE_START_DIVISOR),
            idle_close_until: whole_ms(until),
            partial_command_until: whole_ms(until),
        }
    }

    /// Returns when a connection is to be closed if it is idle. `number` is its number in the order
    /// of arrival; `arrived` is zero for a connection that was open before.
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

    /// Whether a partial command still keeps its connection open.
    pub fn keeps_partial_command(&self, elapsed: Duration) -> bool {
        elapsed < self.partial_command_until
    }

    /// Whether reading stops on a connection that has requests open.
    pub fn stops_reading(&self, elapsed: Duration) -> bool {
        elapsed >= self.idle_close_until
    }
}

fn as_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Rounds down to whole ms, the unit of the connection table's clock.
fn whole_ms(span: Duration) -> Duration {
    Duration::from_millis(as_ms(span))
}

#[cfg(test)]
mod tests;
