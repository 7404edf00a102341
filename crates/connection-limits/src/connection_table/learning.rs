//! What the life tables learn from connections, and what they say about them.

use super::entry::ReuseKind;
use super::{ConnectionId, ConnectionTable, Millis};
use crate::reuse_estimator::{interval_of, EDGES};

impl ConnectionTable {
    /// A connection is used again: its life table, if it has one, learns at which age.
    pub(super) fn learn_reuse(&mut self, now: Millis, id: ConnectionId) {
        if let Some((kind, interval)) = self.position_in_life_table(now, id) {
            self.life_tables[kind as usize].record_reuse(now, interval);
        }
    }

    /// A client has closed a connection: its life table, if it has one, learns at which age.
    pub(super) fn learn_client_close(&mut self, now: Millis, id: ConnectionId) {
        if let Some((kind, interval)) = self.position_in_life_table(now, id) {
            self.life_tables[kind as usize].record_client_close(now, interval);
        }
    }

    /// Has the life tables learn which connections have survived an interval by now.
    pub(super) fn learn_survivals(&mut self, now: Millis) {
        while let Some((at, id)) = self.interval_ends.first().copied() {
            if at > now {
                return;
            }
            self.interval_ends.remove(&(at, id));
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            let Some(kind) = entry.reuse_kind() else { continue };
            self.life_tables[kind as usize].record_survival(now, entry.interval);
            entry.interval += 1;
            if let Some(next) = EDGES.get(entry.interval + 1) {
                self.interval_ends.insert((entry.since + next, id));
            }
        }
    }

    /// How likely a connection is to be used again in time.
    pub(super) fn reuse_probability(&self, id: ConnectionId) -> f64 {
        let Some(entry) = self.entries.get(&id) else { return 0.0 };
        let Some(kind) = entry.reuse_kind() else { return 0.0 };
        let life_table = &self.life_tables[kind as usize];
        life_table.reuse_probability(entry.interval, self.limits.idle)
    }

    /// How long a connection of a kind may now be idle.
    pub(super) fn idle_limit(&self, kind: ReuseKind, pressure: f64) -> Millis {
        let limits = &self.limits;
        let (most, least) = match kind {
            ReuseKind::Silent => (limits.whole_command, limits.silent_floor),
            _ => (limits.idle_at(pressure), limits.idle_floor),
        };
        let required = limits.required_reuse_probability_at(pressure);
        // A connection that is used again only after the shorter limit is not worth keeping while
        // others need the capacity.
        let horizon = most.min(limits.idle);
        let life_table = &self.life_tables[kind as usize];
        let unlikely_from = life_table.unlikely_to_return_from(required, horizon);
        if required > 0.0 && unlikely_from < horizon {
            unlikely_from.max(least)
        } else {
            most
        }
    }

    fn position_in_life_table(&self, now: Millis, id: ConnectionId) -> Option<(ReuseKind, usize)> {
        let entry = self.entries.get(&id)?;
        let kind = entry.reuse_kind()?;
        let interval = interval_of(now.saturating_sub(entry.since)).max(entry.interval);
        Some((kind, interval))
    }
}
