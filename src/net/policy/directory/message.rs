//! [`DirectoryMessage`]: the datagram by which active members exchange the addresses of their peer
//! listeners.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a process and the address at which it accepts connections from peers.
///
/// The order of the fields is the format of the datagram (postcard).
#[derive(Serialize, Deserialize)]
pub(super) struct DirectoryMessage {
    /// Whether the receiver has to reply with its own address.
    pub(super) wants_reply: bool,
    /// The name of the sender.
    pub(super) name: String,
    /// The time at which the sender started, in Unix microseconds.
    pub(super) start: u64,
    /// The address at which the sender accepts connections from peers.
    pub(super) address: SocketAddr,
}

impl DirectoryMessage {
    pub(super) fn encode(&self) -> Vec<u8> {
        // Encoding cannot fail: postcard can represent all fields.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message; `None` if the bytes are not a message.
    pub(super) fn decode(bytes: &[u8]) -> Option<DirectoryMessage> {
        postcard::from_bytes(bytes).ok()
    }
}
