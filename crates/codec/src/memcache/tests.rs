//! Tests the errors of malformed memcache commands, and which responses of cache nodes are accepted
//! as the response to a request.

use super::*;
use crate::MAX_VALUE_BYTES;

/// Returns the error that a client receives for a malformed command, and the number of bytes to
/// skip.
fn malformed(bytes: &[u8]) -> (String, Option<usize>) {
    match parse_command(bytes) {
        Err(ParseError::Malformed { error, skip }) => (error.to_string(), skip),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_malformed_command_is_skipped_where_the_next_one_can_be_found() {
    let expected = [
        ("get k\r\n", "ERROR"),
        ("mn 1\r\n", "CLIENT_ERROR bad command line format"),
        ("mg k O1 Pc=a\r\n", "CLIENT_ERROR bad command line format"),
        ("ms k 1 v O1 Pc=a\r\nx\r\n", "CLIENT_ERROR bad command line format"),
        ("mn\n", "CLIENT_ERROR bad line"),
    ];
    for (bytes, text) in expected {
        assert_eq!(malformed(bytes.as_bytes()), (text.to_owned(), Some(bytes.len())), "{bytes:?}");
    }
}

#[test]
fn a_malformed_command_ends_the_connection_where_the_next_one_cannot_be_found() {
    let too_large = format!("ms k {} O1 Pc=a\r\n", MAX_VALUE_BYTES + 1);
    let too_long = "m".repeat(MAX_LINE_BYTES);
    let expected = [
        ("ms k x O1 Pc=a\r\n", "CLIENT_ERROR bad data length"),
        ("ms k 1 O1 Pc=a\r\nxyz", "CLIENT_ERROR bad data chunk"),
        (too_large.as_str(), "CLIENT_ERROR value too large"),
        (too_long.as_str(), "CLIENT_ERROR line too long"),
    ];
    for (bytes, text) in expected {
        assert_eq!(malformed(bytes.as_bytes()), (text.to_owned(), None), "{bytes:?}");
    }
}

#[test]
fn a_write_is_parsed_once_its_value_and_line_end_have_arrived() {
    let bytes = b"ms k 2 O1 Pc=a,k=\r\nxy\r\nmn\r\n";
    let length = bytes.len() - 4;
    for end in 0..length {
        assert_eq!(parse_command(&bytes[..end]), Err(ParseError::Incomplete), "{end}");
    }

    let message = Command::Request(RequestCommand {
        key: "k".to_owned(),
        opaque: "1".to_owned(),
        labels: Labels::parse("c=a,k=").unwrap(),
        value: Some(b"xy".to_vec()),
    });
    assert_eq!(parse_command(bytes), Ok(Parsed { message, length }));
}

#[test]
fn only_a_response_with_the_id_of_the_request_is_accepted_as_its_response() {
    let value = BackendResponse::Value(b"xy".to_vec());
    assert_eq!(parse_response(b"VA 2 O1\r\nxy\r\n", "1"), Ok(Parsed { message: value, length: 13 }));
    let receipt = BackendResponse::Receipt("r".to_owned());
    assert_eq!(parse_response(b"HD O1 cr\r\n", "1"), Ok(Parsed { message: receipt, length: 10 }));

    let others: [&[u8]; 6] =
        [b"VA 2 O2\r\nxy\r\n", b"VA 2\r\nxy\r\n", b"HD O1 O1 cr\r\n", b"HD O1\r\n", b"EN O2\r\n", b"noise"];
    for bytes in others {
        let expected = ParseError::fatal(MemcacheError::UnexpectedResponse);
        assert_eq!(parse_response(bytes, "1"), Err(expected), "{bytes:?}");
    }
}

#[test]
fn a_response_without_id_is_accepted_only_with_its_exact_text() {
    let busy = parse_response(b"SERVER_ERROR busy\r\n", "1");
    assert_eq!(busy, Ok(Parsed { message: BackendResponse::Busy, length: 19 }));
    let failed = parse_response(b"SERVER_ERROR failed\r\n", "1");
    assert_eq!(failed, Ok(Parsed { message: BackendResponse::Failed, length: 21 }));
    let longer = parse_response(b"SERVER_ERROR busy 5\r\n", "1");
    assert_eq!(longer, Err(ParseError::fatal(MemcacheError::UnexpectedResponse)));
}

/// Guards against labels that take many times the memory of their text, and against other names or
/// values than the client sent.
#[test]
fn labels_are_read_in_their_order_and_each_has_a_name() {
    let labels = Labels::parse("c=a,k=,t=x=y,c=b").unwrap();
    assert_eq!(labels.iter().collect::<Vec<_>>(), [("c", "a"), ("k", ""), ("t", "x=y"), ("c", "b")]);
    assert_eq!((labels.get("c"), labels.get("k"), labels.get("z")), (Some("a"), Some(""), None));
    for malformed in ["", "c", "=a", "c=a,", "c=a,,k=b"] {
        assert_eq!(Labels::parse(malformed), None, "{malformed:?}");
    }
    assert_eq!(std::mem::size_of::<Labels>(), std::mem::size_of::<String>());
    assert_eq!(Labels::default().iter().count(), 0);
}
