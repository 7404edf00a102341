//! Collects bodies whose length is known only at their end, since the client needs the length of a
//! value before its first byte. Read [`BackendService::collect_unsized_body`] first.

use super::attempt::{read_response, InputState};
use super::pool::Connection;
use super::response::{http_result, AttemptResult, ConnectionReuse, UnsizedBody, UnsizedFraming};
use super::response_failure::ResponseFailure;
use super::BackendService;
use crate::interface::Outcome;
use crate::net::body_stream;
use crate::net::dispatcher::AttemptRequest;
use crate::net::memory::{MemoryBudget, MemoryReservation};
use pinetrail_codec::http::ChunkedDecoder;
use pinetrail_codec::{MAX_STREAMED_VALUE_BYTES, MAX_VALUE_BYTES};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The size of the blocks in which a body is stored, in bytes. Each request has reserved the memory
/// for the first one.
const BLOCK_BYTES: usize = MAX_VALUE_BYTES;

/// A body while it is read from the origin.
struct BodyCollector {
    /// The decoder of a chunked body; `None` for one that ends with its connection.
    chunked: Option<ChunkedDecoder>,
    /// Bytes that were received and not decoded.
    undecoded: Vec<u8>,
    /// The body, in blocks of [`BLOCK_BYTES`] of which only the last is not full.
    blocks: Vec<Vec<u8>>,
    /// The length of the body in bytes.
    length: usize,
    max_length: usize,
    /// The memory for all blocks but the first.
    memory: Option<MemoryReservation>,
}

impl BodyCollector {
    fn new(framing: UnsizedFraming, max_length: usize) -> BodyCollector {
        BodyCollector {
            chunked: (framing == UnsizedFraming::Chunked).then(|| ChunkedDecoder::new(max_length)),
            undecoded: Vec::new(),
            blocks: Vec::new(),
            length: 0,
            max_length,
            memory: None,
        }
    }

    /// Takes the data of the body from the received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed or too long.
    fn decode(&mut self) -> Result<Vec<u8>, ResponseFailure> {
        let Some(decoder) = &mut self.chunked else {
            let is_allowed = self.length + self.undecoded.len() <= self.max_length;
            return is_allowed.then(|| std::mem::take(&mut self.undecoded)).ok_or(ResponseFailure::Malformed);
        };
        let mut data = Vec::new();
        let used = decoder.decode(&self.undecoded, &mut data).map_err(|_| ResponseFailure::Malformed)?;
        self.undecoded.drain(..used);
        Ok(data)
    }

    /// Returns whether the last chunk has been decoded.
    fn has_last_chunk(&self) -> bool {
        self.chunked.as_ref().is_some_and(ChunkedDecoder::is_complete)
    }

    /// Returns the free space of the last block, in bytes.
    fn room(&self) -> usize {
        self.blocks.last().map_or(0, |block| BLOCK_BYTES - block.len())
    }

    /// Reserves the memory for a further block; returns whether enough is free.
    fn reserve_block(&mut self, budget: &Arc<MemoryBudget>) -> bool {
        if let Some(memory) = &mut self.memory {
            return memory.grow(BLOCK_BYTES);
        }
        self.memory = budget.reserve(BLOCK_BYTES);
        self.memory.is_some()
    }

    /// Appends data that fits into the last block.
    fn append(&mut self, data: &[u8]) {
        if let Some(block) = self.blocks.last_mut() {
            block.extend_from_slice(data);
            self.length += data.len();
        }
    }
}

impl BackendService {
    /// Reads a body without a length to its end by the attempt's deadline, then responds with it.
    /// `bytes` holds the head of the response and the beginning of the body.
    pub(super) fn collect_unsized_body(
        &self,
        attempt: &AttemptRequest,
        connection: Connection,
        mut bytes: Vec<u8>,
        body: &UnsizedBody,
    ) -> AttemptResult {
        let is_read = attempt.request.value.is_none();
        let max_length = if is_read { MAX_STREAMED_VALUE_BYTES } else { MAX_VALUE_BYTES };
        let mut collector = BodyCollector::new(body.framing, max_length);
        bytes.drain(..body.starts_at);
        collector.undecoded = bytes;
        if let Err(failure) = self.read_unsized_body(attempt, &connection, &mut collector) {
            return self.end_without_response(attempt, failure, collector.length);
        }
        let has_excess = !collector.undecoded.is_empty();
        let reuse = if has_excess { ConnectionReuse::Never } else { body.reuse };
        let result = self.respond_with_body(attempt, collector);
        self.release(attempt, connection, reuse);
        result
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Returns the reason why the body is not complete.
    fn read_unsized_body(
        &self,
        attempt: &AttemptRequest,
        connection: &Connection,
        collector: &mut BodyCollector,
    ) -> Result<(), ResponseFailure> {
        loop {
            let data = collector.decode()?;
            self.store(attempt, collector, &data)?;
            if collector.has_last_chunk() {
                return Ok(());
            }
            if !self.dispatcher.awaits_response(attempt.id) {
                return Err(ResponseFailure::NotAwaited);
            }
            let buffer = &mut collector.undecoded;
            match read_response(connection, buffer, attempt.deadline, attempt.deadline)? {
                InputState::Open => {}
                InputState::Closed if collector.chunked.is_none() => return Ok(()),
                InputState::Closed => return Err(ResponseFailure::Ended),
            }
        }
    }

    /// Stores a part of a body, and waits for the memory that it needs.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory in time.
    fn store(
        &self,
        attempt: &AttemptRequest,
        collector: &mut BodyCollector,
        mut data: &[u8],
    ) -> Result<(), ResponseFailure> {
        while !data.is_empty() {
            if collector.room() == 0 {
                self.add_block(attempt, collector)?;
            }
            let (part, rest) = data.split_at(data.len().min(collector.room()));
            collector.append(part);
            data = rest;
        }
        Ok(())
    }

    /// Adds a block to a body. Each but the first needs memory of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for the block.
    fn add_block(
        &self,
        attempt: &AttemptRequest,
        collector: &mut BodyCollector,
    ) -> Result<(), ResponseFailure> {
        if !collector.blocks.is_empty() && !collector.reserve_block(&self.memory) {
            self.wait_for_block(attempt, collector)?;
        }
        collector.blocks.push(Vec::new());
        Ok(())
    }

    /// Waits for the memory for a block, unless another body waits already: decides which of the
    /// bodies that are collected give way to the others.
    ///
    /// Inputs: the memory of the body so far and the limit, in bytes, and whether a body waits.
    /// Reason: bodies that all hold memory and wait for more would wait for each other until their
    /// deadlines.
    ///
    /// # Errors
    ///
    /// Returns an error if the body gives way, or there is no memory in time.
    fn wait_for_block(
        &self,
        attempt: &AttemptRequest,
        collector: &mut BodyCollector,
    ) -> Result<(), ResponseFailure> {
        let reserved = collector.memory.as_ref().map_or(0, MemoryReservation::bytes);
        if !self.memory.can_hold(reserved + BLOCK_BYTES) {
            return Err(ResponseFailure::TooLong);
        }
        if self.body_waits_for_memory.swap(true, Ordering::AcqRel) {
            return Err(ResponseFailure::NoMemory);
        }
        let result =
            self.wait_for_memory(attempt, attempt.deadline, || collector.reserve_block(&self.memory));
        self.body_waits_for_memory.store(false, Ordering::Release);
        result
    }

    /// Responds with a complete body: at once, or as a value that streams if it is long.
    fn respond_with_body(&self, attempt: &AttemptRequest, collector: BodyCollector) -> AttemptResult {
        let BodyCollector { mut blocks, length, memory, .. } = collector;
        let Some(memory) = memory else {
            let body = blocks.pop().unwrap_or_default();
            return http_result(attempt, body)
                .unwrap_or_else(|| self.end_without_response(attempt, ResponseFailure::Malformed, length));
        };
        match self.begin_response(attempt, length, body_stream::complete(blocks, memory)) {
            Ok(()) => {
                self.counters.values_streamed.increment();
                Outcome::Ok.into()
            }
            Err(failure) => self.end_without_response(attempt, failure, length),
        }
    }
}
