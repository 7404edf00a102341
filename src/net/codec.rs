//! What the codecs share, whatever the protocol.

/// The longest value of a command, in bytes. As much is set aside for the answer of each.
pub const MAX_VALUE: usize = 64 * 1024;
/// The longest value of an answer, in bytes. What goes beyond [`MAX_VALUE`] is drawn from the memory when it comes.
/// Danger: providers do send values several times as long as the protocol's 64 KiB; to pass for spoilt, each was
/// fetched again from the origin, in vain.
pub const MAX_ANSWER: usize = 1024 * 1024;

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
