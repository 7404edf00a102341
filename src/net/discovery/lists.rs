//! The endpoint lists in the response of a watch: a stream of JSON objects with any indentation, in
//! fragments of any size. Read [`ListReader`] first. It is bounded in size, skips unknown keys of
//! any depth without recursion, and does no I/O.

use pinetrail_config::Catalog;
use thiserror::Error;

/// How many lists of the longest length fit in the buffer.
const MAX_BUFFERED_LISTS: usize = 2;

/// Why the received bytes are not a list. The watch cannot continue after it.
#[derive(Debug, Error)]
pub(super) enum ListError {
    /// The list is too long.
    #[error("a list too long")]
    TooLong,
    /// It does not begin with `{`.
    #[error("something that is no list")]
    NotAnObject,
    /// It is not JSON, or not an endpoint list.
    #[error("something that is no list")]
    Malformed(#[source] serde_json::Error),
}

/// Splits received bytes into lists.
pub(super) struct ListReader {
    /// The received bytes that are not yet part of a complete list.
    buffer: Vec<u8>,
    /// The longest list, in bytes.
    max_length: usize,
}

impl ListReader {
    /// Creates a reader that accepts lists of up to `max_length` bytes.
    pub(super) fn new(max_length: usize) -> ListReader {
        ListReader { buffer: Vec::new(), max_length }
    }

    /// Whether only white space was received since the last list. Discovery sends it as a
    /// heartbeat.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// [`ListError::TooLong`] if the buffer contains an incomplete list that is too long.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), ListError> {
        let bytes = if self.buffer.is_empty() { bytes.trim_ascii_start() } else { bytes };
        self.buffer.extend_from_slice(bytes);
        // Complete lists are removed at once: more than one list and one fragment is an endless
        // list.
        if self.buffer.len() > MAX_BUFFERED_LISTS * self.max_length {
            return Err(ListError::TooLong);
        }
        Ok(())
    }

    /// Removes the next list from the buffer. Returns `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// [`ListError`] if the received bytes are not a list.
    pub(super) fn next_list(&mut self) -> Result<Option<Catalog>, ListError> {
        // serde would accept an array as an object.
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
