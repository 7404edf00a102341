//! When drift is an alarm: once it has lasted, and once until the process was well for long enough.

use crate::{State, Table, Time, Times};
use std::collections::BTreeMap;

/// A process that does not have in force what was approved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Alarm {
    /// Its proxy's name.
    pub name: String,
    /// When it started.
    pub start: u64,
    /// How it stands.
    pub state: State,
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
    times: Times,
    watched: BTreeMap<(String, u64), Watched>,
}

impl Alarms {
    /// None was raised.
    pub fn new(times: Times) -> Alarms {
        Alarms { times, ..Alarms::default() }
    }

    /// This alarm was raised, here or elsewhere.
    pub fn raised(&mut self, name: &str, start: u64) {
        self.watched.entry((name.to_owned(), start)).or_default().raised = true;
    }

    /// About whom the alarm was raised and has not been forgotten.
    pub fn all_raised(&self) -> Vec<(String, u64)> {
        self.watched.iter().filter(|(_, watched)| watched.raised).map(|(who, _)| who.clone()).collect()
    }

    /// Looks at a table; the alarms that are due. Danger: they stay due until one was raised: whoever takes the office over from a holder
    /// that died raises what that one did not.
    pub fn due(&mut self, now: Time, table: &Table) -> Vec<Alarm> {
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
            if node.state != State::Same {
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
mod tests {
    use super::*;
    use crate::{Approved, Report, Stands};

    fn parts(digest: u64) -> BTreeMap<String, u64> {
        BTreeMap::from([("Orgs".to_owned(), digest)])
    }

    #[test]
    fn drift_that_lasts_is_one_alarm_and_a_flap_no_second_one() {
        let mut table = Table::new(Times::default());
        let mut alarms = Alarms::new(Times::default());
        table.approve(0, Approved { version: 1, parts: parts(1) });
        let (mut raised, mut number) = (Vec::new(), 0);
        let mut play = |from: Time, until: Time, digest: u64| {
            for now in (from..until).step_by(100) {
                number += 1;
                let report = Report {
                    number,
                    version: 1,
                    stands: Stands::Admits,
                    parts: parts(digest),
                    raised: vec![],
                };
                table.hear(now, "a", 1, report);
                for alarm in alarms.due(now, &table) {
                    assert_eq!(alarms.due(now, &table).len(), 1, "it stays due until it was raised");
                    alarms.raised(&alarm.name, alarm.start);
                    raised.push(now);
                }
            }
            raised.len()
        };
        assert_eq!(play(1000, 5000, 1), 0);
        assert_eq!(play(5000, 5400, 2), 0, "a short one is none");
        assert_eq!(play(5400, 6000, 1), 0);
        assert_eq!(play(6000, 8000, 2), 1);
        assert_eq!(play(8000, 9000, 1), 1);
        assert_eq!(play(9000, 12_000, 2), 1, "it was not well for long enough");
        assert_eq!(play(12_000, 18_000, 1), 1);
        assert_eq!(play(18_000, 19_000, 2), 2);
    }
}
