//! Passes on values that are too long for a complete response: streams them to the client, or
//! collects them first (`collected_value`) if the client's connection must not end with them. Read
//! [`BackendService::pass_on_value`] first.

use super::collected_value::CollectedPart;
use super::pool::Connection;
use super::response::{AttemptResult, LongValue, ValueEnd};
use super::response_failure::ResponseFailure;
use super::stream_start::Beginning;
use super::surplus::Surplus;
use super::BackendService;
use crate::interface::Outcome;
use crate::net::body_stream::{self, BodyReceiver};
use crate::net::dispatcher::AttemptRequest;
use crate::net::drain::is_whole_in_time;
use crate::net::time_limits::timer_duration;
use crate::time::TimeSpan;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// The longest pause within a value that streams, if its client did not wait for longer than that
/// for the whole response.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A long value while it is read from its backend.
pub(super) struct ValueReader<'a> {
    connection: &'a Connection,
    /// The value that is read.
    pub value: &'a LongValue,
    /// Bytes that were read and not passed on.
    bytes: Vec<u8>,
    /// The number of bytes of the value that were not passed on.
    remaining: usize,
    /// The number of bytes of the value that were received.
    received: usize,
    /// The beginning of the value.
    pub beginning: Beginning,
    /// The limit of the next reads.
    pub limit: ReadLimit,
}

/// The limit of the reads of a long value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadLimit {
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
pub(super) enum Excess {
    None,
    Bytes,
}

impl<'a> ValueReader<'a> {
    /// Creates the reader of a value of which `bytes` have arrived.
    fn new(
        connection: &'a Connection,
        value: &'a LongValue,
        bytes: Vec<u8>,
        attempt: &AttemptRequest,
        beginning: Beginning,
    ) -> ValueReader<'a> {
        let limit = ReadLimit::Complete(attempt.deadline);
        let received = bytes.len();
        ValueReader { connection, value, bytes, remaining: value.length, received, beginning, limit }
    }

    /// Returns whether the value will be whole before the process may be killed, at `kill_at`.
    fn is_whole_in_time(&self, kill_at: Instant) -> bool {
        let progress = self.beginning.progress(self.received, self.value.length);
        is_whole_in_time(progress, Instant::now(), kill_at)
    }

    /// Reads the value to its end, and passes its pieces to `accept`, which may end the attempt. May
    /// be called again after [`ResponseFailure::Late`], and continues where it was.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not passed on completely.
    pub(super) fn read(
        &mut self,
        mut accept: impl FnMut(&[u8]) -> Result<(), ResponseFailure>,
    ) -> Result<Excess, ResponseFailure> {
        loop {
            let part = self.bytes.len().min(self.remaining);
            accept(&self.bytes[..part])?;
            self.remaining -= part;
            self.bytes.drain(..part);
            if self.remaining == 0 {
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
        // A backend that sends continuously must not prolong the attempt.
        if Instant::now() >= deadline {
            return Err(failure);
        }
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
    /// Decides whether the value is streamed, or collected and passed on once it is complete, or at
    /// its time to start.
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
        beginning: Beginning,
    ) -> AttemptResult {
        self.dispatcher.value_history().record_long();
        bytes.drain(..value.starts_at);
        let mut reader = ValueReader::new(&connection, value, bytes, attempt, beginning);
        let result = if attempt.request.delivery.begin_stream() {
            self.stream_value(attempt, &mut reader, CollectedPart::default())
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

    /// Forwards a value to the client in pieces, after the part that was collected. A value that would
    /// come too late for the stop of the process does not begin, and its request is rejected.
    pub(super) fn stream_value(
        &self,
        attempt: &AttemptRequest,
        reader: &mut ValueReader,
        part: CollectedPart,
    ) -> Result<Excess, ResponseFailure> {
        if let Some(lost_at) = attempt.request.lost_at.filter(|lost_at| !reader.is_whole_in_time(*lost_at)) {
            self.dispatcher.reject_late_value(attempt.id.request, lost_at);
            return Err(ResponseFailure::NotAwaited);
        }
        reader.limit = ReadLimit::of_stream(attempt.request.budget);
        let (sender, receiver) = match part.memory {
            Some(memory) => body_stream::channel_after(part.pieces, memory),
            None => body_stream::channel(),
        };
        self.begin_response(attempt, reader.value.length, receiver)?;
        let excess = reader.read(|piece| {
            let window_bytes = self.memory.stream_window_bytes();
            sender.send(piece, window_bytes).map_err(|_| ResponseFailure::NotAwaited)
        })?;
        sender.finish();
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
}
