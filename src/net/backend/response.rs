//! Parses the responses of backends in their protocols: bytes in, the result of the attempt out.
//! Read [`parse_response`] first, then [`ParsedResponse`].

use crate::interface::Outcome;
use crate::net::dispatcher::{AttemptRequest, Payload};
use pinetrail_codec::http::{self, Body, Head};
use pinetrail_codec::memcache::{self, BackendResponse};
use pinetrail_codec::{Parsed, Unparsed, MAX_STREAMED_VALUE_BYTES, MAX_VALUE_BYTES};

/// The longest response that is buffered, in bytes: a value with its head and chunk headers.
///
/// Note: a buffered response is parsed again with each piece, so an endless one would occupy the
/// worker without this limit.
const MAX_RESPONSE_BYTES: usize = 4 * MAX_VALUE_BYTES;
/// A long value streams once this many bytes of it have arrived.
const STREAM_THRESHOLD_BYTES: usize = 4 * 1024;

const STATUS_OK: u16 = 200;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;
const STATUS_GATEWAY_TIMEOUT: u16 = 504;

/// The outcome of an attempt and its payload.
pub(super) struct AttemptResult {
    /// How it ended.
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
    /// Where it begins in the response.
    pub starts_at: usize,
    /// Its length in bytes.
    pub length: usize,
    /// The bytes that must follow it.
    pub terminator: &'static [u8],
    /// Whether its connection may be reused.
    pub reuse: ConnectionReuse,
}

/// Whether a connection may be reused after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionReuse {
    /// The response names its request, so a duplicate cannot pass for the next response.
    AfterShortDelay,
    /// The response does not name its request.
    AfterLongDelay,
    /// The connection is closed.
    Never,
}

/// Whether a response names its request.
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
    /// Decides: whether a connection is reused after a response, and with which delay.
    /// Inputs: whether the response names its request, and whether the connection stays open.
    /// Reason: a duplicate of a response must not pass for the response to the next request.
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
    /// The beginning of a long value, which streams from here.
    LongValue(LongValue),
    /// The complete response.
    Complete {
        /// The result of the attempt.
        result: AttemptResult,
        /// Whether the connection may be reused.
        reuse: ConnectionReuse,
    },
}

impl<E> From<Unparsed<E>> for ParsedResponse {
    fn from(unparsed: Unparsed<E>) -> ParsedResponse {
        match unparsed {
            Unparsed::Incomplete => ParsedResponse::Incomplete,
            Unparsed::Malformed { .. } => ParsedResponse::Malformed,
        }
    }
}

impl LongValue {
    /// Streams the value once enough of it has arrived. A malformed response that only announces a
    /// length can still be retried, since the client has received nothing.
    fn into_response(self, bytes: &[u8]) -> ParsedResponse {
        if bytes.len() >= self.starts_at + STREAM_THRESHOLD_BYTES {
            ParsedResponse::LongValue(self)
        } else {
            ParsedResponse::Incomplete
        }
    }
}

/// Whether a connection may bring more of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputState {
    /// The connection is open.
    Open,
    /// The backend has closed it without a reset.
    Closed,
}

/// Parses a backend's response in its protocol.
pub(super) fn parse_response(attempt: &AttemptRequest, bytes: &[u8], input: InputState) -> ParsedResponse {
    if bytes.len() > MAX_RESPONSE_BYTES {
        return ParsedResponse::Malformed;
    }
    if attempt.is_origin {
        parse_http(attempt, bytes, input)
    } else {
        parse_memcache(attempt, bytes)
    }
}

fn parse_memcache(attempt: &AttemptRequest, bytes: &[u8]) -> ParsedResponse {
    let Parsed { message, length } = match memcache::parse_response(bytes, &attempt.request.opaque) {
        Ok(parsed) => parsed,
        Err(unparsed) => return unparsed.into(),
    };
    // Only values, receipts and misses contain the id.
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
                terminator: memcache::LINE_END,
                reuse: ConnectionReuse::AfterShortDelay,
            };
            return value.into_response(bytes);
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

fn parse_http(attempt: &AttemptRequest, bytes: &[u8], input: InputState) -> ParsedResponse {
    let Parsed { message: head, length: body_at } = match http::parse_final_head(bytes) {
        Ok(parsed) => parsed,
        Err(unparsed) => return unparsed.into(),
    };
    if head.id.as_ref().is_some_and(|id| *id != attempt.request.opaque) {
        return ParsedResponse::Malformed;
    }
    let rest = &bytes[body_at..];
    let (body, used) = match head.body {
        Body::Length(length) if length > MAX_STREAMED_VALUE_BYTES => return ParsedResponse::Malformed,
        Body::Length(length) if length > MAX_VALUE_BYTES => {
            let reuse = http_reuse(&head, Persistence::KeepAlive);
            let value = LongValue { starts_at: body_at, length, terminator: b"", reuse };
            return long_http_response(attempt, &head, value, bytes);
        }
        Body::Length(length) if rest.len() < length => return ParsedResponse::Incomplete,
        Body::Length(length) => (rest[..length].to_vec(), body_at + length),
        Body::UntilClose if rest.len() > MAX_VALUE_BYTES => return ParsedResponse::Malformed,
        Body::UntilClose if input == InputState::Open => return ParsedResponse::Incomplete,
        Body::UntilClose => (rest.to_vec(), bytes.len()),
        // A chunked body is buffered, since the client needs its length before the first byte.
        Body::Chunked => match http::parse_chunked_body(rest, MAX_VALUE_BYTES) {
            Ok(Parsed { message: body, length }) => (body, body_at + length),
            Err(unparsed) => return unparsed.into(),
        },
    };
    let is_complete = used == bytes.len() && head.body != Body::UntilClose;
    let persistence = if is_complete { Persistence::KeepAlive } else { Persistence::Close };
    match http_result(attempt, &head, body) {
        Some(result) => ParsedResponse::Complete { result, reuse: http_reuse(&head, persistence) },
        None => ParsedResponse::Malformed,
    }
}

/// The result of a response whose body is too long to be buffered.
fn long_http_response(
    attempt: &AttemptRequest,
    head: &Head,
    value: LongValue,
    bytes: &[u8],
) -> ParsedResponse {
    match (head.status, &attempt.request.value) {
        (STATUS_OK, None) => value.into_response(bytes),
        (STATUS_OK, Some(_)) => ParsedResponse::Malformed,
        // The body of a failure is not read.
        _ => ParsedResponse::Complete { result: Outcome::Error.into(), reuse: ConnectionReuse::Never },
    }
}

/// The result of a complete response; none if it is malformed.
///
/// Decides: the outcome of an attempt at the origin.
/// Inputs: the HTTP status, the body, and whether the request was a write.
/// Reason: only a marked rejection guarantees that the request never ran.
/// Source: RFC 9110, section 15.
fn http_result(attempt: &AttemptRequest, head: &Head, body: Vec<u8>) -> Option<AttemptResult> {
    let result = match head.status {
        STATUS_OK if attempt.request.value.is_none() => served(attempt, Payload::Value(body)),
        STATUS_OK => served(attempt, Payload::Receipt(String::from_utf8(body).ok()?)),
        STATUS_SERVICE_UNAVAILABLE | STATUS_GATEWAY_TIMEOUT if head.is_rejected => Outcome::Full.into(),
        _ => Outcome::Error.into(),
    };
    Some(result)
}

/// Whether the connection may be reused after a response with this head.
fn http_reuse(head: &Head, persistence: Persistence) -> ConnectionReuse {
    let identification =
        if head.id.is_some() { Identification::WithRequestId } else { Identification::WithoutRequestId };
    let persistence = if head.closes { Persistence::Close } else { persistence };
    ConnectionReuse::after(identification, persistence)
}

/// The result of a served request. A payload of the wrong kind is an error: a read needs a value, a
/// write a receipt of one word.
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
