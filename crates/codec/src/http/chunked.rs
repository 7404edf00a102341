//! Parses chunked bodies: [`parse_chunk`] parses one chunk, [`parse_chunked_body`] a complete body,
//! and [`ChunkedDecoder`] a body that arrives in parts.

use super::{HttpError, ParseError, ParseResult, Parsed, MAX_HEADERS, MAX_HEAD_BYTES};

/// The maximum length, in bytes, of the line with the size of a chunk.
const MAX_CHUNK_LINE_BYTES: usize = 128;
/// The line end after the data of a chunk.
const LINE_END: &[u8] = b"\r\n";

/// Parses one chunk of a chunked body, with at most `max_length` bytes of data. The last chunk has
/// no data, and its length includes the trailers after it.
///
/// # Errors
///
/// If the chunk is incomplete or malformed.
pub fn parse_chunk(bytes: &[u8], max_length: usize) -> ParseResult<&[u8], HttpError> {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Partial) if bytes.len() < MAX_CHUNK_LINE_BYTES => Err(ParseError::Incomplete),
        Ok(httparse::Status::Complete((start, 0))) => parse_trailers(bytes, start),
        Ok(httparse::Status::Complete((start, size))) if size <= max_length as u64 => {
            let chunk_end = start + size as usize;
            let end = chunk_end + LINE_END.len();
            match bytes.get(chunk_end..end) {
                None => Err(ParseError::Incomplete),
                Some(LINE_END) => Ok(Parsed { message: &bytes[start..chunk_end], length: end }),
                Some(_) => Err(ParseError::fatal(HttpError::UnterminatedChunk)),
            }
        }
        _ => Err(ParseError::fatal(HttpError::BadChunk)),
    }
}

/// Skips the trailers of a chunked body (RFC 9112, section 7.1.2) and the empty line after them.
fn parse_trailers(bytes: &[u8], start: usize) -> ParseResult<&[u8], HttpError> {
    let rest = &bytes[start..];
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(rest, &mut headers) {
        Ok(httparse::Status::Complete((used, _))) if used <= MAX_HEAD_BYTES => {
            Ok(Parsed { message: &[], length: start + used })
        }
        Ok(httparse::Status::Partial) if rest.len() < MAX_HEAD_BYTES => Err(ParseError::Incomplete),
        _ => Err(ParseError::fatal(HttpError::BadTrailers)),
    }
}

/// Decodes a chunked body of at most a certain length while its bytes arrive. Nothing but the
/// position in the body is kept, so that neither long chunks nor many small ones need memory.
#[derive(Clone, Debug)]
pub struct ChunkedDecoder {
    expected: Expected,
    /// The number of bytes of data that may still follow.
    allowed: usize,
}

/// The part of a chunked body that comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// The line with the size of a chunk.
    Size,
    /// This many bytes of the data of a chunk.
    Data(usize),
    /// The line end after the data of a chunk.
    DataEnd,
    /// The trailers and the empty line after them.
    Trailers,
    /// Nothing, since the body is complete.
    Nothing,
}

impl ChunkedDecoder {
    /// Creates the decoder of a body of at most `max_length` bytes.
    pub fn new(max_length: usize) -> ChunkedDecoder {
        ChunkedDecoder { expected: Expected::Size, allowed: max_length }
    }

    /// Decodes as many of `bytes` as possible, appends the data to `data`, and returns the number of
    /// bytes that were decoded. The caller passes the other bytes again, with more behind them.
    ///
    /// # Errors
    ///
    /// If the body is malformed or too long.
    pub fn decode(&mut self, bytes: &[u8], data: &mut Vec<u8>) -> Result<usize, HttpError> {
        let mut used = 0;
        loop {
            match self.step(&bytes[used..], data) {
                Ok(0) => return Ok(used),
                Ok(count) => used += count,
                Err(ParseError::Incomplete) => return Ok(used),
                Err(ParseError::Malformed { error, .. }) => return Err(error),
            }
        }
    }

    /// Returns whether the body has been decoded completely.
    pub fn is_complete(&self) -> bool {
        self.expected == Expected::Nothing
    }

    /// Decodes the next part of the body, and returns its length.
    fn step(&mut self, bytes: &[u8], data: &mut Vec<u8>) -> Result<usize, ParseError<HttpError>> {
        match self.expected {
            Expected::Size => self.decode_size(bytes),
            Expected::Data(remaining) => {
                let part = &bytes[..remaining.min(bytes.len())];
                data.extend_from_slice(part);
                let remaining = remaining - part.len();
                self.expected = if remaining > 0 { Expected::Data(remaining) } else { Expected::DataEnd };
                Ok(part.len())
            }
            Expected::DataEnd => match bytes.get(..LINE_END.len()) {
                None => Err(ParseError::Incomplete),
                Some(LINE_END) => {
                    self.expected = Expected::Size;
                    Ok(LINE_END.len())
                }
                Some(_) => Err(ParseError::fatal(HttpError::UnterminatedChunk)),
            },
            Expected::Trailers => {
                let Parsed { length, .. } = parse_trailers(bytes, 0)?;
                self.expected = Expected::Nothing;
                Ok(length)
            }
            Expected::Nothing => Ok(0),
        }
    }

    fn decode_size(&mut self, bytes: &[u8]) -> Result<usize, ParseError<HttpError>> {
        match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Partial) if bytes.len() < MAX_CHUNK_LINE_BYTES => {
                Err(ParseError::Incomplete)
            }
            Ok(httparse::Status::Complete((start, 0))) => {
                self.expected = Expected::Trailers;
                Ok(start)
            }
            Ok(httparse::Status::Complete((start, size))) if size <= self.allowed as u64 => {
                self.allowed -= size as usize;
                self.expected = Expected::Data(size as usize);
                Ok(start)
            }
            _ => Err(ParseError::fatal(HttpError::BadChunk)),
        }
    }
}

/// Parses a complete chunked body of at most `max_length` bytes.
///
/// # Errors
///
/// If the body is incomplete or malformed.
pub fn parse_chunked_body(bytes: &[u8], max_length: usize) -> ParseResult<Vec<u8>, HttpError> {
    let mut decoder = ChunkedDecoder::new(max_length);
    let mut body = Vec::new();
    let length = decoder.decode(bytes, &mut body).map_err(ParseError::fatal)?;
    if decoder.is_complete() {
        Ok(Parsed { message: body, length })
    } else {
        Err(ParseError::Incomplete)
    }
}
