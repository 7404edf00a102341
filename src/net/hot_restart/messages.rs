//! The messages between two processes of one proxy: JSON objects, one a line. Read [`Message`]
//! first. Danger: the two processes may be of different releases. The JSON names are fixed by the
//! `rename` attributes, whatever the Rust names are, and a variant's values are a JSON array in the
//! order that is written here.

use crate::net::dispatcher::EndpointSnapshot;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of these messages. Processes of other versions are rejected.
pub(super) const VERSION: u32 = 1;
/// The longest message, in bytes.
const MAX_MESSAGE: usize = 16 << 20;

/// What a process may use for clients and backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceBudget {
    /// File descriptors.
    #[serde(rename = "sockets")]
    pub descriptors: usize,
    /// Memory for values, in bytes.
    #[serde(rename = "memory")]
    pub memory_bytes: usize,
}

/// Whether the proxy serves its clients, or directs them to other proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "bool", into = "bool")]
pub enum ServiceState {
    /// Clients are directed to other proxies.
    OutOfService,
    /// Clients are served.
    InService,
}

impl From<bool> for ServiceState {
    fn from(in_service: bool) -> ServiceState {
        if in_service {
            ServiceState::InService
        } else {
            ServiceState::OutOfService
        }
    }
}

impl From<ServiceState> for bool {
    fn from(service: ServiceState) -> bool {
        service == ServiceState::InService
    }
}

/// A command of the operators that binds both processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Sends nothing more to the cache node of this id.
    #[serde(rename = "Offline")]
    EnterMaintenance(String),
    /// Lets the cache node of this id serve again.
    #[serde(rename = "Online")]
    LeaveMaintenance(String),
    /// Puts the proxy in service, or out of it.
    #[serde(rename = "Service")]
    SetService(ServiceState),
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    /// The newer process, whose messages have this version, asks to take over.
    #[serde(rename = "Ask")]
    HandoverRequest(u32),
    /// The older process agrees: what it knows of endpoints, and what the newer one may use. The
    /// listening socket comes just before.
    #[serde(rename = "Give")]
    Handover(EndpointSnapshot, ResourceBudget),
    /// The older process does not agree, for this reason.
    #[serde(rename = "Refuse")]
    Rejection(String),
    /// The newer process accepts clients.
    Serving,
    /// The sender has been asked to stop.
    Leaving,
    /// What the newer process may use from now on.
    #[serde(rename = "Share")]
    Budget(ResourceBudget),
    /// A command to apply, with its number.
    #[serde(rename = "Order")]
    Command(u64, ControlCommand),
    /// The command of this number is applied; or the reason why not.
    #[serde(rename = "Done")]
    CommandDone(u64, Option<String>),
}

impl Message {
    /// The message as a line of JSON.
    pub(super) fn to_line(&self) -> Vec<u8> {
        // The types above can all be represented in JSON.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// Why what was received is no message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// It is longer than any message may be.
    #[error("a message too long")]
    TooLong,
    /// It is not one of the messages.
    #[error("a message that is none")]
    Malformed(#[source] serde_json::Error),
}

/// Splits the received bytes into messages.
#[derive(Debug, Default)]
pub(super) struct MessageReader {
    /// Received, and not part of a message yet.
    pub(super) buffer: Vec<u8>,
}

impl MessageReader {
    /// Takes the next message out of the buffer; none while it is incomplete.
    ///
    /// # Errors
    ///
    /// [`MessageError`] if what lies there is no message. Nothing more can be read then.
    pub(super) fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            if self.buffer.len() > MAX_MESSAGE {
                return Err(MessageError::TooLong);
            }
            return Ok(None);
        };
        let message = serde_json::from_slice(&self.buffer[..end]).map_err(MessageError::Malformed)?;
        self.buffer.drain(..=end);
        Ok(Some(message))
    }
}

#[cfg(test)]
mod tests;
