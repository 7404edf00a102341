//! Encodes and parses the messages of the proxy's protocols, with pure functions that are strict
//! and bounded, do no I/O, and never panic on input. Read [`ParseResult`] first. [`memcache`] has
//! the protocol of clients and cache nodes, [`http`] the protocol of the origin and of discovery.

pub mod http;
pub mod memcache;

use thiserror::Error;

/// The maximum length, in bytes, of a value that is buffered. This much memory is reserved for each
/// response.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// The maximum length, in bytes, of the value of a response. A value longer than
/// [`MAX_VALUE_BYTES`] is streamed.
///
/// Note: some backends send values many times as long as the protocol's 64 KiB. If such values were
/// rejected as malformed, each would be fetched again without success.
pub const MAX_STREAMED_VALUE_BYTES: usize = 4 * 1024 * 1024;

/// The message at the beginning of a buffer, or the reason why the buffer does not begin with a
/// message.
pub type ParseResult<T, E> = Result<Parsed<T>, ParseError<E>>;

/// A complete message at the beginning of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parsed<T> {
    /// The message.
    pub message: T,
    /// The length of the message in bytes.
    pub length: usize,
}

/// The reason why a buffer does not begin with a complete message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError<E> {
    /// The buffer has only the beginning of a message, so that more bytes are needed.
    #[error("the message is incomplete")]
    Incomplete,
    /// The buffer begins with bytes that are not a valid message, whatever follows them.
    #[error("{error}")]
    Malformed {
        /// The reason why the message is malformed.
        error: E,
        /// The number of bytes to skip to the next message; `None` if the position of the next
        /// message is unknown, so that the connection must be closed.
        skip: Option<usize>,
    },
}

impl<E> ParseError<E> {
    /// Creates the error of a malformed message after which the position of the next message is
    /// unknown.
    #[inline]
    pub(crate) fn fatal(error: E) -> ParseError<E> {
        ParseError::Malformed { error, skip: None }
    }

    /// Creates the error of a malformed message of this length, after which the next message
    /// begins.
    #[inline]
    pub(crate) fn skippable(error: E, length: usize) -> ParseError<E> {
        ParseError::Malformed { error, skip: Some(length) }
    }
}
