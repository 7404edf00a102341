//! [`DriftDetector`]: the state of each process, by its last report and by the age of that. The rule
//! is [`ProcessRecord::state_at`].

use crate::{PartDigests, ProcessKey, ProcessStatus, Report, Timestamp, Timing};
use std::cmp::Ordering;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

/// How what a process has active compares with what was approved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DriftState {
    /// It has what was approved active.
    Same,
    /// A change is under way, or was just committed.
    Changing,
    /// It has an earlier version.
    Behind,
    /// It has a later version than is known here.
    Ahead,
    /// It has something else under the approved version's number.
    Differs,
    /// It admits nothing: its admission lease has ended.
    Fenced,
    /// Its last report is too old: what it has active is not known.
    Silent,
}

impl DriftState {
    /// The word by which operators see it, on `/control/drift`.
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

    /// Whether it is drift, and so may become an alarm.
    pub fn is_drift(self) -> bool {
        matches!(self, DriftState::Behind | DriftState::Ahead | DriftState::Differs)
    }
}

/// What was approved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApprovedPolicy {
    /// Its version.
    pub version: u64,
    /// Its digests, as this process would have it active.
    pub part_digests: PartDigests,
}

/// A process as the detector sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackedProcess {
    /// Which process it is.
    pub process: ProcessKey,
    /// How it compares with what was approved.
    pub state: DriftState,
    /// Since when it is in this state.
    pub state_since: Timestamp,
    /// Its last report.
    pub report: Report,
    /// When that report arrived.
    pub last_report_at: Timestamp,
    /// The parts in which it differs from what was approved, in order.
    pub differing_parts: Vec<String>,
}

/// The record of a process.
struct ProcessRecord {
    report: Report,
    last_report_at: Timestamp,
    state: DriftState,
    state_since: Timestamp,
    /// Since when it reports a later version than the approved one.
    ahead_since: Option<Timestamp>,
}

/// Compares the reports of all processes with what was approved.
#[derive(Default)]
pub struct DriftDetector {
    timing: Timing,
    approved: ApprovedPolicy,
    /// When `approved` was set.
    approved_at: Timestamp,
    processes: BTreeMap<ProcessKey, ProcessRecord>,
}

impl DriftDetector {
    /// A detector to which no process has reported, and for which nothing was approved.
    pub fn new(timing: Timing) -> DriftDetector {
        DriftDetector { timing, ..DriftDetector::default() }
    }

    /// Sets what is approved, as far as this process knows.
    pub fn set_approved(&mut self, now: Timestamp, approved: ApprovedPolicy) {
        if approved != self.approved {
            self.approved = approved;
            self.approved_at = now;
        }
        self.refresh(now);
    }

    /// What is approved.
    pub fn approved(&self) -> &ApprovedPolicy {
        &self.approved
    }

    /// Records a report. One that is out of order or duplicated changes nothing.
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

    /// Updates all states to the present time.
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

    /// All processes, in the order of their keys.
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

/// The values with which reports are compared.
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

    /// The state of the process now.
    ///
    /// Decides: how the process compares with the approved policy.
    /// Inputs: the time now and the arrival of the last report (own clock); the status, version and
    /// digests in that report; the approved version and digests; the silence timeout and the
    /// settling time.
    /// Reason: what a process has active differs for a moment in every change, and an old report
    /// must not pass for the present state.
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

    /// The state of a process that admits requests.
    fn compare_version(&self, now: Timestamp, baseline: &Baseline<'_>) -> DriftState {
        let settling_time = baseline.timing.settling_time;
        let is_settling = now.saturating_duration_since(baseline.approved_at) < settling_time;
        match self.report.version.cmp(&baseline.approved.version) {
            Ordering::Greater => {
                // A report of a version may arrive before its approval is known here.
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

/// The names of the parts that only one of the two has, or that have different digests.
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
