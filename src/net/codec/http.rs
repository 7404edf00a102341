//! HTTP/1.1 as the origin and discovery speak it: requests out, responses in. Read [`parse_head`]
//! first; [`Body`] says how what follows it ends.

use super::{ParseResult, Parsed, Unparsed};
use std::fmt::Write;
use thiserror::Error;

/// The longest head of a response, in bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// Headers that a head may have.
const MAX_HEADERS: usize = 64;
/// The name of the header with a load report.
const LOAD_REPORT: &[u8] = b"x-pressure:";
/// The longest line with the size of a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 128;
/// Interim responses (1xx) that may come before the final one.
const MAX_INTERIM: usize = 8;

/// What is wrong with a response. The log of discovery has the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// What comes is no head, or one that is too long.
    #[error("no head of a response")]
    NoHead,
    /// A length is no number, or two lengths differ.
    #[error("a bad length")]
    BadLength,
    /// The transfer encoding is another than `chunked`.
    #[error("an unknown transfer encoding")]
    UnknownTransferEncoding,
    /// The body would end in two ways.
    #[error("both a length and chunks")]
    LengthAndChunks,
    /// The final response does not come.
    #[error("too many interim responses")]
    TooManyInterim,
    /// A chunk is longer than its size.
    #[error("a chunk without its end")]
    ChunkWithoutEnd,
    /// A chunk has no size, or is too large.
    #[error("a bad chunk")]
    BadChunk,
    /// What follows the last chunk are no trailers.
    #[error("bad trailers")]
    BadTrailers,
}

/// How a response's body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// After this many bytes.
    Length(usize),
    /// With the last chunk.
    Chunked,
    /// With the connection: nothing tells whether it is whole.
    UntilClose,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Its status.
    pub status: u16,
    /// How its body ends.
    pub body: Body,
    /// Whether it says that the request never ran.
    pub turned_away: bool,
    /// The id of the request that it answers, where it tells that.
    pub id: Option<String>,
    /// Whether the connection ends with it.
    pub closes: bool,
}

/// Parses the head of a response. A load report in it may be as malformed as it likes; any other
/// line that is no header makes the whole response suspect.
///
/// # Errors
///
/// If there is no whole head yet, or what comes is none.
pub fn parse_head(bytes: &[u8]) -> ParseResult<Head, HttpError> {
    let strict = parse_strict_head(bytes);
    if !matches!(strict, Err(Unparsed::Malformed { .. })) {
        return strict;
    }
    let Some(stripped) = strip_load_reports(bytes) else { return strict };
    match parse_strict_head(&stripped.head) {
        Ok(Parsed { message, length }) => Ok(Parsed { message, length: length + stripped.removed }),
        Err(_) => strict,
    }
}

/// A whole head without its load reports.
struct StrippedHead {
    head: Vec<u8>,
    /// How many bytes the reports took.
    removed: usize,
}

/// Takes the load reports out of a whole head; none if there are none.
fn strip_load_reports(bytes: &[u8]) -> Option<StrippedHead> {
    let end = bytes.windows(4).take(MAX_HEAD).position(|window| window == b"\r\n\r\n")? + 4;
    let is_report = |line: &[u8]| {
        line.get(..LOAD_REPORT.len()).is_some_and(|name| name.eq_ignore_ascii_case(LOAD_REPORT))
    };
    let lines = bytes[..end].split_inclusive(|byte| *byte == b'\n');
    let head: Vec<u8> = lines.filter(|line| !is_report(line)).flatten().copied().collect();
    let removed = end - head.len();
    if removed == 0 {
        return None;
    }
    Some(StrippedHead { head, removed })
}

/// Headers that say how a body ends.
#[derive(Default)]
struct Framing {
    length: Option<usize>,
    is_chunked: bool,
}

impl Framing {
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

    /// How the body of a response with this status ends.
    fn body(&self, status: u16) -> Result<Body, HttpError> {
        let has_no_body = status < 200 || status == 204 || status == 304;
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
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD => return Err(Unparsed::Incomplete),
        _ => return Err(Unparsed::fatal(HttpError::NoHead)),
    };
    let message = interpret_head(&response).map_err(Unparsed::fatal)?;
    Ok(Parsed { message, length })
}

/// What the status and the headers of a response say.
fn interpret_head(response: &httparse::Response<'_, '_>) -> Result<Head, HttpError> {
    let status = response.code.unwrap_or(0);
    let is_http_1_0 = response.version == Some(0);
    let mut framing = Framing::default();
    let mut head = Head { status, body: Body::UntilClose, turned_away: false, id: None, closes: is_http_1_0 };
    for header in response.headers.iter() {
        // What is no text is no value that is looked for here.
        let value = std::str::from_utf8(header.value).map_or("?", str::trim);
        let is_named = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is_named("content-length") {
            framing.set_length(value)?;
        } else if is_named("transfer-encoding") {
            framing.set_transfer_encoding(value)?;
        } else if is_named("connection") {
            head.closes |= value.eq_ignore_ascii_case("close");
        } else if is_named("x-turned-away") {
            head.turned_away = value == "1";
        } else if is_named("x-txn") {
            head.id = Some(value.to_owned());
        }
    }
    head.body = framing.body(status)?;
    Ok(head)
}

/// Parses the head of the final response: interim ones (1xx), which only say that it is to come,
/// are passed over.
///
/// # Errors
///
/// If there is no whole final head yet, or what comes is none.
pub fn parse_final_head(bytes: &[u8]) -> ParseResult<Head, HttpError> {
    let mut from = 0;
    for _ in 0..MAX_INTERIM {
        let Parsed { message: head, length } = parse_head(&bytes[from..])?;
        from += length;
        let is_interim = (100..200).contains(&head.status) && head.status != 101;
        if !is_interim {
            return Ok(Parsed { message: head, length: from });
        }
    }
    Err(Unparsed::fatal(HttpError::TooManyInterim))
}

/// Parses one chunk of a chunked body, of at most `max` bytes. An empty one is the last, and ends
/// with the trailers that follow it.
///
/// # Errors
///
/// If there is no whole chunk yet, or what comes is none.
pub fn parse_chunk(bytes: &[u8], max: usize) -> ParseResult<&[u8], HttpError> {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Partial) if bytes.len() < MAX_CHUNK_LINE => Err(Unparsed::Incomplete),
        Ok(httparse::Status::Complete((from, 0))) => parse_trailers(bytes, from),
        Ok(httparse::Status::Complete((from, size))) if size <= max as u64 => {
            let chunk_end = from + size as usize;
            let end = chunk_end + 2;
            match bytes.get(chunk_end..end) {
                None => Err(Unparsed::Incomplete),
                Some(b"\r\n") => Ok(Parsed { message: &bytes[from..chunk_end], length: end }),
                Some(_) => Err(Unparsed::fatal(HttpError::ChunkWithoutEnd)),
            }
        }
        _ => Err(Unparsed::fatal(HttpError::BadChunk)),
    }
}

/// Passes over the trailers of a chunked body (RFC 9112, section 7.1.2), up to the empty line after
/// them.
fn parse_trailers(bytes: &[u8], from: usize) -> ParseResult<&[u8], HttpError> {
    let rest = &bytes[from..];
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(rest, &mut headers) {
        Ok(httparse::Status::Complete((used, _))) if used <= MAX_HEAD => {
            Ok(Parsed { message: &[], length: from + used })
        }
        Ok(httparse::Status::Partial) if rest.len() < MAX_HEAD => Err(Unparsed::Incomplete),
        _ => Err(Unparsed::fatal(HttpError::BadTrailers)),
    }
}

/// Parses a whole chunked body, of at most `max` bytes.
///
/// # Errors
///
/// If there is no whole body yet, or what comes is none.
pub fn parse_chunked_body(bytes: &[u8], max: usize) -> ParseResult<Vec<u8>, HttpError> {
    let mut body = Vec::new();
    let mut used = 0;
    loop {
        let Parsed { message: chunk, length } = parse_chunk(&bytes[used..], max - body.len())?;
        used += length;
        if chunk.is_empty() {
            return Ok(Parsed { message: body, length: used });
        }
        body.extend_from_slice(chunk);
    }
}

/// A request as a server reads it; `value` is the body of a `PUT`.
pub fn encode_request(path: &str, host: &str, headers: &[(&str, &str)], value: Option<&[u8]>) -> Vec<u8> {
    let method = if value.is_some() { "PUT" } else { "GET" };
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, content) in headers {
        let _ = write!(head, "{name}: {content}\r\n");
    }
    if let Some(value) = value {
        let _ = write!(head, "Content-Length: {}\r\n", value.len());
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(value.unwrap_or_default());
    bytes
}

/// A key as the path of a URL; what is special there is escaped.
pub fn encode_path(key: &str) -> String {
    let mut path = String::from("/");
    for byte in key.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b':' | b'@' => {
                path.push(char::from(byte));
            }
            _ => {
                let _ = write!(path, "%{byte:02X}");
            }
        }
    }
    path
}

#[cfg(test)]
mod tests;
