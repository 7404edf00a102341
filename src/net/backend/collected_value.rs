//! Collects long values that have requests behind them on their client's connection. Read
//! [`BackendService::collect_value`] first.

use super::long_value::{Excess, ReadLimit, ValueReader};
use super::response_failure::ResponseFailure;
use super::BackendService;
use crate::net::body_stream;
use crate::net::deadline_stream::sleep;
use crate::net::dispatcher::AttemptRequest;
use crate::net::memory::MemoryReservation;
use std::time::{Duration, Instant};

/// The interval between attempts to reserve the memory for a value that is collected.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The part of a value that was collected before it began to stream.
#[derive(Default)]
pub(super) struct CollectedPart {
    /// The pieces, in their order.
    pub pieces: Vec<Vec<u8>>,
    /// The memory that is reserved for the value, if any was.
    pub memory: Option<MemoryReservation>,
}

impl BackendService {
    /// Reads a value to its end, then responds with it. A value that is not complete at its time to
    /// start begins to stream, or is read until the attempt's deadline.
    ///
    /// # Errors
    ///
    /// Returns the reason why the value is not passed on completely.
    pub(super) fn collect_value(
        &self,
        attempt: &AttemptRequest,
        reader: &mut ValueReader,
    ) -> Result<Excess, ResponseFailure> {
        let mut part = CollectedPart::default();
        for limit in [reader.beginning.start_by, attempt.deadline] {
            match self.collect_until(attempt, reader, &mut part, limit) {
                Err(ResponseFailure::Late | ResponseFailure::TooLong)
                    if attempt.request.delivery.stream_incomplete() =>
                {
                    return self.stream_value(attempt, reader, part);
                }
                Err(ResponseFailure::Late) if limit < attempt.deadline => {}
                Err(failure) => return Err(failure),
                Ok(excess) => {
                    self.respond_with_collected(attempt, reader.value.length, part)?;
                    return Ok(excess);
                }
            }
        }
        Err(ResponseFailure::Late)
    }

    /// Reads more of a value until it is complete, or until `limit`.
    fn collect_until(
        &self,
        attempt: &AttemptRequest,
        reader: &mut ValueReader,
        part: &mut CollectedPart,
        limit: Instant,
    ) -> Result<Excess, ResponseFailure> {
        if part.memory.is_none() {
            part.memory = Some(self.reserve_for_value(attempt, reader.value.length, limit)?);
        }
        reader.limit = ReadLimit::Complete(limit);
        reader.read(|piece| {
            if !self.dispatcher.awaits_response(attempt.id) {
                return Err(ResponseFailure::NotAwaited);
            }
            part.pieces.push(piece.to_vec());
            Ok(())
        })
    }

    fn respond_with_collected(
        &self,
        attempt: &AttemptRequest,
        length: usize,
        part: CollectedPart,
    ) -> Result<(), ResponseFailure> {
        let memory = part.memory.ok_or(ResponseFailure::NoMemory)?;
        self.begin_response(attempt, length, body_stream::complete(part.pieces, memory))
    }

    /// Reserves the memory for a value that is collected, once enough is free.
    ///
    /// Inputs: the length of the value, in bytes, the free memory, and the time until which to wait.
    /// Reason: the process must not exceed its memory limit.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory in time.
    fn reserve_for_value(
        &self,
        attempt: &AttemptRequest,
        length: usize,
        limit: Instant,
    ) -> Result<MemoryReservation, ResponseFailure> {
        if !self.memory.can_hold(length) {
            return Err(ResponseFailure::TooLong);
        }
        let mut memory = None;
        self.wait_for_memory(attempt, limit, || {
            memory = self.memory.reserve(length);
            memory.is_some()
        })?;
        memory.ok_or(ResponseFailure::TooLong)
    }

    /// Calls `reserve` until it returns that memory was reserved, or until `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory in time.
    pub(super) fn wait_for_memory(
        &self,
        attempt: &AttemptRequest,
        limit: Instant,
        mut reserve: impl FnMut() -> bool,
    ) -> Result<(), ResponseFailure> {
        while !reserve() {
            if Instant::now() >= limit {
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
