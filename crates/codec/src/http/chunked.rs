//! Parses chunked bodies: [`parse_chunk`] parses one chunk, [`parse_chunked_body`] a complete body.

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

/// Parses a complete chunked body of at most `max_length` bytes.
///
/// # Errors
///
/// If the body is incomplete or malformed.
pub fn parse_chunked_body(bytes: &[u8], max_length: usize) -> ParseResult<Vec<u8>, HttpError> {
    let mut body = Vec::new();
    let mut used = 0;
    loop {
        let Parsed { message: chunk, length } = parse_chunk(&bytes[used..], max_length - body.len())?;
        used += length;
        if chunk.is_empty() {
            return Ok(Parsed { message: body, length: used });
        }
        body.extend_from_slice(chunk);
    }
}
