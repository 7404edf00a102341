//! The meta commands of the memcache text protocol, as clients and cache nodes speak them. Read
//! [`parse_command`] and [`encode_response`] for the clients' side, [`encode_request`] and
//! [`parse_response`] for the cache nodes'. This file has what both share: lines and data blocks.

mod backend;
mod command;
mod response;
#[cfg(test)]
mod tests;

pub use backend::{encode_request, parse_response, BackendResponse};
pub use command::{parse_command, Command, RequestCommand};
pub use response::encode_response;

use super::{ParseResult, Parsed, Unparsed};
use thiserror::Error;

/// The longest line in bytes, its end included.
pub const MAX_LINE: usize = 2048;
/// What ends a line, and a value.
pub const LINE_END: &[u8] = b"\r\n";
/// A length of more digits than this is refused unread.
const MAX_LENGTH_DIGITS: usize = 9;

/// What is wrong with a message. Clients are sent the text as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MemcacheError {
    /// The line is longer than [`MAX_LINE`].
    #[error("CLIENT_ERROR line too long")]
    LineTooLong,
    /// The line is no text, or does not end with `\r\n`.
    #[error("CLIENT_ERROR bad line")]
    BadLine,
    /// The value is not followed by `\r\n`.
    #[error("CLIENT_ERROR bad data chunk")]
    BadDataBlock,
    /// The value's length is missing, or no number.
    #[error("CLIENT_ERROR bad data length")]
    BadDataLength,
    /// The value is longer than [`MAX_VALUE`](super::MAX_VALUE).
    #[error("CLIENT_ERROR value too large")]
    ValueTooLarge,
    /// The command lacks something, or has too much.
    #[error("CLIENT_ERROR bad command line format")]
    BadFormat,
    /// There is no such command.
    #[error("ERROR")]
    UnknownCommand,
    /// A cache node's response is none to this request.
    #[error("no response to this request")]
    OtherResponse,
}

/// A line without its end. Names of classes and tenants in it may be in any language.
fn parse_line(bytes: &[u8]) -> ParseResult<&str, MemcacheError> {
    let window = &bytes[..bytes.len().min(MAX_LINE)];
    let Some(end) = window.iter().position(|byte| *byte == b'\n') else {
        if window.len() < MAX_LINE {
            return Err(Unparsed::Incomplete);
        }
        return Err(Unparsed::fatal(MemcacheError::LineTooLong));
    };
    let length = end + 1;
    let line = window[..end].strip_suffix(b"\r").and_then(|line| std::str::from_utf8(line).ok());
    match line {
        Some(line) if line.bytes().all(is_printable) => Ok(Parsed { message: line, length }),
        _ => Err(Unparsed::skippable(MemcacheError::BadLine, length)),
    }
}

/// Whether a byte of UTF-8 belongs to no control character of ASCII.
fn is_printable(byte: u8) -> bool {
    byte >= b' ' && byte != 0x7f
}

/// A data block of `block_length` bytes that begins at `from`, and its line end. The length of what
/// is returned counts from the beginning of `bytes`.
fn parse_block(bytes: &[u8], from: usize, block_length: usize) -> ParseResult<Vec<u8>, MemcacheError> {
    let block_end = from + block_length;
    let end = block_end + LINE_END.len();
    match bytes.get(block_end..end) {
        None => Err(Unparsed::Incomplete),
        Some(LINE_END) => Ok(Parsed { message: bytes[from..block_end].to_vec(), length: end }),
        Some(_) => Err(Unparsed::fatal(MemcacheError::BadDataBlock)),
    }
}

/// A length in bytes.
fn parse_length(word: &str) -> Option<usize> {
    let is_plain = word.len() <= MAX_LENGTH_DIGITS && word.bytes().all(|byte| byte.is_ascii_digit());
    if is_plain {
        word.parse().ok()
    } else {
        None
    }
}
