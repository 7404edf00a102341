//! Updates the life tables of a [`ConnectionTable`], and derives idle limits from them. Read
//! [`ConnectionTable::idle_limit`] first.

use super::entry::ReuseKind;
use super::{ConnectionId, ConnectionTable, Timestamp};
use crate::reuse_estimator::{interval_end, interval_of};
use std::time::Duration;

impl ConnectionTable {
    /// Records in the life table of a connection, if it has one, that it was used again.
    pub(super) fn record_reuse(&mut self, now: Timestamp, id: ConnectionId) {
        if let Some((kind, interval)) = self.position_in_life_table(now, id) {
            self.life_tables[kind as usize].record_reuse(now, interval);
        }
    }

    /// Records in the life table of a connection, if it has one, that its client has closed it.
    pub(super) fn record_client_close(&mut self, now: Timestamp, id: ConnectionId) {
        if let Some((kind, interval)) = self.position_in_life_table(now, id) {
            self.life_tables[kind as usize].record_client_close(now, interval);
        }
    }

    /// Records the connections that have survived an interval by now.
    pub(super) fn record_survivals(&mut self, now: Timestamp) {
        while let Some((at, id)) = self.interval_ends.first().copied() {
            if at > now {
                return;
            }
            self.interval_ends.remove(&(at, id));
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            let Some(kind) = entry.reuse_kind() else { continue };
            self.life_tables[kind as usize].record_survival(now, entry.interval);
            entry.interval += 1;
            if let Some(end) = interval_end(entry.interval) {
                self.interval_ends.insert((entry.since + end, id));
            }
        }
    }

    /// Estimates the probability that a connection is used again before the short idle timeout; 0
    /// if the connection has no life table.
    pub(super) fn reuse_probability(&self, id: ConnectionId) -> f64 {
        let Some(entry) = self.entries.get(&id) else { return 0.0 };
        let Some(kind) = entry.reuse_kind() else { return 0.0 };
        let life_table = &self.life_tables[kind as usize];
        life_table.reuse_probability(entry.interval, self.limits.idle_timeout)
    }

    /// Returns the maximum idle time of connections of a kind at this pressure. Under pressure, a
    /// silent or idle connection of the kind is closed at that age.
    ///
    /// Inputs: the pressure (share of the capacity), the kind's life table (probabilities by age),
    /// the kind's longest and shortest time, the required probability of reuse.
    /// Reason: connections that will probably not be used again take the capacity from clients that
    /// send requests.
    /// Source: the actuarial life table of survival analysis; docs/connection-limits.md, "Reuse".
    pub(super) fn idle_limit(&self, kind: ReuseKind, pressure: f64) -> Duration {
        let limits = &self.limits;
        let (most, least) = match kind {
            ReuseKind::Silent => (limits.command_timeout, limits.silent_floor),
            _ => (limits.idle_timeout_at(pressure), limits.idle_floor),
        };
        let required = limits.required_reuse_probability_at(pressure);
        // While other clients need the capacity, reuse after the shorter timeout does not justify
        // keeping a connection.
        let horizon = most.min(limits.idle_timeout);
        let life_table = &self.life_tables[kind as usize];
        let unlikely_from = life_table.unlikely_to_return_from(required, horizon);
        if required > 0.0 && unlikely_from < horizon {
            unlikely_from.max(least)
        } else {
            most
        }
    }

    /// Returns the kind of a connection, which selects its life table, and the interval of that
    /// table that it is in.
    fn position_in_life_table(&self, now: Timestamp, id: ConnectionId) -> Option<(ReuseKind, usize)> {
        let entry = self.entries.get(&id)?;
        let kind = entry.reuse_kind()?;
        let interval = interval_of(now.saturating_duration_since(entry.since)).max(entry.interval);
        Some((kind, interval))
    }
}
