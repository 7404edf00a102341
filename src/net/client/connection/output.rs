//! What goes out on a consumer connection: answers, in the order of their commands.

use super::{Connection, INVOCATION_SIZE};
use crate::net::body_stream::{Piece, WINDOW};
use crate::net::codec::memcache;
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, PoisonError};

impl Connection<'_> {
    /// Writes the answers that are due, in the order of their commands, as far as that goes at once;
    /// whether anything went out.
    pub(super) fn write(&mut self) -> io::Result<bool> {
        let mut progress = false;
        loop {
            self.fill();
            if self.output.is_empty() {
                break;
            }
            while !self.output.is_empty() {
                match self.stream.inner().write(&self.output) {
                    Ok(0) => return Err(ErrorKind::WriteZero.into()),
                    Ok(count) => {
                        self.output.drain(..count);
                        progress = true;
                    }
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(progress),
                    Err(error) => return Err(error),
                }
            }
        }
        // The rest of a value will never come: only the end of the connection can tell.
        if self.broken {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        self.output_held.clear();
        if progress {
            self.answered = self.side.descriptors.now();
        }
        if self.output.capacity() > INVOCATION_SIZE {
            self.output = Vec::new();
        }
        Ok(progress)
    }

    /// Puts what is to be written next into `output`: a window full of a value that flows, else all answers that
    /// are there, up to the next such value.
    fn fill(&mut self) {
        while self.output.len() < WINDOW && !self.broken {
            if let Some(value) = &self.flowing {
                match value.take() {
                    Piece::Bytes(bytes) => self.output.extend(bytes),
                    Piece::Pending => return,
                    Piece::Broken => self.broken = true,
                    Piece::End => {
                        self.output.extend_from_slice(memcache::END);
                        self.flowing = None;
                        self.end_first();
                    }
                }
                continue;
            }
            let Some(first) = self.pending.front() else { return };
            let words = first.words.lock().unwrap_or_else(PoisonError::into_inner).take();
            let Some((words, value)) = words else { return };
            if self.output.is_empty() {
                self.output = words
            } else {
                self.output.extend(words)
            }
            match value {
                Some(value) => {
                    let shared = Arc::clone(&self.shared);
                    value.set_waker(Box::new(move || shared.waker.wakeup()));
                    self.flowing = Some(value);
                }
                None => self.end_first(),
            }
        }
    }

    /// The first that is pending is answered; what it holds of the memory is free once it has gone out.
    fn end_first(&mut self) {
        self.output_held.extend(self.pending.pop_front().and_then(|pending| pending.held));
    }
}
