//! The ids of requests that may not be repeated, which the two processes exchange. Read
//! [`HotRestart::exchange_id`] first.
//!
//! The newer process asks for the ids of the older one, and receives them before it accepts clients
//! ([`Handover::receive_ids`]). From then on each process announces an id before it executes the
//! request, and looks for announcements of the other one after that: of two processes that are sent
//! the same id at the same time, at least one sees the announcement of the other.

use super::messages::{Message, MessageReader};
use super::newer::Handover;
use super::{send, HandoverError, HotRestart, HotRestartHost, PeerStream};
use crate::net::dispatcher::IdHash;
use std::io::{ErrorKind, Read, Write};
use std::sync::PoisonError;
use std::time::{Duration, Instant};

/// The number of ids in one message.
const IDS_PER_MESSAGE: usize = 1000;
/// The longest wait for the ids of an older process that marks their end. The newer process has to be
/// ready within 6 s.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same for an older process of a release that does not mark their end. It may be held up for
/// 150 ms.
const UNMARKED_RECEIVE_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of bytes that are read at once.
const READ_CHUNK_BYTES: usize = 4096;

impl Handover {
    /// Asks the older process for the ids of its requests that may not be repeated, and passes them to
    /// `remember`. Blocks the thread until all have arrived, the older process has ended, or a timeout
    /// has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if the older process sends what is not a message.
    pub fn receive_ids(&mut self, remember: impl Fn(&[IdHash])) -> Result<(), HandoverError> {
        if !self.endpoints.shares_ids {
            return Ok(());
        }
        let timeout = if self.endpoints.ends_ids { RECEIVE_TIMEOUT } else { UNMARKED_RECEIVE_TIMEOUT };
        let deadline = Instant::now() + timeout;
        // If this cannot be sent, the older process has ended, and what it sent before is still read.
        let _ = self.stream.write_all(&Message::UnrepeatableIds(Vec::new()).to_line());
        let mut others = Vec::new();
        loop {
            match self.reader.next_message()? {
                Some(Message::UnrepeatableIds(ids)) if ids.is_empty() => break,
                Some(Message::UnrepeatableIds(ids)) => remember(&ids),
                Some(message) => others.push(message),
                None if self.read_until(deadline)? => {}
                None => break,
            }
        }
        self.keep_unhandled(&others);
        Ok(())
    }

    /// Reads more from the older process; returns false at the deadline or the end of the connection.
    fn read_until(&mut self, deadline: Instant) -> Result<bool, HandoverError> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Ok(false);
        }
        self.stream.set_read_timeout(Some(remaining))?;
        let mut chunk = [0; READ_CHUNK_BYTES];
        match self.stream.read(&mut chunk) {
            Ok(count) => {
                self.reader.buffer.extend_from_slice(&chunk[..count]);
                Ok(count > 0)
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => Ok(true),
            // The end of the connection is left to the coroutine that handles messages.
            Err(_) => Ok(false),
        }
    }

    /// Puts messages back before those that have arrived after them.
    fn keep_unhandled(&mut self, messages: &[Message]) {
        let mut buffer: Vec<u8> = messages.iter().flat_map(Message::to_line).collect();
        buffer.append(&mut self.reader.buffer);
        self.reader = MessageReader { buffer };
    }
}

impl HotRestart {
    /// Announces the id of a request that may not be repeated to the other process, if there is one;
    /// returns the ids that the other process has announced by then.
    pub fn exchange_id(&self, id: IdHash) -> Vec<IdHash> {
        let connection = self.with_state(|state| {
            let connection = state.connection.as_ref();
            let connection =
                connection.filter(|connection| connection.shares_ids && connection.peer.serves());
            connection.map(|connection| (connection.stream.clone(), connection.inbox.clone()))
        });
        let Some((stream, inbox)) = connection else { return Vec::new() };
        if send(&stream, &Message::UnrepeatableIds(vec![id])).is_err() {
            // The other process has ended or does not read. Further requests must not wait for it.
            self.stop_sharing_ids();
        }
        let mut inbox = inbox.lock().unwrap_or_else(PoisonError::into_inner);
        inbox.receive_ids(&stream)
    }

    /// Sends the ids of this process and the mark of their end, once the other process has asked for
    /// them.
    pub(super) fn share_ids(&self, stream: &PeerStream, host: &dyn HotRestartHost) {
        let shared_before = self.with_state(|state| {
            let connection = state.connection.as_mut();
            connection.is_none_or(|connection| std::mem::replace(&mut connection.shares_ids, true))
        });
        if shared_before {
            return;
        }
        let ids = host.unrepeatable_ids();
        let end_mark: &[IdHash] = &[];
        for part in ids.chunks(IDS_PER_MESSAGE).chain([end_mark]) {
            // If they cannot be sent, the other process has ended.
            let _ = send(stream, &Message::UnrepeatableIds(part.to_vec()));
        }
    }

    fn stop_sharing_ids(&self) {
        self.with_state(|state| {
            if let Some(connection) = &mut state.connection {
                connection.shares_ids = false;
            }
        });
    }
}
