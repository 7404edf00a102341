//! Writes the responses of a client connection in the order of their commands. Read
//! [`Connection::write`] first.

use super::{Connection, EncodedResponse, State};
use crate::net::body_stream::ReceiveOutcome;
use crate::net::memory::SHORT_STREAM_BYTES;
use crate::net::request_log::CloseReason;
use pinetrail_codec::memcache;
use std::io::{self, ErrorKind, Write};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

/// The part of the output that was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flush {
    /// The whole output was written.
    Complete,
    /// A part of the output was written before the socket's buffer was full.
    Partial,
    /// Nothing was written, because the socket's buffer was full.
    Blocked,
}

impl Connection<'_> {
    /// Writes the available responses in the order of their commands, as far as the socket takes
    /// them without waiting; returns whether anything was written.
    pub(super) fn write(&mut self) -> io::Result<bool> {
        let mut has_written = false;
        loop {
            self.fill_output();
            if self.output.is_empty() {
                break;
            }
            match self.flush_output()? {
                Flush::Complete => has_written = true,
                Flush::Partial => return Ok(true),
                Flush::Blocked => return Ok(has_written),
            }
        }
        if self.body_broken && self.state == State::Open {
            self.close_reason = Some(CloseReason::BodyBroken);
            self.state = State::Finishing;
        }
        self.output_memory.clear();
        if has_written {
            self.last_response_at = self.service.descriptors.now();
        }
        // Many connections are open at a time, and most of them have nothing to write.
        self.output = Vec::new();
        Ok(has_written)
    }

    /// Releases memory that a streamed value does not need, if no further response begins: the process
    /// leaves as much as possible to the one that has replaced it.
    pub(super) fn release_spare_memory(&mut self) {
        if self.body.is_none() || !self.service.finishes_responses.load(Ordering::Acquire) {
            return;
        }
        if let Some(memory) = self.pending.front_mut().and_then(|first| first.memory.as_mut()) {
            memory.shrink_to(SHORT_STREAM_BYTES);
        }
    }

    /// Writes `output`, which is not empty, as far as the socket takes it.
    fn flush_output(&mut self) -> io::Result<Flush> {
        let mut result_if_blocked = Flush::Blocked;
        while !self.output.is_empty() {
            match self.stream.inner().write(&self.output) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.output.drain(..count);
                    result_if_blocked = Flush::Partial;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(result_if_blocked),
                Err(error) => return Err(error),
            }
        }
        Ok(Flush::Complete)
    }

    /// Fills `output` up to the window size with the streamed value, or else with the available
    /// responses up to the next streamed value.
    fn fill_output(&mut self) {
        let window_bytes = self.service.memory.stream_window_bytes();
        while self.output.len() < window_bytes && !self.body_broken {
            let has_more =
                if self.body.is_some() { self.take_pieces(window_bytes) } else { self.take_response() };
            if !has_more {
                return;
            }
        }
    }

    /// Moves the next pieces of the streamed value to `output`; returns whether more may be
    /// available.
    fn take_pieces(&mut self, window_bytes: usize) -> bool {
        let Some(body) = &self.body else { return true };
        match body.receive(window_bytes) {
            ReceiveOutcome::Bytes(bytes) => self.output.extend(bytes),
            ReceiveOutcome::Pending => return false,
            ReceiveOutcome::Broken => self.body_broken = true,
            ReceiveOutcome::End => {
                self.output.extend_from_slice(memcache::LINE_END);
                self.body = None;
                self.finish_first();
            }
        }
        true
    }

    /// Moves the response to the first pending command to `output`; returns whether it was
    /// available.
    fn take_response(&mut self) -> bool {
        let Some(first) = self.pending.front() else { return false };
        let response = first.response.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(EncodedResponse { bytes, body }) = response else { return false };
        if self.output.is_empty() {
            self.output = bytes;
        } else {
            self.output.extend(bytes);
        }
        match body {
            Some(body) => {
                let handle = Arc::clone(&self.handle);
                body.set_waker(Box::new(move || handle.wake()));
                self.body = Some(body);
            }
            None => self.finish_first(),
        }
        true
    }

    /// Removes the first pending command. Its memory is freed once the response is written.
    fn finish_first(&mut self) {
        self.output_memory.extend(self.pending.pop_front().and_then(|pending| pending.memory));
    }
}
