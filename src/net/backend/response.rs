//! Parses the received bytes of a backend's response, in memcache or HTTP, into the result of the
//! attempt. Read [`parse_response`] first, then [`ParsedResponse`].

use super::surplus::{self, OriginalHead, Surplus};
use crate::interface::Outcome;
use crate::net::dispatcher::{AttemptRequest, Payload};
use pinetrail_codec::http::{self, Body, Head};
use pinetrail_codec::memcache::{self, BackendResponse};
use pinetrail_codec::{ParseError, Parsed, MAX_STREAMED_VALUE_BYTES, MAX_VALUE_BYTES};

/// The longest response that is buffered, in bytes: a value with its head and chunk headers.
///
/// Note: a buffered response is parsed again after each read, so without this limit an endless
/// response would occupy the worker.
const MAX_RESPONSE_BYTES: usize = 4 * MAX_VALUE_BYTES;
/// The number of bytes of a long value after whose arrival the value is streamed.
const STREAM_THRESHOLD_BYTES: usize = 4 * 1024;
/// The same for a late request in a drain, whose value must show how fast it arrives.
const LATE_STREAM_THRESHOLD_BYTES: usize = 64 * 1024;

const STATUS_OK: u16 = 200;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;
const STATUS_GATEWAY_TIMEOUT: u16 = 504;

/// The outcome of an attempt and its payload.
pub(super) struct AttemptResult {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The payload, if the backend served the request.
    pub payload: Option<Payload>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, payload: None }
    }
}

/// A value that is too long to be buffered.
pub(super) struct LongValue {
    /// The offset in the response at which the value begins.
    pub starts_at: usize,
    /// The length of the value in bytes.
    pub length: usize,
    /// How the end of the value is marked.
    pub end: ValueEnd,
    /// Whether the connection may be reused after the value.
    pub reuse: ConnectionReuse,
}

/// How the end of a value with a length is marked.
pub(super) enum ValueEnd {
    /// These bytes follow the value.
    Terminator(&'static [u8]),
    /// Nothing follows the value, so that bytes behind it may belong to a longer value.
    Unmarked(OriginalHead),
}

/// A body of a response with status 200 whose length is known only at its end.
pub(super) struct UnsizedBody {
    /// The offset in the response at which the body begins.
    pub starts_at: usize,
    /// How the end of the body is marked.
    pub framing: UnsizedFraming,
    /// Whether the connection may be reused if nothing follows the body.
    pub reuse: ConnectionReuse,
}

/// How the end of a body without a length is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnsizedFraming {
    /// The last chunk ends the body.
    Chunked,
    /// The end of the connection ends the body.
    UntilClose,
}

/// Whether a connection may be reused after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionReuse {
    /// The response carries the id of its request, so a duplicate cannot be taken for the response
    /// to the next request.
    AfterShortDelay,
    /// The response does not carry the id of its request.
    AfterLongDelay,
    /// The connection is closed, not reused.
    Never,
}

/// Whether a response carries the id of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Identification {
    WithRequestId,
    WithoutRequestId,
}

/// Whether a connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Persistence {
    KeepAlive,
    Close,
}

impl ConnectionReuse {
    /// Decides whether a connection may be reused after a response, and with which delay.
    ///
    /// Inputs: whether the response carries the id of its request, and whether the connection stays
    /// open.
    /// Reason: a duplicate of a response must not be taken for the response to the next request.
    fn after(identification: Identification, persistence: Persistence) -> ConnectionReuse {
        match (persistence, identification) {
            (Persistence::Close, _) => ConnectionReuse::Never,
            (Persistence::KeepAlive, Identification::WithRequestId) => ConnectionReuse::AfterShortDelay,
            (Persistence::KeepAlive, Identification::WithoutRequestId) => ConnectionReuse::AfterLongDelay,
        }
    }
}

/// The result of parsing the bytes that have arrived.
pub(super) enum ParsedResponse {
    /// More bytes are needed.
    Incomplete,
    /// The response is malformed. The request may have run, and the connection is closed.
    Malformed,
    /// The bytes contain the beginning of a long value, which is streamed.
    LongValue(LongValue),
    /// The bytes contain the head of a response whose body has no length.
    UnsizedBody(UnsizedBody),
    /// The response is complete.
    Complete {
        /// The result of the attempt.
        result: AttemptResult,
        /// Whether the connection may be reused.
        reuse: ConnectionReuse,
    },
}

impl<E> From<ParseError<E>> for ParsedResponse {
    fn from(error: ParseError<E>) -> ParsedResponse {
        match error {
            ParseError::Incomplete => ParsedResponse::Incomplete,
            ParseError::Malformed { .. } => ParsedResponse::Malformed,
        }
    }
}

impl LongValue {
    /// Returns whether so much of the value has arrived, of a response of `received` bytes, that the
    /// value may stream. Until then the client receives nothing, so that the request can still be
    /// retried if the response announces a length but is malformed, or rejected if the value is too
    /// slow for a late request.
    pub(super) fn has_stream_threshold(&self, attempt: &AttemptRequest, received: usize) -> bool {
        let is_late = attempt.request.lost_at.is_some();
        let threshold = if is_late { LATE_STREAM_THRESHOLD_BYTES } else { STREAM_THRESHOLD_BYTES };
        received >= self.starts_at + threshold.min(self.length)
    }
}

/// Parses a backend's response in its protocol.
pub(super) fn parse_response(attempt: &AttemptRequest, bytes: &[u8]) -> ParsedResponse {
    if bytes.len() > MAX_RESPONSE_BYTES {
        return ParsedResponse::Malformed;
    }
    if attempt.is_origin {
        parse_http(attempt, bytes)
    } else {
        parse_memcache(attempt, bytes)
    }
}

fn parse_memcache(attempt: &AttemptRequest, bytes: &[u8]) -> ParsedResponse {
    let Parsed { message, length } = match memcache::parse_response(bytes, &attempt.request.opaque) {
        Ok(parsed) => parsed,
        Err(error) => return error.into(),
    };
    // Only values, receipts and misses contain the id of the request.
    let identification = match message {
        BackendResponse::Busy | BackendResponse::Failed => Identification::WithoutRequestId,
        _ => Identification::WithRequestId,
    };
    let result = match message {
        BackendResponse::LongValue { .. } if attempt.request.value.is_some() => {
            return ParsedResponse::Malformed
        }
        BackendResponse::LongValue { length: value_length } => {
            let value = LongValue {
                starts_at: length,
                length: value_length,
                end: ValueEnd::Terminator(memcache::LINE_END),
                reuse: ConnectionReuse::AfterShortDelay,
            };
            return ParsedResponse::LongValue(value);
        }
        BackendResponse::Value(value) => served(attempt, Payload::Value(value)),
        BackendResponse::Receipt(receipt) => served(attempt, Payload::Receipt(receipt)),
        BackendResponse::Miss => Outcome::Miss.into(),
        BackendResponse::Busy => Outcome::Full.into(),
        BackendResponse::Failed => Outcome::Error.into(),
    };
    let persistence = if length == bytes.len() { Persistence::KeepAlive } else { Persistence::Close };
    ParsedResponse::Complete { result, reuse: ConnectionReuse::after(identification, persistence) }
}

fn parse_http(attempt: &AttemptRequest, bytes: &[u8]) -> ParsedResponse {
    let Parsed { message: head, length: body_at } = match http::parse_final_head(bytes) {
        Ok(parsed) => parsed,
        Err(error) => return error.into(),
    };
    if head.id.as_ref().is_some_and(|id| *id != attempt.request.opaque) {
        return ParsedResponse::Malformed;
    }
    let rest = &bytes[body_at..];
    if head.status != STATUS_OK {
        return http_error(&head, rest);
    }
    match head.body {
        Body::Length(length) if length > MAX_STREAMED_VALUE_BYTES => ParsedResponse::Malformed,
        Body::Length(length) if length > MAX_VALUE_BYTES => {
            let reuse = http_reuse(&head, Persistence::KeepAlive);
            let end = ValueEnd::Unmarked(OriginalHead::new(&bytes[..body_at], head.starts_at));
            long_http_response(attempt, LongValue { starts_at: body_at, length, end, reuse })
        }
        Body::Length(length) if rest.len() < length => ParsedResponse::Incomplete,
        Body::Length(length) => sized_http_response(attempt, &head, bytes, body_at, length),
        Body::UntilClose => {
            let framing = UnsizedFraming::UntilClose;
            let reuse = ConnectionReuse::Never;
            ParsedResponse::UnsizedBody(UnsizedBody { starts_at: body_at, framing, reuse })
        }
        Body::Chunked => {
            let framing = UnsizedFraming::Chunked;
            let reuse = http_reuse(&head, Persistence::KeepAlive);
            ParsedResponse::UnsizedBody(UnsizedBody { starts_at: body_at, framing, reuse })
        }
    }
}

/// Decides whether a complete response with status 200 and a length is used, from what follows it.
///
/// Inputs: the received bytes, and where the body begins and how long it is by its head.
/// Reason: bytes behind the length may be the rest of a value whose length is wrong, and a value
/// that is cut short must not be served.
/// Source: docs/incidents/2026-12-06-values-cut-by-a-short-length.md.
fn sized_http_response(
    attempt: &AttemptRequest,
    head: &Head,
    bytes: &[u8],
    body_at: usize,
    body_length: usize,
) -> ParsedResponse {
    let (response, excess) = bytes.split_at(body_at + body_length);
    let is_receipt = attempt.request.value.is_some();
    let persistence = match Surplus::of_response(response, body_at, head.starts_at, excess) {
        Surplus::None => Persistence::KeepAlive,
        Surplus::Duplicate => Persistence::Close,
        Surplus::Unknown if is_receipt && surplus::ends_receipt(excess) => Persistence::Close,
        Surplus::Undecided => return ParsedResponse::Incomplete,
        Surplus::Unknown => return ParsedResponse::Malformed,
    };
    match http_result(attempt, response[body_at..].to_vec()) {
        Some(result) => ParsedResponse::Complete { result, reuse: http_reuse(head, persistence) },
        None => ParsedResponse::Malformed,
    }
}

/// Returns the result of a response with status 200 whose body is too long to be buffered.
fn long_http_response(attempt: &AttemptRequest, value: LongValue) -> ParsedResponse {
    if attempt.request.value.is_some() {
        ParsedResponse::Malformed
    } else {
        ParsedResponse::LongValue(value)
    }
}

/// Decides the result of a response with another status than 200, from its head alone, and whether
/// its connection may be reused, which needs the complete body.
///
/// Inputs: the status and the marks of the head, and the part of the body that has arrived.
/// Reason: the body of an error says nothing, so the request does not wait for it. Only a marked
/// rejection guarantees that the request never ran.
/// Source: RFC 9110, section 15.
fn http_error(head: &Head, body: &[u8]) -> ParsedResponse {
    let outcome = match head.status {
        STATUS_SERVICE_UNAVAILABLE | STATUS_GATEWAY_TIMEOUT if head.is_rejected => Outcome::Full,
        _ => Outcome::Error,
    };
    let is_complete = match head.body {
        Body::Length(length) => body.len() == length,
        Body::Chunked => {
            let parsed = http::parse_chunked_body(body, MAX_VALUE_BYTES);
            parsed.is_ok_and(|parsed| parsed.length == body.len())
        }
        Body::UntilClose => false,
    };
    let persistence = if is_complete { Persistence::KeepAlive } else { Persistence::Close };
    ParsedResponse::Complete { result: outcome.into(), reuse: http_reuse(head, persistence) }
}

/// Returns the result of an attempt at the origin from a complete response with status 200, or
/// `None` if the response is malformed.
pub(super) fn http_result(attempt: &AttemptRequest, body: Vec<u8>) -> Option<AttemptResult> {
    if attempt.request.value.is_none() {
        return Some(served(attempt, Payload::Value(body)));
    }
    Some(served(attempt, Payload::Receipt(String::from_utf8(body).ok()?)))
}

/// Returns whether the connection may be reused after a response with this head.
fn http_reuse(head: &Head, persistence: Persistence) -> ConnectionReuse {
    let identification =
        if head.id.is_some() { Identification::WithRequestId } else { Identification::WithoutRequestId };
    let persistence = if head.closes { Persistence::Close } else { persistence };
    ConnectionReuse::after(identification, persistence)
}

/// Returns the result of a served request. A payload of the wrong kind is an error: a read needs a
/// value, a write a receipt of one word.
fn served(attempt: &AttemptRequest, payload: Payload) -> AttemptResult {
    let is_write = attempt.request.value.is_some();
    let is_expected = match &payload {
        Payload::Value(_) => !is_write,
        Payload::Receipt(receipt) => {
            is_write && !receipt.is_empty() && receipt.bytes().all(|byte| byte.is_ascii_graphic())
        }
    };
    if is_expected {
        AttemptResult { outcome: Outcome::Ok, payload: Some(payload) }
    } else {
        Outcome::Error.into()
    }
}
