//! The result of a simulated run: [`Run`].

use super::plan::Plan;

/// How a run ended.
#[derive(Clone, Debug)]
pub struct Run {
    /// What was played.
    pub plan: Plan,
    /// What is wrong, if anything.
    pub verdict: Verdict,
    /// How the changes finished.
    pub outcomes: OutcomeCounts,
    /// Of each committed change, the time from its proposal until the first request was admitted
    /// under it, in ms.
    pub commit_latencies_ms: Vec<u64>,
    /// The longest time for which a host that was up admitted nothing, in ms.
    pub longest_gap_ms: u64,
    /// What was logged, in its order; the same for the same seed.
    pub log: Vec<String>,
}

/// Numbers of changes by how they finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Their version became active.
    pub committed: u32,
    /// A host rejected them.
    pub rejected: u32,
    /// They took too long.
    pub abandoned: u32,
    /// No host knows how they finished.
    pub unknown: u32,
}

/// A request that was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The host.
    pub host: usize,
    /// When, in ms of simulated time: one clock for all hosts.
    pub at_ms: u64,
    /// Under which version.
    pub version: u64,
}

/// What is wrong with a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Passed,
    /// A request was admitted under a version after one was under a later version.
    Overlap {
        /// The last request under the earlier version.
        last_of_earlier: Admitted,
        /// The first request under the later version.
        first_of_later: Admitted,
    },
    /// Two hosts had different policies under one version number.
    ConflictingTexts {
        /// That version.
        version: u64,
    },
    /// A change was reported to have finished in two ways, or one that was not committed became
    /// active.
    ConflictingOutcomes {
        /// The id of that change.
        change_id: String,
    },
    /// Although all was well for long enough, this host does not admit, or not under the latest
    /// version.
    Stuck {
        /// That host.
        host: usize,
    },
    /// A change is open for ever.
    NeverFinished {
        /// The id of that change.
        change_id: String,
    },
}
