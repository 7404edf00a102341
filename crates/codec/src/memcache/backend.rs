//! Encodes requests to cache nodes with [`encode_request`], and parses their responses with
//! [`parse_response`].

use super::super::{ParseError, ParseResult, Parsed, MAX_STREAMED_VALUE_BYTES, MAX_VALUE_BYTES};
use super::{parse_block, parse_length, parse_line, MemcacheError, LINE_END};
use std::str::Split;

/// The texts with which a cache node's response may begin.
const RESPONSE_PREFIXES: [&str; 6] = ["VA ", "HD ", "EN ", "SERVER_ERROR ", "CLIENT_ERROR ", "ERROR\r\n"];
/// The error for bytes that are not a response, or are the response to another request. The
/// connection must then be closed.
const UNEXPECTED_RESPONSE: ParseError<MemcacheError> =
    ParseError::Malformed { error: MemcacheError::UnexpectedResponse, skip: None };

/// The response of a cache node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendResponse {
    /// The value of a read.
    Value(Vec<u8>),
    /// The receipt of a write.
    Receipt(String),
    /// The beginning of a value that is too long to be buffered. The value follows this message.
    LongValue {
        /// The length of the value, in bytes.
        length: usize,
    },
    /// The cache node does not have the key.
    Miss,
    /// The cache node rejected the request, which never ran.
    Busy,
    /// The request failed, but may have run.
    Failed,
}

/// Encodes a request to a cache node; `labels` is the complete argument of the flag `P`.
pub fn encode_request(key: &str, opaque: &str, labels: &str, value: Option<&[u8]>) -> Vec<u8> {
    match value {
        None => format!("mg {key} v O{opaque} P{labels}\r\n").into_bytes(),
        Some(value) => {
            let mut bytes = format!("ms {key} {} O{opaque} P{labels}\r\n", value.len()).into_bytes();
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(LINE_END);
            bytes
        }
    }
}

/// Parses a cache node's response to the request with this opaque id.
///
/// # Errors
///
/// If the response is incomplete or malformed, or belongs to another request.
///
/// Invariant: a client never gets the response to another request.
pub fn parse_response(bytes: &[u8], opaque: &str) -> ParseResult<BackendResponse, MemcacheError> {
    // Bytes that cannot begin a response are rejected before their line is complete, since it may
    // never end.
    if !may_be_response(bytes) {
        return Err(UNEXPECTED_RESPONSE);
    }
    let Parsed { message: line, length } = match parse_line(bytes) {
        Ok(parsed) => parsed,
        Err(ParseError::Incomplete) => return Err(ParseError::Incomplete),
        Err(ParseError::Malformed { error, .. }) => return Err(ParseError::fatal(error)),
    };
    if !line.is_ascii() {
        return Err(UNEXPECTED_RESPONSE);
    }
    let mut tokens = line.split(' ');
    let response = match tokens.next() {
        Some("VA") => return parse_value(bytes, tokens, length, opaque),
        Some("HD") if has_opaque(&tokens, opaque) => BackendResponse::Receipt(parse_receipt(tokens)?),
        Some("EN") if has_opaque(&tokens, opaque) => BackendResponse::Miss,
        // Only this exact text means that the request never ran.
        _ if line == "SERVER_ERROR busy" => BackendResponse::Busy,
        _ if line == "SERVER_ERROR failed" => BackendResponse::Failed,
        _ => return Err(UNEXPECTED_RESPONSE),
    };
    Ok(Parsed { message: response, length })
}

/// Returns whether these bytes may be the beginning of a response.
fn may_be_response(bytes: &[u8]) -> bool {
    RESPONSE_PREFIXES.iter().any(|beginning| {
        let beginning = beginning.as_bytes();
        bytes.starts_with(beginning) || beginning.starts_with(bytes)
    })
}

/// Returns whether the flags contain this opaque id once, and no other opaque id.
fn has_opaque(flags: &Split<char>, opaque: &str) -> bool {
    flags.clone().filter_map(|flag| flag.strip_prefix('O')).eq(std::iter::once(opaque))
}

/// Parses the rest of a response that begins with `VA`: the length and the flags on the line, then
/// the value.
fn parse_value(
    bytes: &[u8],
    mut tokens: Split<char>,
    line_length: usize,
    opaque: &str,
) -> ParseResult<BackendResponse, MemcacheError> {
    let value_length = tokens.next().and_then(parse_length).ok_or(UNEXPECTED_RESPONSE)?;
    if value_length > MAX_STREAMED_VALUE_BYTES || !has_opaque(&tokens, opaque) {
        return Err(UNEXPECTED_RESPONSE);
    }
    if value_length > MAX_VALUE_BYTES {
        let message = BackendResponse::LongValue { length: value_length };
        return Ok(Parsed { message, length: line_length });
    }
    let Parsed { message: value, length } = parse_block(bytes, line_length, value_length)?;
    Ok(Parsed { message: BackendResponse::Value(value), length })
}

/// Parses the flags of `HD`, of which exactly one must be a receipt.
fn parse_receipt(flags: Split<char>) -> Result<String, ParseError<MemcacheError>> {
    let mut receipts = flags.filter_map(|flag| flag.strip_prefix('c'));
    match (receipts.next(), receipts.next()) {
        (Some(receipt), None) => Ok(receipt.to_owned()),
        _ => Err(UNEXPECTED_RESPONSE),
    }
}
