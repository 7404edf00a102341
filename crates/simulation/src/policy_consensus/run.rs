//! The result of a simulated run: [`Run`].

use super::plan::Plan;

/// The result of a run, and the plan of the run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The plan that was simulated.
    pub plan: Plan,
    /// Whether the run keeps the invariants, or the first violation.
    pub verdict: Verdict,
    /// The numbers of changes by how they finished.
    pub outcomes: OutcomeCounts,
    /// For each committed change, the time from its proposal until the first request was admitted
    /// under its version, in ms.
    pub commit_latencies_ms: Vec<u64>,
    /// The longest time for which a host that was up admitted no request, in ms.
    pub longest_gap_ms: u64,
    /// The lines that were logged, in the order of time. Equal seeds give equal logs.
    pub log: Vec<String>,
}

/// The numbers of changes by how they finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Changes whose version became active.
    pub committed: u32,
    /// Changes that a host rejected.
    pub rejected: u32,
    /// Changes that were abandoned because they took too long.
    pub abandoned: u32,
    /// Changes whose outcome no host knows.
    pub unknown: u32,
}

/// A request that was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The host that admitted the request.
    pub host: usize,
    /// When the request was admitted, in ms of simulated time, which is one clock for all hosts.
    pub at_ms: u64,
    /// The policy version under which the request was admitted.
    pub version: u64,
}

/// The result of checking a run against the invariants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The run keeps all invariants.
    Passed,
    /// A request was admitted under a version after another request was admitted under a later
    /// version.
    Overlap {
        /// The last request under the earlier version.
        last_of_earlier: Admitted,
        /// The first request under the later version.
        first_of_later: Admitted,
    },
    /// Two hosts had different policies under one version number.
    ConflictingTexts {
        /// The version with two policies.
        version: u64,
    },
    /// Two outcomes were reported of one change, or a change that was not committed became active.
    ConflictingOutcomes {
        /// The id of the change.
        change_id: String,
    },
    /// Although faults have been absent for long enough, a host does not admit requests, or not
    /// under the latest version.
    Stuck {
        /// The number of the host.
        host: usize,
    },
    /// Although faults have been absent for long enough, a change is still open.
    NeverFinished {
        /// The id of the change.
        change_id: String,
    },
}
