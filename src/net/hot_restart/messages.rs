//! What two processes of one proxy tell each other: JSON objects, one a line.

use crate::net::dispatcher::EndpointSnapshot;
use serde::{Deserialize, Serialize};

/// Processes of other versions are not understood.
pub(super) const VERSION: u32 = 1;
/// The longest line.
const MAX_LINE: usize = 16 << 20;

/// What a process may use for consumers and providers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Descriptors.
    pub sockets: usize,
    /// Bytes of values.
    pub memory: usize,
}

/// A call of the operators that binds both processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Nothing more to this cache node.
    Offline(String),
    /// This cache node may serve again.
    Online(String),
    /// In service, or out of it.
    Service(bool),
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    /// The newcomer asks to take over.
    Ask(u32),
    /// It may: what is known of nodes, and what it may use. The listening socket comes just before.
    Give(EndpointSnapshot, Share),
    /// It may not.
    Refuse(String),
    /// The newcomer accepts clients.
    Serving,
    /// Whoever says this has been asked to stop.
    Leaving,
    /// What the newcomer may use from now on.
    Share(Share),
    /// A call to carry out, with its number.
    Order(u64, ControlCommand),
    /// It is carried out; or why not.
    Done(u64, Option<String>),
}

impl Message {
    /// The message as it is written.
    pub(super) fn line(&self) -> Vec<u8> {
        // The types above are all representable.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// Bytes that come in, as messages.
#[derive(Debug, Default)]
pub(super) struct Inbox(pub Vec<u8>);

impl Inbox {
    /// The next message, if it is whole.
    pub(super) fn next(&mut self) -> Result<Option<Message>, &'static str> {
        let Some(end) = self.0.iter().position(|byte| *byte == b'\n') else {
            return if self.0.len() > MAX_LINE { Err("a message too long") } else { Ok(None) };
        };
        let message = serde_json::from_slice(&self.0[..end]).map_err(|_| "a message that is none")?;
        self.0.drain(..=end);
        Ok(Some(message))
    }
}

#[cfg(test)]
mod tests;
