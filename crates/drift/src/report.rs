//! What processes tell each other: [`DriftMessage`], with the [`Report`] in it.
//!
//! The order of fields and variants of all types here is the format (postcard).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A digest for each part of a policy, by the part's name.
pub type PartDigests = BTreeMap<String, u64>;

/// What a process is known by: its name alone is not enough, since a restart keeps it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessKey {
    /// The proxy's name.
    pub name: String,
    /// When this process of it started, in Unix microseconds.
    pub start: u64,
}

/// Whether a process admits requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeStatus {
    /// It does, by the policy that it has active.
    Admitting,
    /// It does not: its admission lease has ended.
    Fenced,
    /// It does not yet: it catches up.
    CatchingUp,
}

/// What a process reports of itself.
///
/// Danger: the digests are made anew from the live objects for each report; what was once set says
/// nothing of what is used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Counts the reports of a process.
    pub sequence: u64,
    /// The version that it takes for the active one.
    pub version: u64,
    /// Whether it admits requests.
    pub status: NodeStatus,
    /// What it has active.
    pub part_digests: PartDigests,
    /// The processes about which an alarm was raised, as far as it knows: a process that starts
    /// learns from the others which ones were.
    pub raised_alarms: Vec<ProcessKey>,
}

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DriftMessage {
    /// What the sender has active.
    Report(Report),
    /// The sender raised the alarm about this process.
    AlarmRaised(ProcessKey),
}

impl DriftMessage {
    /// The message as bytes.
    pub fn encode(&self) -> Vec<u8> {
        // It cannot fail: postcard represents all of the types above.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// The message that [`DriftMessage::encode`] wrote; none if the bytes are no message.
    pub fn decode(bytes: &[u8]) -> Option<DriftMessage> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
