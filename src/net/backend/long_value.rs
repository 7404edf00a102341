//! Passes on values that are too long for a complete response: streams them to the client, or
//! collects them first if the client's connection must not end with them. Read
//! [`BackendService::pass_on_value`] first.

use super::pool::Connection;
use super::response::{AttemptResult, LongValue, ValueEnd};
use super::response_failure::ResponseFailure;
use super::surplus::Surplus;
use super::BackendService;
use crate::interface::Outcome;
use crate::net::body_stream::{self, BodyReceiver};
use crate::net::deadline_stream::sleep;
use crate::net::dispatcher::AttemptRequest;
use crate::net::memory::MemoryReservation;
use crate::net::time_limits::timer_duration;
use crate::time::TimeSpan;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// The longest pause within a value that streams, if its client did not wait for longer than that
/// for the whole response.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval between attempts to reserve the memory for a value that is collected.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A long value while it is read from its backend.
struct ValueReader<'a> {
    connection: &'a Connection,
    value: &'a LongValue,
    /// Bytes that were read and not passed on.
    bytes: Vec<u8>,
    /// The number of bytes of the value that were received.
    received: usize,
    limit: ReadLimit,
}

/// The limit of the reads of a long value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadLimit {
    /// The value is collected, and must be complete by this time.
    Complete(Instant),
    /// The value streams, and may pause for this time.
    Pause(Duration),
}

impl ReadLimit {
    /// Decides the limit for a value that streams: how long its backend may pause.
    ///
    /// Inputs: how long the client waits for the response, as a time span.
    /// Reason: a value that has begun to stream has no deadline, but its client must learn that the
    /// rest will not arrive.
    /// Source: docs/incidents/2026-12-05-sound-slow-responses-cut-off.md.
    fn of_stream(client_wait: TimeSpan) -> ReadLimit {
        ReadLimit::Pause(timer_duration(client_wait).max(MIN_STALL_TIMEOUT))
    }

    /// Returns the deadline of a read that begins now, and why the value fails if it is reached.
    fn next_read(self) -> (Instant, ResponseFailure) {
        match self {
            ReadLimit::Complete(deadline) => (deadline, ResponseFailure::Late),
            ReadLimit::Pause(pause) => (Instant::now() + pause, ResponseFailure::Stalled),
        }
    }
}

/// Whether the backend has sent more after a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Excess {
    None,
    Bytes,
}

impl ValueReader<'_> {
    /// Reads the value to its end, and passes its pieces to `accept`, which may end the attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not passed on completely.
    fn read(
        &mut self,
        mut accept: impl FnMut(&[u8]) -> Result<(), ResponseFailure>,
    ) -> Result<Excess, ResponseFailure> {
        let mut remaining = self.value.length;
        loop {
            let part = self.bytes.len().min(remaining);
            accept(&self.bytes[..part])?;
            remaining -= part;
            self.bytes.drain(..part);
            if remaining == 0 {
                return self.read_end();
            }
            self.read_more()?;
        }
    }

    /// Decides whether the value has ended where its length says, from what follows it.
    ///
    /// Inputs: how the end is marked, and the bytes behind the value that have arrived.
    /// Reason: bytes behind an unmarked end may be the rest of a value whose length is wrong. The
    /// client must not take the value for complete then.
    /// Source: docs/incidents/2026-12-06-values-cut-by-a-short-length.md.
    ///
    /// # Errors
    ///
    /// Returns an error if the value has not ended there.
    fn read_end(&mut self) -> Result<Excess, ResponseFailure> {
        match &self.value.end {
            ValueEnd::Terminator(terminator) => {
                while self.bytes.len() < terminator.len() {
                    self.read_more()?;
                }
                match self.bytes.strip_prefix(*terminator) {
                    Some([]) => Ok(Excess::None),
                    Some(_) => Ok(Excess::Bytes),
                    None => Err(ResponseFailure::Malformed),
                }
            }
            ValueEnd::Unmarked(head) => loop {
                self.connection.stream.read_available(&mut self.bytes);
                match head.classify(&self.bytes) {
                    Surplus::None => return Ok(Excess::None),
                    Surplus::Duplicate => return Ok(Excess::Bytes),
                    Surplus::Unknown => return Err(ResponseFailure::Malformed),
                    Surplus::Undecided => self.read_more()?,
                }
            },
        }
    }

    fn read_more(&mut self) -> Result<(), ResponseFailure> {
        let (deadline, failure) = self.limit.next_read();
        match self.connection.stream.read(&mut self.bytes, deadline) {
            Ok(0) => Err(ResponseFailure::Ended),
            Ok(count) => {
                self.received += count;
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::TimedOut => Err(failure),
            Err(_) => Err(ResponseFailure::Ended),
        }
    }
}

impl BackendService {
    /// Passes on a long value. `bytes` holds the head of the response and the beginning of the
    /// value.
    ///
    /// Decides whether the value is streamed, or collected and passed on once it is complete.
    ///
    /// Inputs: whether the client's connection has requests behind this one.
    /// Reason: a streamed value that breaks off ends the connection, whose later responses would be
    /// lost. A value that breaks off while it is collected is the end of the attempt only.
    /// Source: docs/incidents/2026-12-04-write-behind-a-broken-value.md.
    pub(super) fn pass_on_value(
        &self,
        attempt: &AttemptRequest,
        connection: Connection,
        mut bytes: Vec<u8>,
        value: &LongValue,
    ) -> AttemptResult {
        bytes.drain(..value.starts_at);
        let is_streamed = attempt.request.delivery.begin_stream();
        let limit = if is_streamed {
            ReadLimit::of_stream(attempt.request.budget)
        } else {
            ReadLimit::Complete(attempt.deadline)
        };
        let received = bytes.len();
        let mut reader = ValueReader { connection: &connection, value, bytes, received, limit };
        let result = if is_streamed {
            self.stream_value(attempt, &mut reader)
        } else {
            self.collect_value(attempt, &mut reader)
        };
        match result {
            Ok(excess) => {
                self.counters.values_streamed.increment();
                if excess == Excess::None {
                    self.release(attempt, connection, value.reuse);
                }
                Outcome::Ok.into()
            }
            Err(failure) => self.end_value(attempt, failure, reader.received),
        }
    }

    /// Ends an attempt whose value is not passed on completely.
    pub(super) fn end_value(
        &self,
        attempt: &AttemptRequest,
        failure: ResponseFailure,
        received: usize,
    ) -> AttemptResult {
        let is_broken =
            matches!(failure, ResponseFailure::Ended | ResponseFailure::Stalled | ResponseFailure::Malformed);
        if is_broken {
            self.counters.values_broken.increment();
        }
        self.end_without_response(attempt, failure, received)
    }

    /// Forwards a value to the client in pieces.
    fn stream_value(
        &self,
        attempt: &AttemptRequest,
        reader: &mut ValueReader,
    ) -> Result<Excess, ResponseFailure> {
        let (sender, receiver) = body_stream::channel();
        self.begin_response(attempt, reader.value.length, receiver)?;
        let excess = reader.read(|piece| {
            let window_bytes = self.memory.stream_window_bytes();
            sender.send(piece, window_bytes).map_err(|_| ResponseFailure::NotAwaited)
        })?;
        sender.finish();
        Ok(excess)
    }

    /// Reads a value to its end by the attempt's deadline, then responds with it.
    fn collect_value(
        &self,
        attempt: &AttemptRequest,
        reader: &mut ValueReader,
    ) -> Result<Excess, ResponseFailure> {
        let value = reader.value;
        let memory = self.reserve_for_value(attempt, value.length)?;
        let mut pieces = Vec::new();
        let excess = reader.read(|piece| {
            if !self.dispatcher.awaits_response(attempt.id) {
                return Err(ResponseFailure::NotAwaited);
            }
            pieces.push(piece.to_vec());
            Ok(())
        })?;
        self.begin_response(attempt, value.length, body_stream::complete(pieces, memory))?;
        Ok(excess)
    }

    /// Begins the response to the client with a value of this length, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the request no longer waits for its response.
    pub(super) fn begin_response(
        &self,
        attempt: &AttemptRequest,
        length: usize,
        body: BodyReceiver,
    ) -> Result<(), ResponseFailure> {
        if self.dispatcher.attempt_streaming(attempt.id, length, body) {
            Ok(())
        } else {
            Err(ResponseFailure::NotAwaited)
        }
    }

    /// Reserves the memory for a value that is collected, once enough is free.
    ///
    /// Inputs: the length of the value, in bytes, the free memory, and the attempt's deadline.
    /// Reason: the process must not exceed its memory limit.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory in time.
    fn reserve_for_value(
        &self,
        attempt: &AttemptRequest,
        length: usize,
    ) -> Result<MemoryReservation, ResponseFailure> {
        if !self.memory.can_hold(length) {
            return Err(ResponseFailure::TooLong);
        }
        let mut memory = None;
        self.wait_for_memory(attempt, || {
            memory = self.memory.reserve(length);
            memory.is_some()
        })?;
        memory.ok_or(ResponseFailure::TooLong)
    }

    /// Calls `reserve` until it returns that memory was reserved, or the response is too late.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory in time.
    pub(super) fn wait_for_memory(
        &self,
        attempt: &AttemptRequest,
        mut reserve: impl FnMut() -> bool,
    ) -> Result<(), ResponseFailure> {
        while !reserve() {
            if Instant::now() >= attempt.deadline {
                return Err(ResponseFailure::Late);
            }
            if !self.dispatcher.awaits_response(attempt.id) {
                return Err(ResponseFailure::NotAwaited);
            }
            sleep(MEMORY_RETRY_INTERVAL);
        }
        Ok(())
    }
}
