//! When drift is an alarm: once it has lasted, and no second time until the process was without
//! drift for long enough. Read [`Alarms`] first.

use crate::{DriftDetector, DriftState, ProcessKey, Timestamp, Timing, TrackedNode};
use std::collections::BTreeMap;

/// A process that does not have active what was approved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Alarm {
    /// Which process it is.
    pub process: ProcessKey,
    /// The kind of drift.
    pub state: DriftState,
    /// The parts that differ.
    pub differing_parts: Vec<String>,
}

/// What is remembered of one process.
#[derive(Default)]
struct AlarmRecord {
    drifting_since: Option<Timestamp>,
    /// Since when it has what was approved active.
    same_since: Option<Timestamp>,
    is_raised: bool,
}

/// The alarms that were raised. Every process keeps them, so that a new leader knows which ones its
/// predecessor raised.
#[derive(Default)]
pub struct Alarms {
    timing: Timing,
    records: BTreeMap<ProcessKey, AlarmRecord>,
}

impl Alarms {
    /// No alarm was raised.
    pub fn new(timing: Timing) -> Alarms {
        Alarms { timing, ..Alarms::default() }
    }

    /// Notes that the alarm about a process was raised, here or elsewhere.
    pub fn mark_raised(&mut self, process: ProcessKey) {
        self.records.entry(process).or_default().is_raised = true;
    }

    /// The processes about which an alarm was raised, and that did not recover since.
    pub fn all_raised(&self) -> Vec<ProcessKey> {
        let raised = self.records.iter().filter(|(_, record)| record.is_raised);
        raised.map(|(process, _)| process.clone()).collect()
    }

    /// Takes the present states; the alarms that are due.
    ///
    /// Danger: an alarm stays due until it was raised: a new leader raises what its predecessor,
    /// which died, did not.
    pub fn due(&mut self, now: Timestamp, detector: &DriftDetector) -> Vec<Alarm> {
        let nodes: Vec<TrackedNode> = detector.nodes().collect();
        self.records.retain(|process, _| nodes.iter().any(|node| node.process == *process));
        let mut due = Vec::new();
        for node in nodes {
            let record = self.records.entry(node.process.clone()).or_default();
            if record.is_due_after(now, &node, self.timing) {
                due.push(Alarm {
                    process: node.process,
                    state: node.state,
                    differing_parts: node.differing_parts,
                });
            }
        }
        due
    }
}

impl AlarmRecord {
    /// Takes the present state of the process; whether the alarm about it is due.
    fn is_due_after(&mut self, now: Timestamp, node: &TrackedNode, timing: Timing) -> bool {
        if node.state.is_drift() {
            let drifting_since = *self.drifting_since.get_or_insert(node.state_since);
            self.same_since = None;
            let lasts = now.saturating_duration_since(drifting_since) >= timing.alarm_delay;
            return lasts && !self.is_raised;
        }
        self.drifting_since = None;
        // A state that is neither drift nor `Same` neither begins nor interrupts the recovery.
        if node.state == DriftState::Same {
            let same_since = *self.same_since.get_or_insert(now);
            // Danger: a process that flaps must not raise the alarm each time.
            if now.saturating_duration_since(same_since) >= timing.recovery_time {
                self.is_raised = false;
            }
        }
        false
    }
}

#[cfg(test)]
mod tests;
