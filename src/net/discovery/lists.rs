//! The endpoint lists in the response of a watch: a stream of JSON objects, however they are
//! indented or cut. Read [`ListReader`] first. It is bounded in size; unknown keys are skipped
//! without recursion, however deep they are. It does no I/O.

use crate::net::config::Catalog;
use thiserror::Error;

/// Why what was received is no list. Nothing more can be read after it.
#[derive(Debug, Error)]
pub(super) enum ListError {
    /// It is longer than a list may be.
    #[error("a list too long")]
    TooLong,
    /// It does not begin as an object does.
    #[error("something that is no list")]
    NotAnObject,
    /// It is no JSON, or an object of another form.
    #[error("something that is no list")]
    Malformed(#[source] serde_json::Error),
}

/// Splits received bytes into lists.
pub(super) struct ListReader {
    /// What was received, from the first byte that is not part of a list yet.
    text: Vec<u8>,
    /// The longest list, in bytes.
    max_length: usize,
}

impl ListReader {
    /// A reader that accepts lists of up to `max_length` bytes.
    pub(super) fn new(max_length: usize) -> ListReader {
        ListReader { text: Vec::new(), max_length }
    }

    /// Whether nothing but white space was received since the last list. White space keeps a watch
    /// alive.
    pub(super) fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// [`ListError::TooLong`] if they hold a list that does not end.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), ListError> {
        let bytes = if self.text.is_empty() { bytes.trim_ascii_start() } else { bytes };
        self.text.extend_from_slice(bytes);
        // Complete lists are taken out as they come: what is longer is one that does not end.
        if self.text.len() > 2 * self.max_length {
            return Err(ListError::TooLong);
        }
        Ok(())
    }

    /// Takes out the next list; none while it is incomplete.
    ///
    /// # Errors
    ///
    /// [`ListError`] if what was received is no list.
    pub(super) fn next_list(&mut self) -> Result<Option<Catalog>, ListError> {
        // The library takes an array for an object as well.
        if self.text.first().is_some_and(|first| *first != b'{') {
            return Err(ListError::NotAnObject);
        }
        let mut values = serde_json::Deserializer::from_slice(&self.text).into_iter::<Catalog>();
        let list = match values.next() {
            Some(Ok(list)) => Some(list),
            Some(Err(error)) if !error.is_eof() => return Err(ListError::Malformed(error)),
            None | Some(Err(_)) => None,
        };
        if list.is_some() {
            let rest = self.text[values.byte_offset()..].trim_ascii_start().len();
            self.text.drain(..self.text.len() - rest);
        } else if self.text.len() > self.max_length {
            return Err(ListError::TooLong);
        }
        Ok(list)
    }
}

#[cfg(test)]
mod tests;
