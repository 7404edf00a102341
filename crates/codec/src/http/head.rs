//! Parses the head of a response with [`parse_head`], or with [`parse_final_head`], which skips
//! interim responses.

use super::{HttpError, ParseError, ParseResult, Parsed, MAX_HEADERS, MAX_HEAD_BYTES};
use std::ops::Range;

/// The number of interim responses (1xx) at which a response is rejected as malformed.
pub(super) const MAX_INTERIM_RESPONSES: usize = 8;
/// The line end of the last header, with the empty line after it.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The header name of a load report, in lower case and with its colon.
const LOAD_REPORT_HEADER: &[u8] = b"x-pressure:";
/// The placeholder for a header value that is not UTF-8.
const NON_UTF8_PLACEHOLDER: &str = "?";

const INTERIM_STATUSES: Range<u16> = 100..FIRST_FINAL_STATUS;
const SWITCHING_PROTOCOLS: u16 = 101;
const FIRST_FINAL_STATUS: u16 = 200;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// The framing of the body of a response, which determines its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// The body ends after this many bytes.
    Length(usize),
    /// The body ends with the last chunk.
    Chunked,
    /// The body ends when the connection is closed, so that a truncated body cannot be told from a
    /// complete one.
    UntilClose,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The status of the response.
    pub status: u16,
    /// The framing of the body of the response.
    pub body: Body,
    /// Whether the server rejected the request before it ran (`X-Turned-Away: 1`).
    pub is_rejected: bool,
    /// The id of the request to which the response belongs (`X-Txn`), if the head has one.
    pub id: Option<String>,
    /// Whether the connection closes after this response.
    pub closes: bool,
    /// The offset of this head: the length of the interim responses before it, in bytes.
    pub starts_at: usize,
}

/// Parses the head of a response. A malformed load report is ignored, but any other line that is
/// not a header makes the whole response malformed.
///
/// # Errors
///
/// If the head is incomplete or malformed.
pub fn parse_head(bytes: &[u8]) -> ParseResult<Head, HttpError> {
    let strict = parse_strict_head(bytes);
    if !matches!(strict, Err(ParseError::Malformed { .. })) {
        return strict;
    }
    let Some(stripped) = strip_load_reports(bytes) else { return strict };
    match parse_strict_head(&stripped.head) {
        Ok(Parsed { message, length }) => Ok(Parsed { message, length: length + stripped.removed }),
        Err(_) => strict,
    }
}

/// A head from which the load reports were removed.
struct StrippedHead {
    head: Vec<u8>,
    /// The length of the removed load reports, in bytes.
    removed: usize,
}

/// Removes the load reports from a complete head. Returns `None` if there are none.
fn strip_load_reports(bytes: &[u8]) -> Option<StrippedHead> {
    let mut windows = bytes.windows(HEAD_END.len()).take(MAX_HEAD_BYTES);
    let end = windows.position(|window| window == HEAD_END)? + HEAD_END.len();
    let is_report = |line: &[u8]| {
        line.get(..LOAD_REPORT_HEADER.len()).is_some_and(|name| name.eq_ignore_ascii_case(LOAD_REPORT_HEADER))
    };
    let lines = bytes[..end].split_inclusive(|byte| *byte == b'\n');
    let head: Vec<u8> = lines.filter(|line| !is_report(line)).flatten().copied().collect();
    let removed = end - head.len();
    if removed == 0 {
        return None;
    }
    Some(StrippedHead { head, removed })
}

/// The headers that determine the end of a body.
#[derive(Default)]
struct FramingHeaders {
    length: Option<usize>,
    is_chunked: bool,
}

impl FramingHeaders {
    fn set_length(&mut self, value: &str) -> Result<(), HttpError> {
        let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
        if !is_number {
            return Err(HttpError::BadLength);
        }
        let length: usize = value.parse().map_err(|_| HttpError::BadLength)?;
        if self.length.is_some_and(|earlier| earlier != length) {
            return Err(HttpError::BadLength);
        }
        self.length = Some(length);
        Ok(())
    }

    fn set_transfer_encoding(&mut self, value: &str) -> Result<(), HttpError> {
        if !value.eq_ignore_ascii_case("chunked") || self.is_chunked {
            return Err(HttpError::UnknownTransferEncoding);
        }
        self.is_chunked = true;
        Ok(())
    }

    /// Returns the framing of the body of a response with this status: decides where the body ends,
    /// or that the response is rejected as malformed.
    ///
    /// Inputs: the status, the content length in bytes, and whether the body is chunked.
    /// Reason: a response with two different ends could be read past its end, into the next one.
    /// Source: RFC 9112, section 6.3.
    fn body(&self, status: u16) -> Result<Body, HttpError> {
        let has_no_body = status < FIRST_FINAL_STATUS || status == NO_CONTENT || status == NOT_MODIFIED;
        match (self.is_chunked, self.length) {
            (true, Some(_)) => Err(HttpError::LengthAndChunks),
            (true, None) => Ok(Body::Chunked),
            (false, Some(length)) => Ok(Body::Length(length)),
            (false, None) if has_no_body => Ok(Body::Length(0)),
            (false, None) => Ok(Body::UntilClose),
        }
    }
}

fn parse_strict_head(bytes: &[u8]) -> ParseResult<Head, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Err(ParseError::Incomplete),
        _ => return Err(ParseError::fatal(HttpError::InvalidHead)),
    };
    let message = interpret_head(&response).map_err(ParseError::fatal)?;
    Ok(Parsed { message, length })
}

/// Interprets the status and the headers of a response.
fn interpret_head(response: &httparse::Response<'_, '_>) -> Result<Head, HttpError> {
    let status = response.code.unwrap_or(0);
    let is_http_1_0 = response.version == Some(0);
    let mut framing = FramingHeaders::default();
    let mut head = Head {
        status,
        body: Body::UntilClose,
        is_rejected: false,
        id: None,
        closes: is_http_1_0,
        starts_at: 0,
    };
    for header in response.headers.iter() {
        // The placeholder is safe because every valid value of the headers below is UTF-8.
        let value = std::str::from_utf8(header.value).map_or(NON_UTF8_PLACEHOLDER, str::trim);
        let is_named = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is_named("content-length") {
            framing.set_length(value)?;
        } else if is_named("transfer-encoding") {
            framing.set_transfer_encoding(value)?;
        } else if is_named("connection") {
            head.closes |= value.eq_ignore_ascii_case("close");
        } else if is_named("x-turned-away") {
            head.is_rejected = value == "1";
        } else if is_named("x-txn") {
            head.id = Some(value.to_owned());
        }
    }
    head.body = framing.body(status)?;
    Ok(head)
}

/// Parses the head of the final response, and skips the interim responses (1xx) before it.
///
/// # Errors
///
/// If the final head is incomplete or malformed, or too many interim responses precede it.
pub fn parse_final_head(bytes: &[u8]) -> ParseResult<Head, HttpError> {
    let mut start = 0;
    for _ in 0..MAX_INTERIM_RESPONSES {
        let Parsed { message: head, length } = parse_head(&bytes[start..])?;
        let is_interim = INTERIM_STATUSES.contains(&head.status) && head.status != SWITCHING_PROTOCOLS;
        if !is_interim {
            let message = Head { starts_at: start, ..head };
            return Ok(Parsed { message, length: start + length });
        }
        start += length;
    }
    Err(ParseError::fatal(HttpError::TooManyInterimResponses))
}
