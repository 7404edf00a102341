//! When drift is an alarm: once it has lasted, and once until the process was well for long enough.

use crate::{DriftDetector, DriftState, Time, Timing};
use std::collections::BTreeMap;

/// A process that does not have in force what was approved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Alarm {
    /// Its proxy's name.
    pub name: String,
    /// When it started.
    pub start: u64,
    /// How it stands.
    pub state: DriftState,
    /// The parts that differ.
    pub parts: Vec<String>,
}

#[derive(Default)]
struct Watched {
    drifts_since: Option<Time>,
    well_since: Option<Time>,
    raised: bool,
}

/// The alarms that were raised. Every process keeps them, so that whoever takes the office over knows which were.
#[derive(Default)]
pub struct Alarms {
    times: Timing,
    watched: BTreeMap<(String, u64), Watched>,
}

impl Alarms {
    /// None was raised.
    pub fn new(times: Timing) -> Alarms {
        Alarms { times, ..Alarms::default() }
    }

    /// This alarm was raised, here or elsewhere.
    pub fn mark_raised(&mut self, name: &str, start: u64) {
        self.watched.entry((name.to_owned(), start)).or_default().raised = true;
    }

    /// About whom the alarm was raised and has not been forgotten.
    pub fn all_raised(&self) -> Vec<(String, u64)> {
        self.watched.iter().filter(|(_, watched)| watched.raised).map(|(who, _)| who.clone()).collect()
    }

    /// Looks at a table; the alarms that are due. Danger: they stay due until one was raised: whoever takes the office over from a holder
    /// that died raises what that one did not.
    pub fn due(&mut self, now: Time, table: &DriftDetector) -> Vec<Alarm> {
        let mut due = Vec::new();
        let nodes: Vec<_> = table.nodes().collect();
        self.watched.retain(|(name, start), _| nodes.iter().any(|(of, at, _)| of == name && at == start));
        for (name, start, node) in nodes {
            let watched = self.watched.entry((name.to_owned(), start)).or_default();
            if node.state.is_drift() {
                let since = *watched.drifts_since.get_or_insert(node.since);
                watched.well_since = None;
                if now.saturating_sub(since) >= self.times.alarm && !watched.raised {
                    due.push(Alarm { name: name.to_owned(), start, state: node.state, parts: node.parts });
                }
                continue;
            }
            watched.drifts_since = None;
            if node.state != DriftState::Same {
                // Neither drift nor known to be well.
                continue;
            }
            let since = *watched.well_since.get_or_insert(now);
            // Danger: a flap must not raise the alarm at each turn.
            if now.saturating_sub(since) >= self.times.calm {
                watched.raised = false;
            }
        }
        due
    }
}

#[cfg(test)]
mod tests;
