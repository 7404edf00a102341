//! What the codecs share, whatever the protocol.

/// The longest value that is read whole, in bytes. As much is set aside for the answer of each command.
pub const MAX_VALUE: usize = 64 * 1024;
/// The longest value of an answer, in bytes. Beyond [`MAX_VALUE`] it flows through in pieces. Danger: providers do
/// send values many times as long as the protocol's 64 KiB; to pass for spoilt, each was fetched again, in vain.
pub const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// What the bytes at hand hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// Not yet a whole message.
    Incomplete,
    /// A message and how many bytes it took.
    Whole(T, usize),
    /// What is wrong, and how many bytes to skip; none if the connection cannot go on.
    Malformed(&'static str, Option<usize>),
}

pub mod http;
pub mod memcache;
