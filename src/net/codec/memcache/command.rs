//! Commands of clients: [`parse_command`].

use super::super::{ParseResult, Parsed, Unparsed, MAX_VALUE};
use super::{parse_block, parse_length, parse_line, MemcacheError};

/// The longest key in bytes.
const MAX_KEY: usize = 250;
/// The longest opaque id in bytes.
const MAX_OPAQUE: usize = 32;

/// What a client asks.
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

/// Which flags a request may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    /// `mg`: it must ask for the value (`v`).
    Read,
    /// `ms`.
    Write,
}

/// Parses one command of a client.
///
/// # Errors
///
/// If there is no whole command yet, or what comes is none.
pub fn parse_command(bytes: &[u8]) -> ParseResult<Command, MemcacheError> {
    let Parsed { message: line, length } = parse_line(bytes)?;
    let mut words = line.split(' ');
    match words.next() {
        Some("mg") => match parse_request(words, RequestKind::Read) {
            Some(request) => Ok(Parsed { message: Command::Request(request), length }),
            None => Err(Unparsed::skippable(MemcacheError::BadFormat, length)),
        },
        Some("ms") => parse_write(bytes, words, length),
        Some("mn") => plain_command(Command::Noop, line, length),
        Some("stats") => plain_command(Command::Stats, line, length),
        Some("version") => plain_command(Command::Version, line, length),
        Some("quit") => plain_command(Command::Quit, line, length),
        _ => Err(Unparsed::skippable(MemcacheError::UnknownCommand, length)),
    }
}

/// A command that takes no arguments.
fn plain_command(command: Command, line: &str, length: usize) -> ParseResult<Command, MemcacheError> {
    if line.contains(' ') {
        Err(Unparsed::skippable(MemcacheError::BadFormat, length))
    } else {
        Ok(Parsed { message: command, length })
    }
}

/// The rest of `ms`: key, length and flags on the line, then the value.
fn parse_write<'a>(
    bytes: &[u8],
    mut words: impl Iterator<Item = &'a str>,
    line_length: usize,
) -> ParseResult<Command, MemcacheError> {
    let key = words.next().unwrap_or_default();
    // Without a length nothing tells where the next command begins.
    let Some(value_length) = words.next().and_then(parse_length) else {
        return Err(Unparsed::fatal(MemcacheError::BadDataLength));
    };
    if value_length > MAX_VALUE {
        return Err(Unparsed::fatal(MemcacheError::ValueTooLarge));
    }
    let Parsed { message: value, length } = parse_block(bytes, line_length, value_length)?;
    match parse_request(std::iter::once(key).chain(words), RequestKind::Write) {
        Some(request) => {
            let request = RequestCommand { value: Some(value), ..request };
            Ok(Parsed { message: Command::Request(request), length })
        }
        None => Err(Unparsed::skippable(MemcacheError::BadFormat, length)),
    }
}

/// The key and flags of `mg` or `ms`; no value yet. Only flags that backends know may pass: `v` (of
/// reads), `O` and `P`, each once.
fn parse_request<'a>(mut words: impl Iterator<Item = &'a str>, kind: RequestKind) -> Option<RequestCommand> {
    let key = words.next().filter(|key| is_key(key))?;
    let mut wants_value = false;
    let mut opaque = None;
    let mut labels = None;
    for word in words {
        let (flag, argument) = (word.get(..1)?, word.get(1..)?);
        match (flag, argument) {
            ("v", "") if kind == RequestKind::Read && !wants_value => wants_value = true,
            ("O", id) if opaque.is_none() && is_opaque(id) => opaque = Some(id),
            ("P", list) if labels.is_none() => labels = Some(parse_labels(list)?),
            _ => return None,
        }
    }
    if kind == RequestKind::Read && !wants_value {
        return None;
    }
    Some(RequestCommand { key: key.to_owned(), opaque: opaque?.to_owned(), labels: labels?, value: None })
}

fn is_key(word: &str) -> bool {
    !word.is_empty() && word.len() <= MAX_KEY && word.is_ascii()
}

fn is_opaque(word: &str) -> bool {
    !word.is_empty() && word.len() <= MAX_OPAQUE && word.is_ascii()
}

/// Labels as `name=value`, separated by commas.
fn parse_labels(list: &str) -> Option<Vec<(String, String)>> {
    list.split(',').map(parse_label).collect()
}

fn parse_label(text: &str) -> Option<(String, String)> {
    let (name, value) = text.split_once('=')?;
    if name.is_empty() {
        return None;
    }
    Some((name.to_owned(), value.to_owned()))
}
