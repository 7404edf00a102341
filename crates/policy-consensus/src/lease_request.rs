//! The data that processes and voters exchange about admission leases. Read [`LeaseRequest`] first.
//!
//! The order of the fields is part of the message format.

use crate::wire_ms;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A process's request to a voter for an admission lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The number of this request among the requests of the process to the voter, from 1.
    pub sequence: u64,
    /// The version that is active at the process.
    pub version: u64,
    /// Whether the process requests the lease for that version. If not, the process has released
    /// its lease and admits no request under earlier grants.
    pub wants_lease: bool,
    /// The readiness of the process for the open change, once the process has validated the change.
    pub readiness: Option<ChangeReadiness>,
    /// Whether the process fails open: it still admits requests after its lease has expired.
    pub fails_open: bool,
}

/// The readiness of a process for one change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReadiness {
    /// The id of the change.
    pub change_id: String,
    /// Whether the process can make the change active.
    pub readiness: Readiness,
}

impl ChangeReadiness {
    /// Returns whether the process is ready for the change with this id.
    #[must_use]
    pub fn is_ready_for(&self, change_id: &str) -> bool {
        self.change_id == change_id && self.readiness == Readiness::Ready
    }
}

/// Whether a process can make a change active.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// The process can make the change active at any time.
    Ready,
    /// The process cannot make the change active. The text has the path of the invalid setting and
    /// the reason.
    Rejected(String),
}

/// A process that may hold an admission lease, as a voter sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The name of the process.
    pub name: String,
    /// Whether the process is ready for the change that the request named.
    pub is_ready: bool,
    /// The longest time for which the process may still hold the lease, in whole milliseconds.
    #[serde(with = "wire_ms")]
    pub remaining: Duration,
}

/// A lease that keeps a voter from voting for another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockingLease {
    /// The name of the process that may hold the lease.
    pub holder: String,
    /// The longest time for which the process may still hold the lease, in whole milliseconds.
    #[serde(with = "wire_ms")]
    pub remaining: Duration,
}
