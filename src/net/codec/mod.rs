//! The codecs of the protocols: pure functions between bytes and messages. They are strict and
//! bounded, never wait, and never panic on input. Read [`ParseResult`] first; [`memcache`] is what
//! clients and cache nodes speak, [`http`] what the origin and discovery speak.

pub mod http;
pub mod memcache;

use thiserror::Error;

/// The longest value that is read whole, in bytes. As much is reserved for the response to each
/// command.
pub const MAX_VALUE: usize = 64 * 1024;
/// The longest value of a response, in bytes. Beyond [`MAX_VALUE`] it streams through in pieces.
/// Danger: backends do send values many times as long as the protocol's 64 KiB; taken for
/// malformed, each would be fetched again, in vain.
pub const MAX_STREAMED_VALUE: usize = 4 * 1024 * 1024;

/// A message at the beginning of the bytes at hand, or why there is none.
pub type ParseResult<T, E> = Result<Parsed<T>, Unparsed<E>>;

/// A whole message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parsed<T> {
    /// The message.
    pub message: T,
    /// How many bytes it took.
    pub length: usize,
}

/// Why the bytes at hand begin with no whole message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unparsed<E> {
    /// More bytes have to come first.
    #[error("the message is not complete")]
    Incomplete,
    /// They never will.
    #[error("{error}")]
    Malformed {
        /// What is wrong.
        error: E,
        /// How many bytes to skip; none if the connection cannot go on.
        skip: Option<usize>,
    },
}

impl<E> Unparsed<E> {
    /// Malformed, and nothing tells where the next message begins.
    pub(super) fn fatal(error: E) -> Unparsed<E> {
        Unparsed::Malformed { error, skip: None }
    }

    /// Malformed, and the next message begins so many bytes on.
    pub(super) fn skippable(error: E, length: usize) -> Unparsed<E> {
        Unparsed::Malformed { error, skip: Some(length) }
    }
}
