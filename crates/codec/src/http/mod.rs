//! Encodes HTTP/1.1 requests to the origin and to discovery, and parses the responses. Read
//! [`parse_head`] first; [`Body`] determines the end of the body after a head.

mod chunked;
mod head;
mod request;
#[cfg(test)]
mod tests;

pub use chunked::{parse_chunk, parse_chunked_body, ChunkedDecoder};
pub use head::{parse_final_head, parse_head, Body, Head};
pub use request::{encode_path, encode_request};

use super::{ParseError, ParseResult, Parsed};
use thiserror::Error;

/// The maximum length of the head of a response, and of trailers, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of headers in a head, and of trailers.
const MAX_HEADERS: usize = 64;

/// The reason why a response is malformed. The text is logged when a watch of discovery ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The bytes are not the head of a response, or the head is too large.
    #[error("the response head is invalid, or over {MAX_HEAD_BYTES} bytes or {MAX_HEADERS} headers")]
    InvalidHead,
    /// A `Content-Length` is not a number, or two of them differ.
    #[error("the Content-Length is not a number, or was given twice with different values")]
    BadLength,
    /// The transfer encoding is not `chunked`, or is given twice.
    #[error("the Transfer-Encoding is not chunked, or was given twice")]
    UnknownTransferEncoding,
    /// Both `Content-Length` and `Transfer-Encoding` say how the body ends.
    #[error("the response has both a Content-Length and a Transfer-Encoding")]
    LengthAndChunks,
    /// Too many interim responses precede the final response.
    #[error("too many interim (1xx) responses precede the final response")]
    TooManyInterimResponses,
    /// The data of a chunk is not followed by a line end.
    #[error("the data of a chunk is not followed by a line end")]
    UnterminatedChunk,
    /// The size of a chunk is missing, invalid or too large.
    #[error("the size of a chunk is missing, invalid or too large")]
    BadChunk,
    /// The bytes after the last chunk are not trailers, or the trailers are too large.
    #[error("the trailers are invalid, or over {MAX_HEAD_BYTES} bytes or {MAX_HEADERS} lines")]
    BadTrailers,
}
