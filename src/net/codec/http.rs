//! HTTP/1.1 as the origin and discovery speak it: requests out, responses in. Strict and bounded.

use super::{Parsed, Parsed::*};
use std::fmt::Write;

/// The longest head of a response.
pub const MAX_HEAD: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;
const REPORT: &[u8] = b"x-pressure:";
const MAX_CHUNK_LINE: usize = 128;
const MAX_INTERIM: usize = 8;

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

/// Reads the head of a response. A load report there may be as bad as it likes; any other line that is no
/// header makes the whole answer suspect.
pub fn head(bytes: &[u8]) -> Parsed<Head> {
    match strict_head(bytes) {
        Malformed(why, skip) => match without_report(bytes) {
            Some((rest, left_out)) => match strict_head(&rest) {
                Whole(head, used) => Whole(head, used + left_out),
                _ => Malformed(why, skip),
            },
            None => Malformed(why, skip),
        },
        read => read,
    }
}

/// A whole head without its load reports, and how many bytes these took; none if there is none.
fn without_report(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let end = bytes.windows(4).take(MAX_HEAD).position(|window| window == b"\r\n\r\n")? + 4;
    let is_report =
        |line: &&[u8]| line.get(..REPORT.len()).is_some_and(|name| name.eq_ignore_ascii_case(REPORT));
    let lines = bytes[..end].split_inclusive(|byte| *byte == b'\n');
    let rest: Vec<u8> = lines.filter(|line| !is_report(line)).flatten().copied().collect();
    let left_out = end - rest.len();
    (left_out > 0).then_some((rest, left_out))
}

fn strict_head(bytes: &[u8]) -> Parsed<Head> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let used = match response.parse(bytes) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD => return Incomplete,
        _ => return Malformed("no head of a response", None),
    };
    let status = response.code.unwrap_or(0);
    let closes = response.version == Some(0);
    let mut head = Head { status, body: Body::UntilClose, turned_away: false, id: None, closes };
    let mut length = None;
    for header in response.headers.iter() {
        // What is no text is no value that is looked for below.
        let value = std::str::from_utf8(header.value).map_or("?", str::trim);
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let this = digits.then(|| value.parse::<usize>().ok()).flatten();
            if this.is_none() || length.is_some_and(|other| Some(other) != this) {
                return Malformed("a bad length", None);
            }
            length = this;
        } else if is("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") || head.body == Body::Chunked {
                return Malformed("an unknown transfer encoding", None);
            }
            head.body = Body::Chunked;
        } else if is("connection") {
            head.closes |= value.eq_ignore_ascii_case("close");
        } else if is("x-turned-away") {
            head.turned_away = value == "1";
        } else if is("x-txn") {
            head.id = Some(value.to_owned());
        }
    }
    head.body = match (head.body, length) {
        (Body::Chunked, Some(_)) => return Malformed("both a length and chunks", None),
        (Body::Chunked, None) => Body::Chunked,
        (_, Some(length)) => Body::Length(length),
        (_, None) if status < 200 || status == 204 || status == 304 => Body::Length(0),
        (_, None) => Body::UntilClose,
    };
    Whole(head, used)
}

/// Reads the head of the final response: what only says that it is to come (1xx) is passed over.
pub fn final_head(bytes: &[u8]) -> Parsed<Head> {
    let mut from = 0;
    for _ in 0..MAX_INTERIM {
        match head(&bytes[from..]) {
            Whole(head, used) if (100..200).contains(&head.status) && head.status != 101 => from += used,
            Whole(head, used) => return Whole(head, from + used),
            other => return other,
        }
    }
    Malformed("too many interim responses", None)
}

/// Reads one chunk of a chunked body; an empty one is the last, and ends with the trailers that follow it.
pub fn chunk(bytes: &[u8], max: usize) -> Parsed<&[u8]> {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Partial) if bytes.len() < MAX_CHUNK_LINE => Incomplete,
        Ok(httparse::Status::Complete((from, 0))) => trailers(bytes, from),
        Ok(httparse::Status::Complete((from, size))) if size <= max as u64 => {
            let end = from + size as usize;
            match bytes.get(end..end + 2) {
                None => Incomplete,
                Some(b"\r\n") => Whole(&bytes[from..end], end + 2),
                Some(_) => Malformed("a chunk without its end", None),
            }
        }
        _ => Malformed("a bad chunk", None),
    }
}

/// Passes over the trailers of a chunked body (RFC 9112, section 7.1.2), up to the empty line after them.
fn trailers(bytes: &[u8], from: usize) -> Parsed<&[u8]> {
    let rest = &bytes[from..];
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(rest, &mut headers) {
        Ok(httparse::Status::Complete((used, _))) if used <= MAX_HEAD => Whole(&[], from + used),
        Ok(httparse::Status::Partial) if rest.len() < MAX_HEAD => Incomplete,
        _ => Malformed("bad trailers", None),
    }
}

/// The words of a request; `value` is the body of a `PUT`.
pub fn request(path: &str, host: &str, headers: &[(&str, &str)], value: Option<&[u8]>) -> Vec<u8> {
    let method = if value.is_some() { "PUT" } else { "GET" };
    let mut out = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, content) in headers {
        let _ = write!(out, "{name}: {content}\r\n");
    }
    if let Some(value) = value {
        let _ = write!(out, "Content-Length: {}\r\n", value.len());
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(value.unwrap_or_default());
    out
}

/// A key as the path of a URL; what is special there is escaped.
pub fn path_of(key: &str) -> String {
    let mut out = String::from("/");
    for byte in key.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b':' | b'@' => {
                out.push(char::from(byte));
            }
            _ => drop(write!(out, "%{byte:02X}")),
        }
    }
    out
}

/// Reads a whole chunked body.
pub fn chunks(bytes: &[u8], max: usize) -> Parsed<Vec<u8>> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        match chunk(&bytes[at..], max - body.len()) {
            Whole([], used) => return Whole(body, at + used),
            Whole(part, used) => {
                body.extend_from_slice(part);
                at += used;
            }
            Incomplete => return Incomplete,
            Malformed(why, skip) => return Malformed(why, skip),
        }
    }
}
