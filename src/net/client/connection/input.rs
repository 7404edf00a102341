//! Executes the commands of a client connection in order until a limit is reached or the client
//! disconnects, and takes from the socket what was executed. Read [`Connection::receive`] first.

use super::commands::Execution;
use super::{Connection, PendingCommand, Received, State, REQUEST_OVERHEAD_BYTES};
use crate::net::deadline_stream::{has_hung_up, try_peek, try_read};
use crate::net::dispatcher::RequestBehind;
use pinetrail_codec::memcache::{self, Command};
use pinetrail_codec::{ParseError, Parsed, MAX_VALUE_BYTES};
use std::io::{self, ErrorKind, Read};
use std::time::{Duration, Instant};

/// The maximum number of bytes that are discarded after the sending direction was shut down.
///
/// Note: closing a socket with unread input resets the connection, and the reset may discard the
/// last response.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// The most input that a connection still executes when it is due to close.
const MAX_FINAL_INPUT_BYTES: usize = 64 * 1024;

/// The most time in the accept queue that is subtracted from a request's budget. How long a single
/// connection was in the queue is unknown while others keep the queue from becoming empty.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(250);

/// The commands of the input buffer that were executed at a time.
struct Executed {
    /// The length of these commands in bytes.
    used: usize,
    stop: StopReason,
}

/// The reason why no further command was executed.
enum StopReason {
    /// The rest of the next command has not arrived.
    PartialCommand,
    /// A limit was reached, or the connection is ending.
    Limit,
}

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

    /// Returns how many bytes of input the socket has, at most [`MAX_FINAL_INPUT_BYTES`].
    pub(super) fn unread_input_bytes(&self) -> usize {
        if !self.has_unread_input() {
            return 0;
        }
        let mut input = vec![0; MAX_FINAL_INPUT_BYTES];
        self.stream.inner().peek(&mut input).unwrap_or(0)
    }

    /// Executes the commands that the client has sent, as far as limits allow; returns whether there
    /// may be more of them.
    ///
    /// Invariant: a command stays in the socket until it is executed. If the connection ends first,
    /// the proxy has not read the command, and its client can send it on another connection.
    /// Besides, the input of a pipeline of small commands is not buffered without a limit.
    pub(super) fn receive(&mut self) -> io::Result<bool> {
        self.note_early_input();
        match self.state {
            State::Open if self.is_full() => self.check_client_present().map(|()| false),
            State::Open => self.execute_available(),
            State::Finishing => self.check_client_present().map(|()| false),
            State::Lingering => self.discard_available(),
        }
    }

    /// Notes how much input has arrived, once, when requests begin to count as late.
    fn note_early_input(&mut self) {
        if self.early_input_bytes.is_none() && self.service.late_requests_lost_at.get().is_some() {
            self.early_input_bytes = Some(self.unread_input_bytes());
        }
    }

    /// Discards the input that is available; returns whether there may be more.
    fn discard_available(&mut self) -> io::Result<bool> {
        if self.discarded_bytes > MAX_DISCARDED_BYTES {
            return self.check_client_present().map(|()| false);
        }
        let Some(count) = bytes_available(try_read(self.stream.inner(), &mut self.input))? else {
            return Ok(false);
        };
        self.discarded_bytes += count;
        self.service.counters.bytes_discarded.add(count);
        self.input.clear();
        Ok(true)
    }

    /// Executes the complete commands that are available, and takes them from the socket. The part
    /// of a command is taken too, since a long command does not fit into the socket's buffer.
    fn execute_available(&mut self) -> io::Result<bool> {
        let partial_length = self.input.len();
        let Some(count) = bytes_available(try_peek(self.stream.inner(), &mut self.input))? else {
            return Ok(false);
        };
        self.update_unread_time();
        if self.received == Received::Nothing {
            self.received = Received::PartialCommand;
        }
        let Executed { used, stop } = self.execute_complete_commands(partial_length);
        let taken = match stop {
            StopReason::PartialCommand => count,
            StopReason::Limit => used.saturating_sub(partial_length),
        };
        self.has_waiting_input = taken < count;
        if taken > 0 {
            self.last_input_at = self.service.descriptors.now();
        }
        self.final_input_bytes = self.final_input_bytes.map(|bytes| bytes.saturating_sub(taken));
        self.early_input_bytes = self.early_input_bytes.map(|bytes| bytes.saturating_sub(taken));
        self.input.truncate(partial_length + taken);
        self.stream.inner().read_exact(&mut self.input[partial_length..])?;
        self.input.drain(..used);
        self.limit_input();
        Ok(used > 0 || taken > 0)
    }

    /// Updates how long the available input may have been unread. The budget of commands that
    /// waited for earlier responses starts now.
    fn update_unread_time(&mut self) {
        let queue_time = std::mem::take(&mut self.queue_time).min(MAX_QUEUE_TIME);
        self.unread_time = if self.has_waiting_input {
            Duration::ZERO
        } else {
            self.service.hold_up_monitor.unread_time(Instant::now()).max(queue_time)
        };
    }

    /// Keeps the memory of the input buffer, which contains at most a part of a command, within its
    /// limits.
    fn limit_input(&mut self) {
        if self.state != State::Open {
            self.drop_input();
        }
        // Many connections are open at a time, so one that waits for a command keeps only its part
        // that has arrived.
        if self.input.len() <= REQUEST_OVERHEAD_BYTES {
            self.input.shrink_to_fit();
        }
        if self.input.is_empty() {
            self.input_memory = None;
        } else if self.input.len() > REQUEST_OVERHEAD_BYTES && self.input_memory.is_none() {
            self.reserve_input_memory();
        }
    }

    fn drop_input(&mut self) {
        self.unexecuted_bytes += self.input.len();
        self.input = Vec::new();
    }

    /// Returns the time of the earliest SIGKILL if it would lose an incomplete response to the command
    /// that ends at `end` in the input buffer. The first `partial_length` bytes of the buffer were read
    /// before.
    fn lost_at(&self, end: usize, partial_length: usize) -> Option<Instant> {
        let is_late = self.early_input_bytes.is_some_and(|early| end > partial_length + early);
        self.service.late_requests_lost_at.get().copied().filter(|_| is_late)
    }

    /// Executes the complete commands in the input buffer, as far as limits allow more responses. The
    /// first `partial_length` bytes of the buffer were read before.
    fn execute_complete_commands(&mut self, partial_length: usize) -> Executed {
        let mut used = 0;
        self.waits_for_memory = false;
        self.waits_for_response = false;
        while self.state == State::Open && !self.is_full() {
            match memcache::parse_command(&self.input[used..]) {
                Err(ParseError::Incomplete) => return Executed { used, stop: StopReason::PartialCommand },
                Ok(Parsed { message: command, length }) => {
                    self.waits_for_response = !self.may_execute_next(request_behind(&command));
                    if self.waits_for_response {
                        break;
                    }
                    // A pipeline waits while memory is short, since its own responses will free
                    // some.
                    let lost_at = self.lost_at(used + length, partial_length);
                    self.waits_for_memory = self.execute(command, lost_at) == Execution::NoMemory;
                    if self.waits_for_memory {
                        break;
                    }
                    used += length;
                    self.received = Received::CompleteCommand;
                }
                Err(ParseError::Malformed { error, skip }) => {
                    self.waits_for_response = !self.may_execute_next(None);
                    if self.waits_for_response {
                        break;
                    }
                    self.respond_malformed(error);
                    match skip {
                        Some(length) => used += length,
                        None => self.state = State::Finishing,
                    }
                }
            }
        }
        Executed { used, stop: StopReason::Limit }
    }

    /// Decides whether the next command may be executed, or waits for the responses before it.
    ///
    /// Inputs: the kind of the request, or `None` for a command that needs no backend; the responses
    /// before it; and whether long values are expected.
    /// Reason: a response that breaks off ends the connection, and with it the responses behind it.
    /// Where long values are expected, a command waits for the values before it, so that each can be
    /// streamed. Elsewhere a request makes them be collected, so that all run at the same time. What
    /// needs no backend loses nothing by waiting.
    /// Source: docs/incidents/2026-12-06-slow-long-values-cut-off-in-pipelines.md.
    fn may_execute_next(&self, request: Option<RequestBehind>) -> bool {
        let expects_long_values = self.service.dispatcher.value_history().expects_long_values();
        match request {
            Some(request) if !expects_long_values => {
                self.pending.iter().all(|pending| pending.keep_whole(request))
            }
            _ => !self.pending.iter().any(PendingCommand::may_break_off),
        }
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
            self.drop_input();
        }
    }
}

/// Returns the kind of a request; `None` for a command that needs no backend.
fn request_behind(command: &Command) -> Option<RequestBehind> {
    match command {
        Command::Request(request) if request.value.is_some() => Some(RequestBehind::Write),
        Command::Request(_) => Some(RequestBehind::Read),
        _ => None,
    }
}

/// Returns how many bytes a read without waiting found; `None` if nothing is available now.
///
/// # Errors
///
/// Returns the socket's errors, or [`ErrorKind::UnexpectedEof`] at the end of the stream.
fn bytes_available(result: io::Result<usize>) -> io::Result<Option<usize>> {
    match result {
        Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
        Ok(count) => Ok(Some(count)),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}
