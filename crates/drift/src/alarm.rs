//! [`Alarms`] decides when drift raises an alarm: once the drift of a process has lasted for the
//! alarm delay, and not again until the process has been without drift for the recovery time. The
//! rule is [`AlarmRecord::update`].

use crate::{DriftDetector, DriftState, ProcessKey, Timestamp, Timing, TrackedProcess};
use std::collections::BTreeMap;

/// An alarm about a process that does not have the approved policy active.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Alarm {
    /// The process that drifts.
    pub process: ProcessKey,
    /// The kind of drift.
    pub state: DriftState,
    /// The names of the parts that differ from the approved policy, in order.
    pub differing_parts: Vec<String>,
}

/// Whether the alarm about a process was raised and the process has not recovered since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum AlarmState {
    /// The alarm was not raised, or the process has recovered since.
    #[default]
    NotRaised,
    /// The alarm was raised, by this process or by another one.
    Raised,
}

/// The phase of a process: drift or recovery, with its beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum DriftPhase {
    /// The process was seen neither drifting nor recovering.
    #[default]
    Undetermined,
    /// The process drifts.
    Drifting {
        /// The time at which the drift began.
        since: Timestamp,
    },
    /// The process has the approved policy active, or had it when its state was last certain.
    Recovering {
        /// The time at which the recovery began.
        since: Timestamp,
    },
}

impl DriftPhase {
    /// Returns the phase that follows from this one and the present state of the process.
    fn after(self, now: Timestamp, tracked: &TrackedProcess) -> DriftPhase {
        match (tracked.state, self) {
            (state, DriftPhase::Drifting { since }) if state.is_drift() => DriftPhase::Drifting { since },
            (state, _) if state.is_drift() => DriftPhase::Drifting { since: tracked.state_since },
            (DriftState::Same, DriftPhase::Recovering { since }) => DriftPhase::Recovering { since },
            (DriftState::Same, _) => DriftPhase::Recovering { since: now },
            // A state other than drift and `Same` neither begins nor interrupts a recovery.
            (_, DriftPhase::Recovering { since }) => DriftPhase::Recovering { since },
            (_, DriftPhase::Drifting { .. } | DriftPhase::Undetermined) => DriftPhase::Undetermined,
        }
    }
}

/// Whether the alarm about a process is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AlarmDecision {
    /// The leader must raise the alarm now.
    Due,
    /// The process does not drift, or has drifted for less than the alarm delay.
    NoLastingDrift,
    /// The alarm was raised already.
    AlreadyRaised,
}

/// The phase of one process and the state of the alarm about it.
#[derive(Default)]
struct AlarmRecord {
    phase: DriftPhase,
    alarm: AlarmState,
}

/// The alarms about all processes. Every process keeps them, so that a new leader knows which
/// alarms its predecessor raised.
#[derive(Default)]
pub struct Alarms {
    timing: Timing,
    records: BTreeMap<ProcessKey, AlarmRecord>,
}

impl Alarms {
    /// Creates the state in which no alarm was raised.
    pub fn new(timing: Timing) -> Alarms {
        Alarms { timing, ..Alarms::default() }
    }

    /// Records that the alarm about a process was raised, by this process or by another one.
    pub fn mark_raised(&mut self, process: ProcessKey) {
        self.records.entry(process).or_default().alarm = AlarmState::Raised;
    }

    /// Returns the processes about which an alarm was raised and that have not recovered since.
    pub fn all_raised(&self) -> Vec<ProcessKey> {
        let raised = self.records.iter().filter(|(_, record)| record.alarm == AlarmState::Raised);
        raised.map(|(process, _)| process.clone()).collect()
    }

    /// Updates the records of all processes from the detector and returns the alarms that are due.
    ///
    /// Invariant: an alarm stays due until [`Alarms::mark_raised`] is called, so that a new leader
    /// raises the alarms that its predecessor did not raise before it failed.
    pub fn due(&mut self, now: Timestamp, detector: &DriftDetector) -> Vec<Alarm> {
        let processes: Vec<TrackedProcess> = detector.processes().collect();
        self.records.retain(|process, _| processes.iter().any(|tracked| tracked.process == *process));
        let mut due = Vec::new();
        for tracked in processes {
            let record = self.records.entry(tracked.process.clone()).or_default();
            if record.update(now, &tracked, self.timing) == AlarmDecision::Due {
                due.push(Alarm {
                    process: tracked.process,
                    state: tracked.state,
                    differing_parts: tracked.differing_parts,
                });
            }
        }
        due
    }
}

impl AlarmRecord {
    /// Decides whether the alarm about a process is due, and when a raised alarm is over.
    ///
    /// Inputs: the time now and since when the process drifts or recovers (own clock); whether the
    /// alarm was raised; the alarm delay and the recovery time.
    /// Reason: operators need one alarm for a drift that lasts and none for a short one. A process
    /// that alternates between drift and no drift must not raise an alarm each time.
    /// Source: docs/policy-design.md.
    fn update(&mut self, now: Timestamp, tracked: &TrackedProcess, timing: Timing) -> AlarmDecision {
        self.phase = self.phase.after(now, tracked);
        match self.phase {
            DriftPhase::Drifting { since } => {
                if now.saturating_duration_since(since) < timing.alarm_delay {
                    AlarmDecision::NoLastingDrift
                } else if self.alarm == AlarmState::Raised {
                    AlarmDecision::AlreadyRaised
                } else {
                    AlarmDecision::Due
                }
            }
            DriftPhase::Recovering { since } => {
                let has_recovered = now.saturating_duration_since(since) >= timing.recovery_time;
                if has_recovered && tracked.state == DriftState::Same {
                    self.alarm = AlarmState::NotRaised;
                }
                AlarmDecision::NoLastingDrift
            }
            DriftPhase::Undetermined => AlarmDecision::NoLastingDrift,
        }
    }
}

#[cfg(test)]
mod tests;
