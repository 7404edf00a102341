//! Parses the endpoint lists in the response of a watch: a stream of JSON objects with any
//! indentation, in fragments of any size. Read [`ListReader`] first. The reader is bounded in size,
//! skips unknown keys of any depth without recursion, and does no I/O.

use pinetrail_config::Catalog;
use thiserror::Error;

/// The size limit of the buffer, in lists of the maximum length.
const MAX_BUFFERED_LISTS: usize = 2;

/// An error in the received endpoint lists, after which the watch cannot continue.
#[derive(Debug, Error)]
pub(super) enum ListError {
    /// The list exceeds the maximum length.
    #[error("the endpoint list exceeds the maximum length")]
    TooLong,
    /// The received bytes do not begin with `{`.
    #[error("the endpoint list is not a JSON object")]
    NotAnObject,
    /// The received bytes are not JSON, or not an endpoint list.
    #[error("the endpoint list is malformed: {0}")]
    Malformed(#[source] serde_json::Error),
}

/// Splits the received bytes of a watch into endpoint lists.
pub(super) struct ListReader {
    /// The received bytes that are not yet part of a complete list.
    buffer: Vec<u8>,
    /// The maximum length of a list, in bytes.
    max_length: usize,
}

impl ListReader {
    /// Creates a reader that accepts lists of up to `max_length` bytes.
    pub(super) fn new(max_length: usize) -> ListReader {
        ListReader { buffer: Vec::new(), max_length }
    }

    /// Returns whether only white space was received since the last list. Discovery sends white
    /// space as a heartbeat.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ListError::TooLong`] if the buffer exceeds its limit because of an incomplete
    /// list.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), ListError> {
        let bytes = if self.buffer.is_empty() { bytes.trim_ascii_start() } else { bytes };
        self.buffer.extend_from_slice(bytes);
        // Complete lists are removed at once, so more than one list and one fragment means that the
        // list is endless.
        if self.buffer.len() > MAX_BUFFERED_LISTS * self.max_length {
            return Err(ListError::TooLong);
        }
        Ok(())
    }

    /// Removes the next list from the buffer. Returns `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns [`ListError`] if the received bytes are not a list.
    pub(super) fn next_list(&mut self) -> Result<Option<Catalog>, ListError> {
        // serde would also accept a JSON array for a struct.
        if self.buffer.first().is_some_and(|first| *first != b'{') {
            return Err(ListError::NotAnObject);
        }
        let mut values = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<Catalog>();
        let list = match values.next() {
            Some(Ok(list)) => Some(list),
            Some(Err(error)) if !error.is_eof() => return Err(ListError::Malformed(error)),
            None | Some(Err(_)) => None,
        };
        if list.is_some() {
            let rest = self.buffer[values.byte_offset()..].trim_ascii_start().len();
            self.buffer.drain(..self.buffer.len() - rest);
        } else if self.buffer.len() > self.max_length {
            return Err(ListError::TooLong);
        }
        Ok(list)
    }
}

#[cfg(test)]
mod tests;
