//! [`DriftMessage`]: the messages between processes, with the [`Report`] in it.
//!
//! Invariant: the order of fields and variants of all types here is the format (postcard) and must
//! not change.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A digest for each part of a policy, by the part's name.
pub type PartDigests = BTreeMap<String, u64>;

/// Identifies a process. Its name alone does not, since a restart keeps it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessKey {
    /// The proxy's name.
    pub name: String,
    /// When this process of it started, in Unix microseconds.
    pub start: u64,
}

/// Whether a process admits requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessStatus {
    /// It does, under the policy that it has active.
    Admitting,
    /// It does not: its admission lease has ended.
    Fenced,
    /// It does not yet: it is catching up.
    CatchingUp,
}

/// The report of a process about itself.
///
/// Invariant: the digests are computed from the live objects for each report, since a value that was
/// once set may not be the one in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Counts the reports of a process.
    pub sequence: u64,
    /// The version that it has active, by its own account.
    pub version: u64,
    /// Whether it admits requests.
    pub status: ProcessStatus,
    /// The digests of the policy that it has active.
    pub part_digests: PartDigests,
    /// The processes about which an alarm was raised, as far as it knows: a process that has just
    /// started learns them from the reports of the others.
    pub raised_alarms: Vec<ProcessKey>,
}

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DriftMessage {
    /// The report of the sender.
    Report(Report),
    /// The sender has raised the alarm about this process.
    AlarmRaised(ProcessKey),
}

impl DriftMessage {
    /// The message as bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Postcard encodes all of the types above without failure.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// The message that [`DriftMessage::encode`] wrote; none if the bytes are not a message.
    pub fn decode(bytes: &[u8]) -> Option<DriftMessage> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
