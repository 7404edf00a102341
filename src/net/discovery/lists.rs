//! What a watch says, as a stream of JSON values: each is a list, however it is indented or cut. Bounded in size; what is
//! unknown in it is passed over without recursion, however deep. Bytes in, lists out.

use super::Ended;
use crate::net::config::Catalog;

/// Bytes that came, from the first that is not understood yet.
pub(super) struct Lists {
    text: Vec<u8>,
    longest: usize,
}

impl Lists {
    /// Nothing has come; no list may be longer than this.
    pub(super) fn new(longest: usize) -> Lists {
        Lists { text: Vec::new(), longest }
    }

    /// Whether nothing lies there but white space, which keeps a watch alive.
    pub(super) fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Something has come.
    pub(super) fn push(&mut self, part: &[u8]) -> Result<(), Ended> {
        let part = if self.text.is_empty() { part.trim_ascii_start() } else { part };
        self.text.extend_from_slice(part);
        // Whole lists are taken out as they come: what is longer is one that does not end.
        if self.text.len() > 2 * self.longest {
            return Err("a list too long".into());
        }
        Ok(())
    }

    /// The next list, if it is whole. After an error nothing more can be understood.
    pub(super) fn next(&mut self) -> Result<Option<Catalog>, Ended> {
        // The library takes an array for an object as well.
        if self.text.first().is_some_and(|first| *first != b'{') {
            return Err("something that is no list".into());
        }
        let mut values = serde_json::Deserializer::from_slice(&self.text).into_iter::<Catalog>();
        let read = match values.next() {
            Some(Ok(list)) => Some(list),
            Some(Err(error)) if !error.is_eof() => return Err("something that is no list".into()),
            None | Some(Err(_)) => None,
        };
        if read.is_some() {
            let rest = self.text[values.byte_offset()..].trim_ascii_start().len();
            self.text.drain(..self.text.len() - rest);
        }
        if self.text.len() > self.longest && read.is_none() {
            return Err("a list too long".into());
        }
        Ok(read)
    }
}

#[cfg(test)]
mod tests;
