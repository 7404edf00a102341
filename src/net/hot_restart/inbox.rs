//! [`Inbox`]: the messages that have arrived from the other process. The coroutine of the connection
//! handles them in their order; requests look for ids among them first.

use super::messages::{Message, MessageError, MessageReader};
use super::PeerStream;
use crate::net::dispatcher::IdHash;
use std::io;

/// The received messages that were not handled yet.
#[derive(Debug, Default)]
pub(super) struct Inbox {
    reader: MessageReader,
    /// The part of the reader's buffer in which [`Inbox::receive_ids`] has looked for ids, in bytes.
    searched: usize,
}

impl Inbox {
    /// Creates an inbox that begins with the messages of this reader.
    pub(super) fn new(reader: MessageReader) -> Inbox {
        Inbox { reader, searched: 0 }
    }

    /// Removes the next message. Returns `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] if the bytes are not a message.
    pub(super) fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        let before = self.reader.buffer.len();
        let message = self.reader.next_message()?;
        self.searched = self.searched.saturating_sub(before - self.reader.buffer.len());
        Ok(message)
    }

    /// Takes what has arrived on the stream, without waiting; returns the number of bytes, of which 0
    /// means the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns the stream's errors, or [`io::ErrorKind::WouldBlock`] if nothing has arrived.
    pub(super) fn receive(&mut self, stream: &PeerStream) -> io::Result<usize> {
        stream.try_read(&mut self.reader.buffer)
    }

    /// Returns the ids in messages that have arrived since the last call and are still to be handled.
    pub(super) fn receive_ids(&mut self, stream: &PeerStream) -> Vec<IdHash> {
        // The end of the connection and its errors are left to the coroutine that handles messages.
        while self.receive(stream).is_ok_and(|count| count > 0) {}
        let arrived = &self.reader.buffer[self.searched..];
        let Some(last_end) = arrived.iter().rposition(|byte| *byte == b'\n') else { return Vec::new() };
        let lines = arrived[..=last_end].split_inclusive(|byte| *byte == b'\n');
        let ids = lines.filter_map(ids_of_line).flatten().collect();
        self.searched += last_end + 1;
        ids
    }
}

/// Returns the ids of a line, if it is a message with ids. Other lines are left to the coroutine that
/// handles messages.
fn ids_of_line(line: &[u8]) -> Option<Vec<IdHash>> {
    let mut reader = MessageReader { buffer: line.to_vec() };
    match reader.next_message() {
        Ok(Some(Message::UnrepeatableIds(ids))) => Some(ids),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
