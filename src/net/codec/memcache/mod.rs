//! The meta commands of the memcache text protocol, as consumers and cache nodes speak them: bytes in,
//! commands and replies out. Strict and bounded; it never waits and never panics on input.

use super::{Parsed, Parsed::*, MAX_ANSWER, MAX_VALUE};
use crate::net::dispatcher::{Payload, Response};

/// The longest line, its end included.
pub const MAX_LINE: usize = 2048;
/// What ends a line, and a value.
pub const END: &[u8] = b"\r\n";
const MAX_KEY: usize = 250;
const MAX_OPAQUE: usize = 32;

/// What a consumer asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `mg` or `ms`.
    Request(RequestCommand),
    /// `mn`.
    Noop,
    /// `stats`.
    Stats,
    /// `version`.
    Version,
    /// `quit`.
    Quit,
}

/// A read (`mg`) or a write (`ms`) as a client sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestCommand {
    /// The key.
    pub key: String,
    /// The opaque id, which the response repeats.
    pub opaque: String,
    /// Names and values of the flag `P`, in their order.
    pub labels: Vec<(String, String)>,
    /// The value of a write.
    pub value: Option<Vec<u8>>,
}

/// A line without its end, and its length with it.
fn line(bytes: &[u8]) -> Parsed<&str> {
    let window = &bytes[..bytes.len().min(MAX_LINE)];
    let Some(end) = window.iter().position(|byte| *byte == b'\n') else {
        return if window.len() < MAX_LINE {
            Incomplete
        } else {
            Malformed("CLIENT_ERROR line too long", None)
        };
    };
    let text = window[..end].strip_suffix(b"\r").and_then(|text| std::str::from_utf8(text).ok());
    // Names of classes and tenants may be in any language.
    match text.filter(|text| text.bytes().all(|byte| byte >= b' ' && byte != 0x7f)) {
        Some(text) => Whole(text, end + 1),
        None => Malformed("CLIENT_ERROR bad line", Some(end + 1)),
    }
}

/// A block of `length` bytes and its line end at `from`.
fn block(bytes: &[u8], from: usize, length: usize) -> Parsed<Vec<u8>> {
    let end = from + length;
    match bytes.get(end..end + 2) {
        None => Incomplete,
        Some(b"\r\n") => Whole(bytes[from..end].to_vec(), end + 2),
        Some(_) => Malformed("CLIENT_ERROR bad data chunk", None),
    }
}

/// Reads one command of a consumer.
pub fn command(bytes: &[u8]) -> Parsed<Command> {
    let (text, used) = match line(bytes) {
        Whole(text, used) => (text, used),
        Incomplete => return Incomplete,
        Malformed(why, skip) => return Malformed(why, skip),
    };
    let mut words = text.split(' ');
    let simple = |command| {
        if text.contains(' ') {
            Malformed("CLIENT_ERROR bad command line format", Some(used))
        } else {
            Whole(command, used)
        }
    };
    match words.next() {
        Some("mg") => match invoke(words, false) {
            Some((key, opaque, labels)) => {
                let value = None;
                Whole(Command::Request(RequestCommand { key, opaque, labels, value }), used)
            }
            None => Malformed("CLIENT_ERROR bad command line format", Some(used)),
        },
        Some("ms") => {
            let mut words = words.peekable();
            let key = words.next().unwrap_or_default();
            // Without a length nothing tells where the next command begins.
            let Some(length) = words.next().and_then(number) else {
                return Malformed("CLIENT_ERROR bad data length", None);
            };
            if length > MAX_VALUE {
                return Malformed("CLIENT_ERROR value too large", None);
            }
            match (invoke(std::iter::once(key).chain(words), true), block(bytes, used, length)) {
                (_, Incomplete) => Incomplete,
                (_, Malformed(why, skip)) => Malformed(why, skip),
                (None, Whole(_, used)) => Malformed("CLIENT_ERROR bad command line format", Some(used)),
                (Some((key, opaque, labels)), Whole(value, used)) => {
                    let value = Some(value);
                    Whole(Command::Request(RequestCommand { key, opaque, labels, value }), used)
                }
            }
        }
        Some("mn") => simple(Command::Noop),
        Some("stats") => simple(Command::Stats),
        Some("version") => simple(Command::Version),
        Some("quit") => simple(Command::Quit),
        _ => Malformed("ERROR", Some(used)),
    }
}

fn number(word: &str) -> Option<usize> {
    (word.len() <= 9 && word.bytes().all(|byte| byte.is_ascii_digit())).then(|| word.parse().ok())?
}

type Invoke = (String, String, Vec<(String, String)>);

/// The key and flags of `mg` or `ms`. Only what providers know may pass: `v` (reads), `O` and `P`.
fn invoke<'a>(mut words: impl Iterator<Item = &'a str>, write: bool) -> Option<Invoke> {
    let key = words.next().filter(|key| !key.is_empty() && key.len() <= MAX_KEY && key.is_ascii())?;
    let (mut value, mut opaque, mut labels) = (false, None, None);
    for word in words {
        match (word.get(..1)?, word.get(1..)?) {
            ("v", "") if !write && !value => value = true,
            ("O", id) if opaque.is_none() && (1..=MAX_OPAQUE).contains(&id.len()) && id.is_ascii() => {
                opaque = Some(id);
            }
            ("P", list) if labels.is_none() => labels = Some(label_list(list)?),
            _ => return None,
        }
    }
    (write || value).then_some(())?;
    Some((key.to_owned(), opaque?.to_owned(), labels?))
}

fn label_list(list: &str) -> Option<Vec<(String, String)>> {
    let pair = |item: &str| {
        let (name, value) = item.split_once('=')?;
        (!name.is_empty()).then(|| (name.to_owned(), value.to_owned()))
    };
    list.split(',').map(pair).collect()
}

/// The words of an answer to a consumer, up to the value if that flows.
pub fn answer(opaque: &str, answer: &Response) -> Vec<u8> {
    match answer {
        Response::Complete(Payload::Value(value)) => {
            let mut out = value_head(opaque, value.len());
            out.extend_from_slice(value);
            out.extend_from_slice(END);
            out
        }
        Response::Stream { length, .. } => value_head(opaque, *length),
        Response::Complete(Payload::Receipt(receipt)) => format!("HD O{opaque} c{receipt}\r\n").into_bytes(),
        Response::Rejected { retry_after: Some(retry_after) } => {
            format!("SERVER_ERROR busy {}\r\n", retry_after.as_millis()).into_bytes()
        }
        Response::Rejected { retry_after: None } => b"SERVER_ERROR busy\r\n".to_vec(),
        Response::Failed => b"SERVER_ERROR failed\r\n".to_vec(),
    }
}

fn value_head(opaque: &str, length: usize) -> Vec<u8> {
    format!("VA {length} O{opaque}\r\n").into_bytes()
}

/// The words of an invoker call to a cache node; `labels` are joined already.
pub fn call(key: &str, opaque: &str, labels: &str, value: Option<&[u8]>) -> Vec<u8> {
    match value {
        None => format!("mg {key} v O{opaque} P{labels}\r\n").into_bytes(),
        Some(value) => {
            let mut out = format!("ms {key} {} O{opaque} P{labels}\r\n", value.len()).into_bytes();
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
            out
        }
    }
}

/// The words that a cache node's answer may begin with.
const REPLIES: [&str; 6] = ["VA ", "HD ", "EN ", "SERVER_ERROR ", "CLIENT_ERROR ", "ERROR\r\n"];

/// What a cache node answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The value or the receipt.
    Served(Payload),
    /// A value of this length, too long to be read whole, begins here.
    Long(usize),
    /// It does not hold the key.
    Miss,
    /// Turned away; never ran.
    Busy,
    /// It failed; the call may have run.
    Failed,
}

/// Reads a cache node's answer to the call with this opaque id. An answer that is not for this call
/// counts as malformed: it must never reach a consumer.
pub fn reply(bytes: &[u8], opaque: &str) -> Parsed<Reply> {
    const WRONG: Parsed<Reply> = Malformed("no answer to this call", None);
    // Noise is known as such by its first bytes: its line may never end.
    let could_be = |word: &[u8]| bytes.starts_with(word) || word.starts_with(bytes);
    if !REPLIES.iter().any(|word| could_be(word.as_bytes())) {
        return WRONG;
    }
    let (text, used) = match line(bytes) {
        Whole(text, used) if text.is_ascii() => (text, used),
        Whole(..) => return WRONG,
        Incomplete => return Incomplete,
        Malformed(why, _) => return Malformed(why, None),
    };
    let mut words = text.split(' ');
    let ours = |words: &mut std::str::Split<char>| {
        words.clone().filter_map(|word| word.strip_prefix('O')).eq(std::iter::once(opaque))
    };
    match words.next() {
        Some("VA") => match words.next().and_then(number).filter(|length| *length <= MAX_ANSWER) {
            Some(length) if ours(&mut words) && length > MAX_VALUE => Whole(Reply::Long(length), used),
            Some(length) if ours(&mut words) => match block(bytes, used, length) {
                Whole(value, used) => Whole(Reply::Served(Payload::Value(value)), used),
                Incomplete => Incomplete,
                Malformed(why, skip) => Malformed(why, skip),
            },
            _ => WRONG,
        },
        Some("HD") if ours(&mut words) => {
            let mut receipts = words.filter_map(|word| word.strip_prefix('c'));
            match (receipts.next(), receipts.next()) {
                (Some(receipt), None) => Whole(Reply::Served(Payload::Receipt(receipt.to_owned())), used),
                _ => WRONG,
            }
        }
        Some("EN") if ours(&mut words) => Whole(Reply::Miss, used),
        // Only these words as they stand say that the call never ran.
        _ if text == "SERVER_ERROR busy" => Whole(Reply::Busy, used),
        _ if text == "SERVER_ERROR failed" => Whole(Reply::Failed, used),
        // What else it may be, the connection is of no further use.
        _ => WRONG,
    }
}
