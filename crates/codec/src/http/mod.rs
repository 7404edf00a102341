//! HTTP/1.1 as the origin and discovery use it: requests are encoded, responses parsed. Read
//! [`parse_head`] first; [`Body`] says how the body after a head ends.

mod chunked;
mod head;
mod request;
#[cfg(test)]
mod tests;

pub use chunked::{parse_chunk, parse_chunked_body};
pub use head::{parse_final_head, parse_head, Body, Head};
pub use request::{encode_path, encode_request};

use super::{ParseError, ParseResult, Parsed};
use thiserror::Error;

/// The longest head of a response, and the longest trailers, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most headers of a head, and the most trailers.
const MAX_HEADERS: usize = 64;

/// What is wrong with a response. The log of discovery has the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The bytes are not a head, or the head is too long.
    #[error("no head of a response")]
    InvalidHead,
    /// A length is not a number, or two lengths differ.
    #[error("a bad length")]
    BadLength,
    /// The transfer encoding is not `chunked`.
    #[error("an unknown transfer encoding")]
    UnknownTransferEncoding,
    /// The headers give the body two different ends.
    #[error("both a length and chunks")]
    LengthAndChunks,
    /// No final response follows the interim ones.
    #[error("too many interim responses")]
    TooManyInterimResponses,
    /// A chunk is longer than its size.
    #[error("a chunk without its end")]
    UnterminatedChunk,
    /// A chunk has no size, or is too large.
    #[error("a bad chunk")]
    BadChunk,
    /// The bytes after the last chunk are not trailers.
    #[error("bad trailers")]
    BadTrailers,
}
