//! The messages between two processes of one proxy, each a line of JSON. Read [`Message`] first.
//!
//! Invariant: the two processes may be of different releases. The `rename` attributes fix the JSON
//! names, and the values of a variant are a JSON array in the order of their declaration.

use crate::net::dispatcher::{EndpointSnapshot, IdHash};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the messages. A newer process that uses another version is rejected.
pub(super) const PROTOCOL_VERSION: u32 = 1;
/// The maximum length of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// The resources that a process may use for clients and backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceBudget {
    /// The number of file descriptors.
    #[serde(rename = "sockets")]
    pub descriptors: usize,
    /// Memory for values, in bytes.
    #[serde(rename = "memory")]
    pub memory_bytes: usize,
}

/// Whether the proxy is in service, or directs its clients to other proxies.
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

/// A command of the operators, which both processes of a proxy apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Sends no more requests to the cache node of this id.
    #[serde(rename = "Offline")]
    EnterMaintenance(String),
    /// Allows requests to the cache node of this id again.
    #[serde(rename = "Online")]
    LeaveMaintenance(String),
    /// Puts the proxy in service, or out of it.
    #[serde(rename = "Service")]
    SetService(ServiceState),
}

/// A message from one process of a proxy to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    /// The newer process, which uses this version of the messages, requests the handover.
    #[serde(rename = "Ask")]
    HandoverRequest(u32),
    /// The older process hands over: its endpoints, and the budget of the newer one. The listening
    /// socket precedes this message.
    #[serde(rename = "Give")]
    Handover(EndpointSnapshot, ResourceBudget),
    /// The older process rejects the handover, for this reason.
    #[serde(rename = "Refuse")]
    Rejection(String),
    /// The newer process accepts clients.
    Serving,
    /// The sender has been asked to stop.
    Leaving,
    /// The sender begins no attempt any more, and passes on the responses that have begun. A process of
    /// an earlier release ends the connection at this message, as if the sender had ended.
    #[serde(rename = "Finishing")]
    FinishingResponses,
    /// The new budget of the newer process.
    #[serde(rename = "Share")]
    Budget(ResourceBudget),
    /// A command to apply, with its number.
    #[serde(rename = "Order")]
    Command(u64, ControlCommand),
    /// The command of this number is applied, or is rejected for this reason.
    #[serde(rename = "Done")]
    CommandDone(u64, Option<String>),
    /// Ids of requests that may not be repeated, which the sender has accepted. A process sends this
    /// only to one that is known to understand it.
    #[serde(rename = "Ids")]
    UnrepeatableIds(Vec<IdHash>),
}

impl Message {
    /// Encodes the message as a line of JSON.
    pub(super) fn to_line(&self) -> Vec<u8> {
        // Serialization cannot fail: JSON can represent all of these types.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// An error in the received bytes of a message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message exceeds the maximum length.
    #[error("a message of the other process has over {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// The line is not the JSON of a message.
    #[error("a message of the other process is malformed: {0}")]
    Malformed(#[source] serde_json::Error),
}

/// Splits the received bytes into messages.
#[derive(Debug, Default)]
pub(super) struct MessageReader {
    /// The received bytes that are not yet part of a complete message.
    pub(super) buffer: Vec<u8>,
}

impl MessageReader {
    /// Removes the next message from the buffer. Returns `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] if the bytes are not a message. The connection must be closed then.
    pub(super) fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            if self.buffer.len() > MAX_MESSAGE_BYTES {
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
