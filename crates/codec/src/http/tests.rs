//! Tests which heads of HTTP responses are accepted, and where bodies end.

use super::head::MAX_INTERIM_RESPONSES;
use super::*;

fn head(bytes: &str) -> Head {
    match parse_final_head(bytes.as_bytes()) {
        Ok(Parsed { message, length }) if length == bytes.len() => message,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_malformed_load_report_is_ignored_and_any_other_malformed_header_is_an_error() {
    let reported = "HTTP/1.1 200 OK\r\nX-Pressure: \u{1}\r\nContent-Length: 3\r\n\r\n";
    assert_eq!(head(reported).body, Body::Length(3));

    let other = "HTTP/1.1 200 OK\r\nX-Other: \u{1}\r\nContent-Length: 3\r\n\r\n";
    assert_eq!(parse_head(other.as_bytes()), Err(ParseError::fatal(HttpError::InvalidHead)));
}

#[test]
fn interim_responses_are_skipped_up_to_a_limit() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let last = "HTTP/1.1 204 No Content\r\nX-Txn: 7\r\n\r\n";
    let parsed = head(&format!("{interim}{last}"));
    assert_eq!((parsed.status, parsed.body, parsed.id.as_deref()), (204, Body::Length(0), Some("7")));

    let endless = interim.repeat(MAX_INTERIM_RESPONSES);
    let expected = ParseError::fatal(HttpError::TooManyInterimResponses);
    assert_eq!(parse_final_head(endless.as_bytes()), Err(expected));
}

#[test]
fn contradicting_headers_of_a_body_are_malformed() {
    let expected = [
        ("Content-Length: 3\r\nContent-Length: 4\r\n", HttpError::BadLength),
        ("Content-Length: +3\r\n", HttpError::BadLength),
        ("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", HttpError::LengthAndChunks),
        ("Transfer-Encoding: gzip\r\n", HttpError::UnknownTransferEncoding),
    ];
    for (headers, error) in expected {
        let bytes = format!("HTTP/1.1 200 OK\r\n{headers}\r\n");
        assert_eq!(parse_head(bytes.as_bytes()), Err(ParseError::fatal(error)), "{headers:?}");
    }
}

#[test]
fn a_chunked_body_ends_with_its_trailers() {
    let bytes = b"2\r\nab\r\n1\r\nc\r\n0\r\nX-Digest: 1\r\n\r\n";
    for end in 0..bytes.len() {
        assert_eq!(parse_chunked_body(&bytes[..end], 3), Err(ParseError::Incomplete), "{end}");
    }
    let complete = Parsed { message: b"abc".to_vec(), length: bytes.len() };
    assert_eq!(parse_chunked_body(bytes, 3), Ok(complete));
    assert_eq!(parse_chunked_body(bytes, 2), Err(ParseError::fatal(HttpError::BadChunk)));
}

#[test]
fn a_chunked_body_that_arrives_in_parts_is_decoded_like_a_whole_one() {
    let bytes = b"5;a=b\r\nhello\r\n1\r\n!\r\n0\r\n\r\nnext";
    for part in 1..bytes.len() {
        let (mut decoder, mut data, mut buffer) = (ChunkedDecoder::new(6), Vec::new(), Vec::new());
        for piece in bytes.chunks(part) {
            buffer.extend_from_slice(piece);
            let used = decoder.decode(&buffer, &mut data).unwrap();
            buffer.drain(..used);
        }
        assert!(decoder.is_complete(), "parts of {part}");
        assert_eq!((&data[..], &buffer[..]), (&b"hello!"[..], &b"next"[..]), "parts of {part}");
    }
    let too_long = ChunkedDecoder::new(5).decode(bytes, &mut Vec::new());
    assert_eq!(too_long, Err(HttpError::BadChunk));
}
