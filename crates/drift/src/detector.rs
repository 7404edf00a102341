//! [`DriftDetector`] determines the drift state of each process from its last report and the age of
//! that report. The rule is [`ProcessRecord::state_at`].

use crate::{PartDigests, ProcessKey, ProcessStatus, Report, Timestamp, Timing};
use std::cmp::Ordering;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

/// The state of a process by the comparison of its active policy with the approved one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DriftState {
    /// The process has the approved policy active.
    Same,
    /// The process is catching up, or a change of the policy is under way or was just committed.
    Changing,
    /// The process has an earlier version than the approved one active.
    Behind,
    /// The process has a later version active than the approved one known here.
    Ahead,
    /// The process has the number of the approved version active, but with other digests.
    Differs,
    /// The process admits no requests because its admission lease has ended.
    Fenced,
    /// The last report of the process is too old, so that its active policy is not known.
    Silent,
}

impl DriftState {
    /// Returns the name of the state in the response of `/control/drift`.
    pub fn as_str(self) -> &'static str {
        match self {
            DriftState::Same => "same",
            DriftState::Changing => "changing",
            DriftState::Behind => "behind",
            DriftState::Ahead => "ahead",
            DriftState::Differs => "differs",
            DriftState::Fenced => "fenced",
            DriftState::Silent => "silent",
        }
    }

    /// Returns whether the state is drift, which raises an alarm if it lasts.
    pub fn is_drift(self) -> bool {
        matches!(self, DriftState::Behind | DriftState::Ahead | DriftState::Differs)
    }
}

/// The approved version of the policy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApprovedPolicy {
    /// The number of the version.
    pub version: u64,
    /// The digests of the policy's parts that a process has with this version active.
    pub part_digests: PartDigests,
}

/// The drift state of a process and the report that it follows from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackedProcess {
    /// The process.
    pub process: ProcessKey,
    /// The drift state of the process.
    pub state: DriftState,
    /// The time since which the process has been in this state.
    pub state_since: Timestamp,
    /// The last report of the process.
    pub report: Report,
    /// The time at which the last report arrived.
    pub last_report_at: Timestamp,
    /// The names of the parts that differ from the approved policy, in order.
    pub differing_parts: Vec<String>,
}

/// The last report of a process, and the state that follows from it.
struct ProcessRecord {
    report: Report,
    last_report_at: Timestamp,
    state: DriftState,
    state_since: Timestamp,
    /// The time since which the process has reported a later version than the approved one; `None`
    /// if it does not.
    ahead_since: Option<Timestamp>,
}

/// Compares the reports of all processes with the approved policy.
#[derive(Default)]
pub struct DriftDetector {
    timing: Timing,
    approved: ApprovedPolicy,
    /// The time at which the approved version last changed.
    approved_at: Timestamp,
    processes: BTreeMap<ProcessKey, ProcessRecord>,
}

impl DriftDetector {
    /// Creates a detector without reports and without an approved version.
    pub fn new(timing: Timing) -> DriftDetector {
        DriftDetector { timing, ..DriftDetector::default() }
    }

    /// Sets the approved version that this process knows, and updates all states.
    pub fn set_approved(&mut self, now: Timestamp, approved: ApprovedPolicy) {
        if approved != self.approved {
            self.approved = approved;
            self.approved_at = now;
        }
        self.refresh(now);
    }

    /// Returns the approved version that this process knows.
    pub fn approved(&self) -> &ApprovedPolicy {
        &self.approved
    }

    /// Records a report and updates all states. A report that is out of order or duplicated changes
    /// nothing.
    pub fn record_report(&mut self, now: Timestamp, process: ProcessKey, report: Report) {
        match self.processes.entry(process) {
            Entry::Occupied(mut entry) => {
                let record = entry.get_mut();
                if record.report.sequence >= report.sequence {
                    return;
                }
                record.report = report;
                record.last_report_at = now;
            }
            Entry::Vacant(entry) => {
                entry.insert(ProcessRecord {
                    report,
                    last_report_at: now,
                    state: DriftState::Changing,
                    state_since: now,
                    ahead_since: None,
                });
            }
        }
        self.refresh(now);
    }

    /// Updates the states of all processes to the present time.
    pub fn refresh(&mut self, now: Timestamp) {
        let baseline =
            Baseline { timing: self.timing, approved: &self.approved, approved_at: self.approved_at };
        for record in self.processes.values_mut() {
            record.refresh(now, &baseline);
        }
    }

    /// Removes the processes for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&ProcessKey) -> bool) {
        self.processes.retain(|process, _| is_known(process));
    }

    /// Returns all processes with their states, in the order of their keys.
    pub fn processes(&self) -> impl Iterator<Item = TrackedProcess> + '_ {
        self.processes.iter().map(|(process, record)| TrackedProcess {
            process: process.clone(),
            state: record.state,
            state_since: record.state_since,
            report: record.report.clone(),
            last_report_at: record.last_report_at,
            differing_parts: differing_parts(&record.report, &self.approved),
        })
    }
}

/// The timeouts and the approved version with which reports are compared.
struct Baseline<'a> {
    timing: Timing,
    approved: &'a ApprovedPolicy,
    approved_at: Timestamp,
}

impl ProcessRecord {
    fn refresh(&mut self, now: Timestamp, baseline: &Baseline<'_>) {
        if self.report.version > baseline.approved.version {
            self.ahead_since.get_or_insert(now);
        } else {
            self.ahead_since = None;
        }
        let state = self.state_at(now, baseline);
        if state != self.state {
            self.state = state;
            self.state_since = now;
        }
    }

    /// Decides how the active policy of the process compares with the approved one.
    ///
    /// Inputs: the time now and the arrival of the last report (own clock); the status, version and
    /// digests in that report; the approved version and digests; the silence timeout and the
    /// settling time.
    /// Reason: during every change the active policy of a process differs briefly from the approved
    /// one, which is no drift, and an old report must not be taken for the present state.
    /// Source: docs/policy-design.md.
    fn state_at(&self, now: Timestamp, baseline: &Baseline<'_>) -> DriftState {
        let age = now.saturating_duration_since(self.last_report_at);
        if age >= baseline.timing.silence_timeout {
            return DriftState::Silent;
        }
        match self.report.status {
            ProcessStatus::Fenced => DriftState::Fenced,
            ProcessStatus::CatchingUp => DriftState::Changing,
            ProcessStatus::Admitting => self.compare_version(now, baseline),
        }
    }

    /// Returns the state of a process that admits requests.
    fn compare_version(&self, now: Timestamp, baseline: &Baseline<'_>) -> DriftState {
        let settling_time = baseline.timing.settling_time;
        let is_settling = now.saturating_duration_since(baseline.approved_at) < settling_time;
        match self.report.version.cmp(&baseline.approved.version) {
            Ordering::Greater => {
                // A report of a new version may arrive before this process knows the approval.
                let ahead_since = self.ahead_since.unwrap_or(now);
                if now.saturating_duration_since(ahead_since) < settling_time {
                    DriftState::Changing
                } else {
                    DriftState::Ahead
                }
            }
            Ordering::Less if is_settling => DriftState::Changing,
            Ordering::Less => DriftState::Behind,
            Ordering::Equal if self.report.part_digests == baseline.approved.part_digests => DriftState::Same,
            Ordering::Equal if is_settling => DriftState::Changing,
            Ordering::Equal => DriftState::Differs,
        }
    }
}

/// Returns the names of the parts that are missing from the report or from the approved policy, or
/// whose digests differ.
fn differing_parts(report: &Report, approved: &ApprovedPolicy) -> Vec<String> {
    let names = report.part_digests.keys().chain(approved.part_digests.keys());
    let is_different = |name: &&String| report.part_digests.get(*name) != approved.part_digests.get(*name);
    let mut differing: Vec<String> = names.filter(is_different).cloned().collect();
    differing.sort();
    differing.dedup();
    differing
}

#[cfg(test)]
mod tests;
