//! Reads the input of a client connection, and executes its commands in order until a limit is
//! reached or the client disconnects. Read [`Connection::read`] first, then
//! [`Connection::execute_input`].

use super::commands::Execution;
use super::{Connection, Received, State, REQUEST_OVERHEAD_BYTES};
use crate::net::deadline_stream::{has_hung_up, try_read};
use pinetrail_codec::memcache;
use pinetrail_codec::{ParseError, Parsed, MAX_VALUE_BYTES};
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

/// The maximum number of bytes that are discarded after the sending direction was shut down.
///
/// Note: closing a socket with unread input resets the connection, and the reset may discard the
/// last response.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// The most time in the accept queue that is subtracted from a request's budget. How long a single
/// connection was in the queue is unknown while others keep the queue from becoming empty.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(250);

impl Connection<'_> {
    /// Returns an error if the client has disconnected.
    ///
    /// Note: while reading pauses, the end of the stream stays unread, and after a pause much input
    /// may precede it. Requests of a disconnected client must not be forwarded, so the end of the
    /// stream is detected without reading.
    pub(super) fn check_client_present(&self) -> io::Result<()> {
        if has_hung_up(self.stream.inner()) {
            Err(ErrorKind::UnexpectedEof.into())
        } else {
            Ok(())
        }
    }

    /// Returns whether the socket has unread input.
    pub(super) fn has_unread_input(&self) -> bool {
        self.stream.inner().peek(&mut [0]).is_ok_and(|count| count > 0)
    }

    /// Reads the input that is available; returns whether there may be more.
    ///
    /// Invariant: nothing is read while commands wait for execution. Otherwise the input of a
    /// pipeline of small commands would be buffered without a limit.
    pub(super) fn read(&mut self) -> io::Result<bool> {
        // The budget of commands that waited for earlier responses starts now.
        self.unread_time = Duration::ZERO;
        if self.is_reading_paused() {
            self.check_client_present()?;
            return Ok(false);
        }
        if self.has_unexecuted_input {
            self.check_client_present()?;
            return Ok(true);
        }
        match try_read(self.stream.inner(), &mut self.input) {
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => {
                self.record_read(count);
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn is_reading_paused(&self) -> bool {
        self.state == State::Finishing
            || self.is_full()
            || self.waits_for_memory
            || self.discarded_bytes > MAX_DISCARDED_BYTES
    }

    /// Records bytes that were read, and how long they may have been unread.
    fn record_read(&mut self, count: usize) {
        let queue_time = std::mem::take(&mut self.queue_time).min(MAX_QUEUE_TIME);
        self.unread_time = self.service.hold_up_monitor.unread_time(Instant::now()).max(queue_time);
        if self.state == State::Lingering {
            self.discarded_bytes += count;
            self.service.counters.bytes_discarded.add(count);
            self.input.clear();
        } else if self.received == Received::Nothing {
            self.received = Received::PartialCommand;
        }
    }

    /// Executes the complete commands in the input buffer, as far as limits allow more responses.
    pub(super) fn execute_input(&mut self) {
        let used = self.execute_complete_commands();
        self.input.drain(..used);
        self.has_unexecuted_input = self.state == State::Open && self.is_full() && !self.input.is_empty();
        if self.state != State::Open {
            self.unexecuted_bytes += self.input.len();
            self.input = Vec::new();
        }
        if self.input.is_empty() {
            // Many connections are open at a time, so none keeps the allocation of a large value.
            if self.input.capacity() > REQUEST_OVERHEAD_BYTES {
                self.input = Vec::new();
            }
            self.input_memory = None;
        } else if self.input.len() > REQUEST_OVERHEAD_BYTES && self.input_memory.is_none() {
            self.reserve_input_memory();
        }
    }

    /// Executes complete commands; returns how many bytes of input they used.
    fn execute_complete_commands(&mut self) -> usize {
        let mut used = 0;
        while self.state == State::Open && !self.is_full() {
            match memcache::parse_command(&self.input[used..]) {
                Err(ParseError::Incomplete) => break,
                Ok(Parsed { message: command, length }) => {
                    // A pipeline waits while memory is short, since its own responses will free
                    // some.
                    self.waits_for_memory = self.execute(command) == Execution::NoMemory;
                    if self.waits_for_memory {
                        break;
                    }
                    used += length;
                    self.received = Received::CompleteCommand;
                }
                Err(ParseError::Malformed { error, skip }) => {
                    self.respond_malformed(error);
                    match skip {
                        Some(length) => used += length,
                        None => self.state = State::Finishing,
                    }
                }
            }
        }
        used
    }

    /// Reserves memory for a large command before the rest of the command is read. Without memory
    /// the command is rejected, and the connection ends.
    ///
    /// Inputs: the free memory, in bytes.
    /// Reason: the commands and responses of all clients share a bounded memory.
    fn reserve_input_memory(&mut self) {
        self.input_memory = self.service.memory.reserve(MAX_VALUE_BYTES);
        if self.input_memory.is_none() {
            self.respond_malformed("SERVER_ERROR out of memory");
            self.state = State::Finishing;
            self.input = Vec::new();
        }
    }
}
