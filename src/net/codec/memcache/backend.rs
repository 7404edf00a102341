//! The cache nodes' side: requests out ([`encode_request`]), responses in ([`parse_response`]).

use super::super::{ParseResult, Parsed, Unparsed, MAX_STREAMED_VALUE, MAX_VALUE};
use super::{parse_block, parse_length, parse_line, MemcacheError, LINE_END};
use crate::net::dispatcher::Payload;
use std::str::Split;

/// What a cache node's response may begin with.
const BEGINNINGS: [&str; 6] = ["VA ", "HD ", "EN ", "SERVER_ERROR ", "CLIENT_ERROR ", "ERROR\r\n"];
/// The response is none to this request, and the connection is of no further use.
const OTHER_RESPONSE: Unparsed<MemcacheError> =
    Unparsed::Malformed { error: MemcacheError::OtherResponse, skip: None };

/// What a cache node responds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendResponse {
    /// The value or the receipt.
    Served(Payload),
    /// A value of this length in bytes, too long to be read whole, begins here.
    LongValue(usize),
    /// It does not hold the key.
    Miss,
    /// Rejected; the request never ran.
    Busy,
    /// It failed; the request may have run.
    Failed,
}

/// A request as a cache node reads it; `labels` are joined already.
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
/// If there is no whole response yet, or it is none to this request: that must never reach a
/// client.
pub fn parse_response(bytes: &[u8], opaque: &str) -> ParseResult<BackendResponse, MemcacheError> {
    // Noise is known as such by its first bytes: its line may never end.
    if !may_be_response(bytes) {
        return Err(OTHER_RESPONSE);
    }
    let Parsed { message: line, length } = match parse_line(bytes) {
        Ok(parsed) => parsed,
        Err(Unparsed::Incomplete) => return Err(Unparsed::Incomplete),
        Err(Unparsed::Malformed { error, .. }) => return Err(Unparsed::fatal(error)),
    };
    if !line.is_ascii() {
        return Err(OTHER_RESPONSE);
    }
    let mut words = line.split(' ');
    let response = match words.next() {
        Some("VA") => return parse_value(bytes, words, length, opaque),
        Some("HD") if names_request(&words, opaque) => BackendResponse::Served(parse_receipt(words)?),
        Some("EN") if names_request(&words, opaque) => BackendResponse::Miss,
        // Only these words as they stand say that the request never ran.
        _ if line == "SERVER_ERROR busy" => BackendResponse::Busy,
        _ if line == "SERVER_ERROR failed" => BackendResponse::Failed,
        _ => return Err(OTHER_RESPONSE),
    };
    Ok(Parsed { message: response, length })
}

/// Whether a response may begin with these bytes, as far as they go.
fn may_be_response(bytes: &[u8]) -> bool {
    BEGINNINGS.iter().any(|beginning| {
        let beginning = beginning.as_bytes();
        bytes.starts_with(beginning) || beginning.starts_with(bytes)
    })
}

/// Whether the flags name this request, and no other.
fn names_request(flags: &Split<char>, opaque: &str) -> bool {
    flags.clone().filter_map(|flag| flag.strip_prefix('O')).eq(std::iter::once(opaque))
}

/// The rest of `VA`: length and flags on the line, then the value.
fn parse_value(
    bytes: &[u8],
    mut words: Split<char>,
    line_length: usize,
    opaque: &str,
) -> ParseResult<BackendResponse, MemcacheError> {
    let value_length = words.next().and_then(parse_length).ok_or(OTHER_RESPONSE)?;
    if value_length > MAX_STREAMED_VALUE || !names_request(&words, opaque) {
        return Err(OTHER_RESPONSE);
    }
    if value_length > MAX_VALUE {
        return Ok(Parsed { message: BackendResponse::LongValue(value_length), length: line_length });
    }
    let Parsed { message: value, length } = parse_block(bytes, line_length, value_length)?;
    Ok(Parsed { message: BackendResponse::Served(Payload::Value(value)), length })
}

/// The receipt among the flags of `HD`, of which there must be one.
fn parse_receipt(flags: Split<char>) -> Result<Payload, Unparsed<MemcacheError>> {
    let mut receipts = flags.filter_map(|flag| flag.strip_prefix('c'));
    match (receipts.next(), receipts.next()) {
        (Some(receipt), None) => Ok(Payload::Receipt(receipt.to_owned())),
        _ => Err(OTHER_RESPONSE),
    }
}
