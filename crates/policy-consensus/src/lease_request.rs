//! What processes and voters tell each other about admission leases. Read [`LeaseRequest`] first.

use serde::{Deserialize, Serialize};

/// The request of a process for an admission lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Counts the requests of this process to this voter.
    pub sequence: u64,
    /// The version that is active at the process.
    pub version: u64,
    /// Whether it wants to admit under that version. Otherwise it has released its lease, and
    /// admits nothing any more under what was granted before.
    pub wants_lease: bool,
    /// What it makes of the open change, if it has validated it.
    pub readiness: Option<ChangeReadiness>,
    /// Whether it goes on without a lease.
    pub fails_open: bool,
}

/// What a process makes of one change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReadiness {
    /// The id of the change.
    pub change_id: String,
    /// What the process makes of it.
    pub readiness: Readiness,
}

impl ChangeReadiness {
    /// Whether the process is ready for the change with this id.
    #[must_use]
    pub fn is_ready_for(&self, change_id: &str) -> bool {
        self.change_id == change_id && self.readiness == Readiness::Ready
    }
}

/// Whether a process can make a change active.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// It could at any moment.
    Ready,
    /// It cannot, for this reason: the path of what is wrong, and why.
    Rejected(String),
}

/// A process that may hold an admission lease, as one voter sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The name of the process.
    pub name: String,
    /// Whether it is ready for the change that was asked about.
    pub is_ready: bool,
    /// For how long it may hold the lease, at most, in ms.
    pub remaining_ms: u64,
}

/// A lease that keeps a voter from voting for another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockingLease {
    /// The name of the process that may hold it.
    pub holder: String,
    /// For how long it may hold the lease, at most, in ms.
    pub remaining_ms: u64,
}
