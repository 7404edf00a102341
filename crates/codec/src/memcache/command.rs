//! Parses the commands of clients; read [`parse_command`] first.

use super::super::{ParseError, ParseResult, Parsed, MAX_VALUE_BYTES};
use super::{parse_block, parse_length, parse_line, Labels, MemcacheError};

/// The maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 250;
/// The maximum length of an opaque id, in bytes.
const MAX_OPAQUE_BYTES: usize = 32;
/// The length of a flag's name, in bytes. The flag's argument follows the name.
const FLAG_BYTES: usize = 1;

/// A command of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// The command `mg` or `ms`.
    Request(RequestCommand),
    /// The command `mn`.
    Noop,
    /// The command `stats`.
    Stats,
    /// The command `version`.
    Version,
    /// The command `quit`.
    Quit,
}

/// A read (`mg`) or a write (`ms`) as a client sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestCommand {
    /// The key that is read or written.
    pub key: String,
    /// The opaque id, which the response repeats.
    pub opaque: String,
    /// The names and values in the flag `P`.
    pub labels: Labels,
    /// The value of a write, or `None` for a read.
    pub value: Option<Vec<u8>>,
}

/// The kind of a request, which decides the flags that it may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    /// A read (`mg`), which must request the value with the flag `v`.
    Read,
    /// A write (`ms`).
    Write,
}

/// Parses one command of a client.
///
/// # Errors
///
/// If the command is incomplete or malformed.
pub fn parse_command(bytes: &[u8]) -> ParseResult<Command, MemcacheError> {
    let Parsed { message: line, length } = parse_line(bytes)?;
    let mut tokens = line.split(' ');
    match tokens.next() {
        Some("mg") => match parse_request(tokens, RequestKind::Read) {
            Some(request) => Ok(Parsed { message: Command::Request(request), length }),
            None => Err(ParseError::skippable(MemcacheError::BadFormat, length)),
        },
        Some("ms") => parse_write(bytes, tokens, length),
        Some("mn") => parse_bare_command(Command::Noop, line, length),
        Some("stats") => parse_bare_command(Command::Stats, line, length),
        Some("version") => parse_bare_command(Command::Version, line, length),
        Some("quit") => parse_bare_command(Command::Quit, line, length),
        _ => Err(ParseError::skippable(MemcacheError::UnknownCommand, length)),
    }
}

/// Returns a command that has no arguments, or an error if its line has any.
fn parse_bare_command(command: Command, line: &str, length: usize) -> ParseResult<Command, MemcacheError> {
    if line.contains(' ') {
        Err(ParseError::skippable(MemcacheError::BadFormat, length))
    } else {
        Ok(Parsed { message: command, length })
    }
}

/// Parses the rest of the command `ms`: the key, the length and the flags on the line, then the
/// value.
fn parse_write<'a>(
    bytes: &[u8],
    mut tokens: impl Iterator<Item = &'a str>,
    line_length: usize,
) -> ParseResult<Command, MemcacheError> {
    let key = tokens.next().unwrap_or_default();
    // Without a length the position of the next command is unknown.
    let Some(value_length) = tokens.next().and_then(parse_length) else {
        return Err(ParseError::fatal(MemcacheError::BadDataLength));
    };
    if value_length > MAX_VALUE_BYTES {
        return Err(ParseError::fatal(MemcacheError::ValueTooLarge));
    }
    let Parsed { message: value, length } = parse_block(bytes, line_length, value_length)?;
    match parse_request(std::iter::once(key).chain(tokens), RequestKind::Write) {
        Some(request) => {
            let request = RequestCommand { value: Some(value), ..request };
            Ok(Parsed { message: Command::Request(request), length })
        }
        None => Err(ParseError::skippable(MemcacheError::BadFormat, length)),
    }
}

/// Parses the key and the flags of `mg` or `ms`, without the value. Only the flags that backends
/// support are allowed, each once: `v` (for reads only), `O` and `P`.
fn parse_request<'a>(mut tokens: impl Iterator<Item = &'a str>, kind: RequestKind) -> Option<RequestCommand> {
    let key = tokens.next().filter(|key| is_key(key))?;
    let mut wants_value = false;
    let mut opaque = None;
    let mut labels = None;
    for token in tokens {
        let (flag, argument) = (token.get(..FLAG_BYTES)?, token.get(FLAG_BYTES..)?);
        match (flag, argument) {
            ("v", "") if kind == RequestKind::Read && !wants_value => wants_value = true,
            ("O", id) if opaque.is_none() && is_opaque(id) => opaque = Some(id),
            ("P", list) if labels.is_none() => labels = Some(Labels::parse(list)?),
            _ => return None,
        }
    }
    if kind == RequestKind::Read && !wants_value {
        return None;
    }
    Some(RequestCommand { key: key.to_owned(), opaque: opaque?.to_owned(), labels: labels?, value: None })
}

fn is_key(token: &str) -> bool {
    !token.is_empty() && token.len() <= MAX_KEY_BYTES && token.is_ascii()
}

fn is_opaque(token: &str) -> bool {
    !token.is_empty() && token.len() <= MAX_OPAQUE_BYTES && token.is_ascii()
}
