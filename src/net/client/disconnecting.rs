//! Decides which connections are due to close while clients are directed to other proxies. Read
//! [`Disconnecting`] first.

use crate::net::drain::DisconnectSchedule;
use pinetrail_connection_limits::{ConnectionId, Timestamp};
use std::time::Duration;

/// The schedule that is in force while clients are directed to other proxies. Times are by the
/// connection table's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Disconnecting {
    /// The time at which the schedule began.
    pub started_at: Timestamp,
    /// The times at which connections are closed, counted from `started_at`.
    pub schedule: DisconnectSchedule,
}

impl Disconnecting {
    /// Returns the time since the schedule began.
    pub(super) fn elapsed(&self, now: Timestamp) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Decides whether a connection is due to close, which it does once it is idle.
    ///
    /// Inputs: the connection's id, its arrival and the present moment, by the connection table's
    /// clock (ms).
    /// Reason: closes are spread over time, so that not all clients reconnect elsewhere at once.
    /// Source: docs/daily-operation.md.
    pub(super) fn is_due(&self, id: ConnectionId, arrived: Timestamp, now: Timestamp) -> bool {
        let arrived = arrived.saturating_duration_since(self.started_at);
        self.elapsed(now) >= self.schedule.idle_close_at(id, arrived)
    }
}
