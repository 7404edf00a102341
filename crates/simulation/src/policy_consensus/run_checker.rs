//! Records what is observed in a run, and checks it. Read [`Verdict`] first.
//!
//! The checks use only what is promised to operators, and no knowledge of the code that they check.

use super::plan::Plan;
use super::policies::is_rejected_at;
use super::run::{Admitted, OutcomeCounts, Run, Verdict};
use super::shared::lock;
use pinetrail_policy_consensus::Outcome;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// The status of a host as operators would see it.
#[derive(Clone, Debug)]
pub(super) struct HostStatus {
    pub(super) version: u64,
    pub(super) is_steady: bool,
    pub(super) open_change: Option<String>,
}

/// A change that was proposed, and the time of its proposal.
struct ProposedChange {
    text: String,
    at_ms: u64,
}

#[derive(Default)]
struct Observations {
    /// The first request that was admitted under each version.
    first_admitted: BTreeMap<u64, Admitted>,
    /// The last request that was admitted under each version.
    last_admitted: BTreeMap<u64, Admitted>,
    /// The text of each version that became active.
    texts: BTreeMap<u64, String>,
    /// A version that became active with two texts, if there is one.
    version_with_two_texts: Option<u64>,
    /// The proposed changes by their ids.
    proposed: BTreeMap<String, ProposedChange>,
    /// The known outcomes by the ids of their changes.
    outcomes: BTreeMap<String, Outcome>,
    /// A change of which two outcomes were reported, if there is one.
    change_with_two_outcomes: Option<String>,
    /// The status that each host that is up reported last.
    statuses: BTreeMap<usize, HostStatus>,
    /// When each host that is up admitted its last request, in ms.
    last_admission_ms: BTreeMap<usize, u64>,
    longest_gap_ms: u64,
    log: Vec<String>,
}

/// Collects what is observed in a run, and checks it. Clones share their observations.
#[derive(Clone, Default)]
pub(super) struct RunChecker {
    /// The observations so far, and their lock.
    observations: Arc<Mutex<Observations>>,
}

impl RunChecker {
    /// Adds a line to the log of the run.
    pub(super) fn log(&self, line: String) {
        lock(&self.observations).log.push(line);
    }

    /// Records the text of a version that became active at a host.
    pub(super) fn record_text(&self, version: u64, text: &str) {
        let mut observations = lock(&self.observations);
        let known = observations.texts.entry(version).or_insert_with(|| text.to_owned());
        if known != text {
            observations.version_with_two_texts = Some(version);
        }
    }

    /// Records a change that is about to be proposed.
    pub(super) fn record_proposal(&self, id: &str, text: &str, now_ms: u64) {
        let change = ProposedChange { text: text.to_owned(), at_ms: now_ms };
        lock(&self.observations).proposed.insert(id.to_owned(), change);
    }

    /// Returns the ids of the changes whose outcome is not known.
    pub(super) fn changes_without_outcome(&self) -> Vec<String> {
        let observations = lock(&self.observations);
        let ids = observations.proposed.keys();
        ids.filter(|id| !observations.outcomes.contains_key(*id)).cloned().collect()
    }

    /// Records the outcome of a change, as a host reports it.
    pub(super) fn record_outcome(&self, id: &str, outcome: Outcome) {
        let mut observations = lock(&self.observations);
        let known = *observations.outcomes.entry(id.to_owned()).or_insert(outcome);
        if known != outcome {
            observations.change_with_two_outcomes = Some(id.to_owned());
        }
    }

    /// Records the status that a host reports.
    pub(super) fn record_status(&self, host: usize, status: HostStatus) {
        lock(&self.observations).statuses.insert(host, status);
    }

    /// Removes the status and the last admission of a host that crashed.
    pub(super) fn forget_host(&self, host: usize) {
        let mut observations = lock(&self.observations);
        observations.last_admission_ms.remove(&host);
        observations.statuses.remove(&host);
    }

    /// Records a request that was admitted.
    pub(super) fn record_admitted(&self, admitted: Admitted) {
        let mut observations = lock(&self.observations);
        observations.first_admitted.entry(admitted.version).or_insert(admitted);
        observations.last_admitted.insert(admitted.version, admitted);
        if let Some(previous_ms) = observations.last_admission_ms.insert(admitted.host, admitted.at_ms) {
            let gap_ms = admitted.at_ms - previous_ms;
            observations.longest_gap_ms = observations.longest_gap_ms.max(gap_ms);
        }
    }

    /// Checks what was observed in a run that has ended.
    pub(super) fn check(self, plan: Plan) -> Run {
        let observations = std::mem::take(&mut *lock(&self.observations));
        Run {
            verdict: observations.verdict(&plan),
            outcomes: observations.outcome_counts(),
            commit_latencies_ms: observations.commit_latencies_ms(),
            longest_gap_ms: observations.longest_gap_ms,
            log: observations.log,
            plan,
        }
    }
}

impl Observations {
    fn verdict(&self, plan: &Plan) -> Verdict {
        let checks = [self.conflict(), self.overlap(), self.unfinished(plan)];
        checks.into_iter().flatten().next().unwrap_or(Verdict::Passed)
    }

    /// Finds a version with two texts, a change with two outcomes, or an active change that was not
    /// committed.
    fn conflict(&self) -> Option<Verdict> {
        if let Some(version) = self.version_with_two_texts {
            return Some(Verdict::ConflictingTexts { version });
        }
        if let Some(change_id) = &self.change_with_two_outcomes {
            return Some(Verdict::ConflictingOutcomes { change_id: change_id.clone() });
        }
        for (id, outcome) in &self.outcomes {
            let text = &self.proposed[id].text;
            let became_active = self.texts.values().any(|active| active == text);
            if *outcome != Outcome::Committed && became_active {
                return Some(Verdict::ConflictingOutcomes { change_id: id.clone() });
            }
        }
        None
    }

    /// Finds a request that was admitted under a version after another was under a later version.
    fn overlap(&self) -> Option<Verdict> {
        for (version, last) in &self.last_admitted {
            let later_versions = self.first_admitted.range(version + 1..).map(|(_, first)| first);
            let first_of_later = later_versions.min_by_key(|first| first.at_ms);
            if let Some(first) = first_of_later.filter(|first| first.at_ms < last.at_ms) {
                return Some(Verdict::Overlap { last_of_earlier: *last, first_of_later: *first });
            }
        }
        None
    }

    /// Finds a host with an open change, or one that is not steady under the latest version.
    fn unfinished(&self, plan: &Plan) -> Option<Verdict> {
        let latest_version = self.statuses.values().map(|status| status.version).max().unwrap_or_default();
        for host in 0..plan.hosts {
            let Some(status) = self.statuses.get(&host) else {
                return Some(Verdict::Stuck { host });
            };
            if let Some(change_id) = &status.open_change {
                return Some(Verdict::NeverFinished { change_id: change_id.clone() });
            }
            let is_settled = status.is_steady && status.version == latest_version;
            // A host that was down or cut off when it could have rejected a version admits no
            // requests, and reports why.
            let is_excluded = !status.is_steady
                && status.version < latest_version
                && self.is_version_rejected_at(latest_version, host);
            if !is_settled && !is_excluded {
                return Some(Verdict::Stuck { host });
            }
        }
        None
    }

    /// Whether a host rejects the policy of a version.
    fn is_version_rejected_at(&self, version: u64, host: usize) -> bool {
        self.texts.get(&version).is_some_and(|text| is_rejected_at(text, host))
    }

    fn outcome_counts(&self) -> OutcomeCounts {
        let count = |outcome| self.outcomes.values().filter(|known| **known == outcome).count() as u32;
        OutcomeCounts {
            committed: count(Outcome::Committed),
            rejected: count(Outcome::Rejected),
            abandoned: count(Outcome::Abandoned),
            unknown: (self.proposed.len() - self.outcomes.len()) as u32,
        }
    }

    /// Returns for each change that became active the time from its proposal until the first
    /// request was admitted under its version, in ms.
    fn commit_latencies_ms(&self) -> Vec<u64> {
        let latency = |change: &ProposedChange| {
            let (version, _) = self.texts.iter().find(|(_, text)| **text == change.text)?;
            Some(self.first_admitted.get(version)?.at_ms - change.at_ms)
        };
        self.proposed.values().filter_map(latency).collect()
    }
}
