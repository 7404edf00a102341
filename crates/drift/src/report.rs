//! [`DriftMessage`]: the messages between processes about drift, among them the [`Report`].
//!
//! Invariant: the order of the fields and variants of all types in this module is the format on the
//! wire (postcard) and must not change.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The digest of each part of a policy, by the name of the part.
pub type PartDigests = BTreeMap<String, u64>;

/// The identity of a process. The name alone does not identify a process, since a restarted process
/// has the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessKey {
    /// The name of the proxy that the process belongs to.
    pub name: String,
    /// The start of the process, in Unix microseconds.
    pub start: u64,
}

/// Whether a process admits requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessStatus {
    /// The process admits requests under its active policy.
    Admitting,
    /// The process admits no requests because its admission lease has ended.
    Fenced,
    /// The process admits no requests yet because it is catching up with the policy.
    CatchingUp,
}

/// The report of a process about its active policy.
///
/// Invariant: the digests are computed for each report from the objects in use, since these may not
/// have the values that were set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sequence number of the report among the reports of the process.
    pub sequence: u64,
    /// The version that is active at the process, as stated by the process.
    pub version: u64,
    /// Whether the process admits requests.
    pub status: ProcessStatus,
    /// The digests of the parts of the active policy.
    pub part_digests: PartDigests,
    /// The processes about which an alarm was raised, as far as the sender knows. A process that
    /// has just started learns of raised alarms from the reports of the others.
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
    /// Encodes the message by postcard.
    pub fn encode(&self) -> Vec<u8> {
        // Postcard cannot fail on the types above.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message that [`DriftMessage::encode`] wrote. Returns `None` if the bytes are not
    /// exactly one message.
    pub fn decode(bytes: &[u8]) -> Option<DriftMessage> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
