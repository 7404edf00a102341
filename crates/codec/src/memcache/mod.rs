//! Encodes and parses the meta commands of the memcache text protocol, which clients and cache
//! nodes use. Read [`parse_command`] and [`encode_response`] for the clients' side,
//! [`encode_request`] and [`parse_response`] for the cache nodes' side. The functions in this file
//! parse lines and data blocks, which both sides have.

mod backend;
mod command;
mod labels;
mod response;
#[cfg(test)]
mod tests;

pub use backend::{encode_request, parse_response, BackendResponse};
pub use command::{parse_command, Command, RequestCommand};
pub use labels::Labels;
pub use response::{encode_response, ClientResponse};

use super::{ParseError, ParseResult, Parsed};
use thiserror::Error;

/// The maximum length of a line with its line end, in bytes.
pub const MAX_LINE_BYTES: usize = 2048;
/// The line end, which also follows a value.
pub const LINE_END: &[u8] = b"\r\n";
/// The maximum number of digits of a length. A longer text is rejected without parsing.
const MAX_LENGTH_DIGITS: usize = 9;

/// The reason why a message is malformed. Clients receive the text unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MemcacheError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("CLIENT_ERROR line too long")]
    LineTooLong,
    /// The line is not UTF-8, or does not end with `\r\n`.
    #[error("CLIENT_ERROR bad line")]
    BadLine,
    /// The value is not followed by `\r\n`.
    #[error("CLIENT_ERROR bad data chunk")]
    BadDataBlock,
    /// The length of the value is missing, or not a number.
    #[error("CLIENT_ERROR bad data length")]
    BadDataLength,
    /// The value is longer than [`MAX_VALUE_BYTES`](super::MAX_VALUE_BYTES).
    #[error("CLIENT_ERROR value too large")]
    ValueTooLarge,
    /// The arguments of the command are missing, unknown or not valid.
    #[error("CLIENT_ERROR bad command line format")]
    BadFormat,
    /// The command is unknown.
    #[error("ERROR")]
    UnknownCommand,
    /// A cache node sent bytes that are not a response to this request.
    #[error("no response to this request")]
    UnexpectedResponse,
}

/// Parses a line, and returns it without its line end. UTF-8 text is allowed because names of
/// classes and tenants may contain it.
fn parse_line(bytes: &[u8]) -> ParseResult<&str, MemcacheError> {
    let window = &bytes[..bytes.len().min(MAX_LINE_BYTES)];
    let Some(end) = window.iter().position(|byte| *byte == b'\n') else {
        if window.len() < MAX_LINE_BYTES {
            return Err(ParseError::Incomplete);
        }
        return Err(ParseError::fatal(MemcacheError::LineTooLong));
    };
    let length = end + 1;
    let line = window[..end].strip_suffix(b"\r").and_then(|line| std::str::from_utf8(line).ok());
    match line {
        Some(line) if line.bytes().all(is_printable) => Ok(Parsed { message: line, length }),
        _ => Err(ParseError::skippable(MemcacheError::BadLine, length)),
    }
}

/// Returns whether a byte of UTF-8 text is not an ASCII control character.
fn is_printable(byte: u8) -> bool {
    !byte.is_ascii_control()
}

/// Parses a data block of `block_length` bytes at `start`, with its line end. The length of the
/// result counts from the beginning of `bytes`.
fn parse_block(bytes: &[u8], start: usize, block_length: usize) -> ParseResult<Vec<u8>, MemcacheError> {
    let block_end = start + block_length;
    let end = block_end + LINE_END.len();
    match bytes.get(block_end..end) {
        None => Err(ParseError::Incomplete),
        Some(LINE_END) => Ok(Parsed { message: bytes[start..block_end].to_vec(), length: end }),
        Some(_) => Err(ParseError::fatal(MemcacheError::BadDataBlock)),
    }
}

/// Parses a length in bytes, which must be a plain decimal number without a sign.
fn parse_length(token: &str) -> Option<usize> {
    let is_plain = token.len() <= MAX_LENGTH_DIGITS && token.bytes().all(|byte| byte.is_ascii_digit());
    if is_plain {
        token.parse().ok()
    } else {
        None
    }
}
