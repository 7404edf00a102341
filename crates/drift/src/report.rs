//! What a process says of itself.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whether a process admits requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeStatus {
    /// It does, by what it has in force.
    Admits,
    /// It does not: its permit has ended.
    Fenced,
    /// It does not yet: it catches up.
    CatchesUp,
}

/// What a process says of what it has in force. Danger: digests are made anew from the live objects for each report; what was once set
/// says nothing of what is used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Counts the reports of a process.
    pub number: u64,
    /// The version that it takes for the one in force.
    pub version: u64,
    /// Whether it admits requests.
    pub status: NodeStatus,
    /// A digest for each part of what it has in force.
    pub parts: BTreeMap<String, u64>,
    /// Processes about which the alarm was raised, as far as it knows: one that starts anew learns it from the others.
    pub raised: Vec<(String, u64)>,
}

/// What processes tell each other of drift.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DriftMessage {
    /// How the sender stands.
    Report(Report),
    /// The sender raised the alarm about this process.
    Raised(String, u64),
}

impl DriftMessage {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        // The types above are all representable.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// What the bytes say; none if they are none.
    pub fn decode(bytes: &[u8]) -> Option<DriftMessage> {
        match postcard::take_from_bytes(bytes) {
            Ok((word, [])) => Some(word),
            _ => None,
        }
    }
}
