//! How each process stands, by its last report and by how long ago that was.

use crate::{NodeStatus, Report, Time};
use std::collections::BTreeMap;

/// How a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DriftState {
    /// It has what was approved in force.
    Same,
    /// A change is under way, or was just taken.
    Changing,
    /// It has an earlier version.
    Behind,
    /// It has a later version than is known here.
    Ahead,
    /// It has something else under the number that was approved.
    Differs,
    /// It admits nothing.
    Fenced,
    /// It was not heard lately: what it has in force is not known.
    Silent,
}

impl DriftState {
    /// The word for it.
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

    /// Whether it is drift.
    pub fn is_drift(self) -> bool {
        matches!(self, DriftState::Behind | DriftState::Ahead | DriftState::Differs)
    }
}

/// Within which times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Who was not heard for so long is silent.
    pub silent: Time,
    /// A version that was approved must be in force everywhere so much later; until then that is a change under way.
    pub settle: Time,
    /// Drift that lasts for so long is an alarm.
    pub alarm: Time,
    /// After an alarm a process must be well for so long before it can be the cause of another.
    pub calm: Time,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { silent: 1600, settle: 1000, alarm: 500, calm: 5000 }
    }
}

/// What was approved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Approved {
    /// Its number.
    pub version: u64,
    /// A digest for each of its parts, as this process would have it in force.
    pub parts: BTreeMap<String, u64>,
}

/// A process as the table has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackedNode {
    /// How it stands.
    pub state: DriftState,
    /// The version that it said.
    pub version: u64,
    /// What it said of the parts.
    pub report: Report,
    /// The parts that differ from what was approved.
    pub parts: Vec<String>,
    /// Since when it stands so.
    pub since: Time,
    /// When it was heard last.
    pub heard: Time,
}

struct Entry {
    report: Report,
    heard: Time,
    state: DriftState,
    since: Time,
    /// Since when it says a later version than is approved.
    beyond: Option<Time>,
}

/// How all stand. A process is known by its name and its start.
#[derive(Default)]
pub struct DriftDetector {
    times: Timing,
    approved: Approved,
    approved_at: Time,
    nodes: BTreeMap<(String, u64), Entry>,
}

impl DriftDetector {
    /// Nobody is known.
    pub fn new(times: Timing) -> DriftDetector {
        DriftDetector { times, ..DriftDetector::default() }
    }

    /// This is approved, as far as is known here.
    pub fn set_approved(&mut self, now: Time, approved: Approved) {
        if approved != self.approved {
            (self.approved, self.approved_at) = (approved, now);
        }
        self.refresh(now);
    }

    /// What is approved.
    pub fn approved(&self) -> &Approved {
        &self.approved
    }

    /// A process says how it stands. What comes late or twice changes nothing.
    pub fn record_report(&mut self, now: Time, name: &str, start: u64, report: Report) {
        let key = (name.to_owned(), start);
        match self.nodes.get_mut(&key) {
            Some(entry) if entry.report.number >= report.number => return,
            Some(entry) => (entry.report, entry.heard) = (report, now),
            None => {
                let entry =
                    Entry { report, heard: now, state: DriftState::Changing, since: now, beyond: None };
                self.nodes.insert(key, entry);
            }
        }
        self.refresh(now);
    }

    /// Time has passed.
    pub fn refresh(&mut self, now: Time) {
        let (times, approved, at) = (self.times, &self.approved, self.approved_at);
        for entry in self.nodes.values_mut() {
            let is_beyond = entry.report.version > approved.version;
            entry.beyond = is_beyond.then(|| entry.beyond.unwrap_or(now));
            let state = stands(entry, now, times, approved, at);
            if state != entry.state {
                (entry.state, entry.since) = (state, now);
            }
        }
    }

    /// Processes that nobody speaks of any more are forgotten: `there` says who is.
    pub fn retain(&mut self, there: impl Fn(&str, u64) -> bool) {
        self.nodes.retain(|(name, start), _| there(name, *start));
    }

    /// How each process stands.
    pub fn nodes(&self) -> impl Iterator<Item = (&str, u64, TrackedNode)> {
        self.nodes.iter().map(|((name, start), entry)| {
            let node = TrackedNode {
                state: entry.state,
                version: entry.report.version,
                report: entry.report.clone(),
                parts: differing(&entry.report, &self.approved),
                since: entry.since,
                heard: entry.heard,
            };
            (name.as_str(), *start, node)
        })
    }
}

fn stands(entry: &Entry, now: Time, times: Timing, approved: &Approved, at: Time) -> DriftState {
    let report = &entry.report;
    // Danger: what was heard of old must not pass for what is.
    if now.saturating_sub(entry.heard) >= times.silent {
        return DriftState::Silent;
    }
    match report.status {
        NodeStatus::Fenced => return DriftState::Fenced,
        NodeStatus::CatchesUp => return DriftState::Changing,
        NodeStatus::Admits => {}
    }
    let settles = now.saturating_sub(at) < times.settle;
    match report.version.cmp(&approved.version) {
        // Word of a version may come before word that it was approved.
        std::cmp::Ordering::Greater => {
            let since = entry.beyond.unwrap_or(now);
            if now.saturating_sub(since) < times.settle {
                DriftState::Changing
            } else {
                DriftState::Ahead
            }
        }
        std::cmp::Ordering::Less if settles => DriftState::Changing,
        std::cmp::Ordering::Less => DriftState::Behind,
        std::cmp::Ordering::Equal if differing(report, approved).is_empty() => DriftState::Same,
        std::cmp::Ordering::Equal if settles => DriftState::Changing,
        std::cmp::Ordering::Equal => DriftState::Differs,
    }
}

fn differing(report: &Report, approved: &Approved) -> Vec<String> {
    let names = report.parts.keys().chain(approved.parts.keys());
    let mut differ: Vec<String> =
        names.filter(|name| report.parts.get(*name) != approved.parts.get(*name)).cloned().collect();
    differ.sort();
    differ.dedup();
    differ
}

#[cfg(test)]
mod tests;
