//! [`Alarms`]: when drift is an alarm. It is one once it has lasted, and no second time until the
//! process was without drift for long enough. The rule is [`AlarmRecord::update`].

use crate::{DriftDetector, DriftState, ProcessKey, Timestamp, Timing, TrackedProcess};
use std::collections::BTreeMap;

/// An alarm: a process that does not have the approved policy active.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Alarm {
    /// The process.
    pub process: ProcessKey,
    /// The kind of drift.
    pub state: DriftState,
    /// The parts that differ.
    pub differing_parts: Vec<String>,
}

/// Whether the alarm about a process was raised and is not over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum AlarmState {
    /// It was not raised, or the process has recovered since.
    #[default]
    NotRaised,
    /// It was raised, here or at another process.
    Raised,
}

/// How the state of a process has developed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Trend {
    /// Neither drift nor recovery was seen.
    #[default]
    Undetermined,
    /// It drifts.
    Drifting {
        /// When that began.
        since: Timestamp,
    },
    /// It has the approved policy active, or had it when its state was last certain.
    Recovering {
        /// When that began.
        since: Timestamp,
    },
}

impl Trend {
    /// The trend after the present state of the process.
    fn after(self, now: Timestamp, tracked: &TrackedProcess) -> Trend {
        match (tracked.state, self) {
            (state, Trend::Drifting { since }) if state.is_drift() => Trend::Drifting { since },
            (state, _) if state.is_drift() => Trend::Drifting { since: tracked.state_since },
            (DriftState::Same, Trend::Recovering { since }) => Trend::Recovering { since },
            (DriftState::Same, _) => Trend::Recovering { since: now },
            // A state that is neither drift nor `Same` neither begins nor interrupts a recovery.
            (_, Trend::Recovering { since }) => Trend::Recovering { since },
            (_, Trend::Drifting { .. } | Trend::Undetermined) => Trend::Undetermined,
        }
    }
}

/// Whether an alarm is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AlarmDecision {
    /// The leader must raise it now.
    Due,
    /// The process does not drift, or not for long enough.
    NoLastingDrift,
    /// It was raised already.
    AlreadyRaised,
}

/// The record of one process.
#[derive(Default)]
struct AlarmRecord {
    trend: Trend,
    alarm: AlarmState,
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

    /// Records that the alarm about a process was raised, here or at another process.
    pub fn mark_raised(&mut self, process: ProcessKey) {
        self.records.entry(process).or_default().alarm = AlarmState::Raised;
    }

    /// The processes about which an alarm was raised, and that did not recover since.
    pub fn all_raised(&self) -> Vec<ProcessKey> {
        let raised = self.records.iter().filter(|(_, record)| record.alarm == AlarmState::Raised);
        raised.map(|(process, _)| process.clone()).collect()
    }

    /// Takes the present states; returns the alarms that are due.
    ///
    /// Invariant: an alarm stays due until [`Alarms::mark_raised`]: a new leader raises what its
    /// predecessor did not raise before it failed.
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
    /// Takes the present state of a process.
    ///
    /// Decides: whether the alarm about a process is due, and when it is over.
    /// Inputs: the time now and since when the process drifts or has recovered (own clock); whether
    /// the alarm was raised; the alarm delay and the recovery time.
    /// Reason: operators need one alarm for a drift that lasts, none for a short one, and not one
    /// for each time that a process alternates between both.
    /// Source: docs/policy-design.md.
    fn update(&mut self, now: Timestamp, tracked: &TrackedProcess, timing: Timing) -> AlarmDecision {
        self.trend = self.trend.after(now, tracked);
        match self.trend {
            Trend::Drifting { since } => {
                if now.saturating_duration_since(since) < timing.alarm_delay {
                    AlarmDecision::NoLastingDrift
                } else if self.alarm == AlarmState::Raised {
                    AlarmDecision::AlreadyRaised
                } else {
                    AlarmDecision::Due
                }
            }
            Trend::Recovering { since } => {
                let has_recovered = now.saturating_duration_since(since) >= timing.recovery_time;
                if has_recovered && tracked.state == DriftState::Same {
                    self.alarm = AlarmState::NotRaised;
                }
                AlarmDecision::NoLastingDrift
            }
            Trend::Undetermined => AlarmDecision::NoLastingDrift,
        }
    }
}

#[cfg(test)]
mod tests;
