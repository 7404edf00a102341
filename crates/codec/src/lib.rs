//! The codecs of the proxy's protocols: pure functions between bytes and messages. They are strict
//! and bounded, do no I/O, and never panic on input. Read [`ParseResult`] first. [`memcache`] is
//! the protocol of clients and cache nodes, [`http`] the protocol of the origin and of discovery.

pub mod http;
pub mod memcache;

use thiserror::Error;

/// The longest value that is buffered, in bytes. This much memory is reserved for each response.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// The longest value of a response, in bytes. A value longer than [`MAX_VALUE_BYTES`] is streamed.
///
/// Note: backends do send values many times as long as the protocol's 64 KiB. If they were rejected
/// as malformed, each would be fetched again, in vain.
pub const MAX_STREAMED_VALUE_BYTES: usize = 4 * 1024 * 1024;

/// A message at the beginning of the buffer, or why there is none.
pub type ParseResult<T, E> = Result<Parsed<T>, ParseError<E>>;

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parsed<T> {
    /// The message.
    pub message: T,
    /// Its length in bytes.
    pub length: usize,
}

/// Why the buffer does not begin with a complete message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError<E> {
    /// More bytes are needed.
    #[error("the message is not complete")]
    Incomplete,
    /// More bytes would not help.
    #[error("{error}")]
    Malformed {
        /// What is wrong.
        error: E,
        /// How many bytes to skip to the next message; `None` if its position is unknown, so that
        /// the connection must be closed.
        skip: Option<usize>,
    },
}

impl<E> ParseError<E> {
    /// A malformed message, after which the position of the next one is unknown.
    #[inline]
    pub(crate) fn fatal(error: E) -> ParseError<E> {
        ParseError::Malformed { error, skip: None }
    }

    /// A malformed message of this length, after which the next one begins.
    #[inline]
    pub(crate) fn skippable(error: E, length: usize) -> ParseError<E> {
        ParseError::Malformed { error, skip: Some(length) }
    }
}
