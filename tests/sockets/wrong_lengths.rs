//! Responses of cache nodes and the origin whose stated length is shorter than what they bring, and
//! good responses with more behind them.

use crate::{idle_origin, ms, serve_short_values};
use pinetrail_test_harness::*;
use std::io::{Read, Write};
use std::time::Instant;

/// Client timeout of the requests.
const CLIENT_TIMEOUT_MS: u32 = 900;
/// The time after the client's deadline within which a response must arrive.
const RESPONSE_SLACK_MS: u64 = 70;
/// The number of bytes that the proxy reads at once.
const READ_SIZE_BYTES: usize = 4096;
/// Lengths of values: short ones, up to the protocol's limit, and long ones, which are streamed.
const LENGTHS: [usize; 6] = [120, 2_000, 20_000, 65_536, 120_000, 400_000];
const WRITE: &str = "ms k 5 O1 Pc=put,t=acme,d=900,k=1\r\nhello\r\n";

/// Returns a value whose bytes tell their positions apart.
fn value(length: usize) -> String {
    (0..length).map(|n| char::from(b'a' + (n * 7 % 26) as u8)).collect()
}

fn http_with_length(stated: usize, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {stated}\r\n\r\n{body}")
}

/// Returns a stated length with which the head and the stated part of the value end with one of the
/// proxy's reads, so that the rest arrives in a later one.
fn length_that_ends_with_a_read() -> usize {
    let head_length = http_with_length(4000, "").len();
    READ_SIZE_BYTES - head_length
}

/// Writes a response in one piece, of any bytes.
fn reply_bytes(bytes: Vec<u8>) -> StubAction {
    StubAction::ReplyWith(Box::new(move |stream| {
        // The proxy may have closed the connection of a response that it does not use.
        let _ = stream.write_all(&bytes);
    }))
}

/// Starts a proxy behind which every read is a miss, and the origin responds with these bytes.
fn origin_that_responds(response: Vec<u8>) -> (ProxyFixture, StubServer) {
    let origin = StubServer::origin(move |_| reply_bytes(response.clone()));
    (ProxyFixture::with_backends(&[&StubServer::miss_node()], &origin), origin)
}

/// What a client received for a read.
#[derive(Debug, PartialEq, Eq)]
enum Received {
    Value(String),
    /// The connection ended within the value or before its line end.
    Truncated,
    Line(String),
}

fn read(fixture: &ProxyFixture) -> Received {
    let mut client = fixture.client();
    let line = client.request(&format!("mg k v O1 Pc=read,t=acme,d={CLIENT_TIMEOUT_MS}\r\n"));
    let Some(rest) = line.strip_prefix("VA ") else { return Received::Line(line) };
    let length: usize = rest.split(' ').next().unwrap().parse().unwrap();
    let mut bytes = vec![0; length + 2];
    match client.reader().read_exact(&mut bytes) {
        Ok(()) => Received::Value(String::from_utf8(bytes).unwrap().trim_end().to_owned()),
        Err(_) => Received::Truncated,
    }
}

/// Guards against a value that is served cut, because its stated length is too short and the rest
/// behind it counts as noise.
#[test]
fn a_value_longer_than_its_content_length_is_not_served_as_whole() {
    let mut cases: Vec<(usize, usize)> = LENGTHS.iter().map(|length| (length / 4, *length)).collect();
    cases.extend([(0, 120), (length_that_ends_with_a_read(), 20_000), (66_000, 400_000)]);
    for (stated, length) in cases {
        let response = http_with_length(stated, &value(length));
        let (fixture, origin) = origin_that_responds(response.clone().into_bytes());
        let started_at = Instant::now();
        match read(&fixture) {
            Received::Line(line) => assert!(line.starts_with("SERVER_ERROR "), "{stated}: {line:?}"),
            Received::Truncated => assert!(stated > 65_536, "{stated}: only a long value streams"),
            Received::Value(served) => panic!("{stated} of {length}: served {} bytes", served.len()),
        }
        let allowed = ms(u64::from(CLIENT_TIMEOUT_MS) + RESPONSE_SLACK_MS);
        assert!(started_at.elapsed() < allowed, "{stated}: {:?}", started_at.elapsed());
        assert_eq!(origin.connected(), origin.received().len(), "{stated}: a connection is reused");
        assert_eq!(fixture.counter("answers_spoilt"), origin.received().len() as u64, "{stated}");
    }
}

/// Guards against a cut value in a pipeline: with a request behind it the value is collected first.
#[test]
fn a_long_value_with_a_short_length_and_a_request_behind_it_fails_alone() {
    let origin = StubServer::origin(|request| {
        let cut = http_with_length(70_000, &value(400_000));
        let is_long = request.starts_with("GET /long ");
        StubAction::Reply(if is_long { cut } else { http_with_length(1, "v") })
    });
    let fixture = ProxyFixture::with_backends(&[&StubServer::miss_node()], &origin);
    serve_short_values(&fixture);
    let mut client = fixture.client();
    client.send("mg long v O1 Pc=read,t=acme,d=900\r\nmg short v O2 Pc=read,t=acme,d=900\r\n");
    let line = client.read_line();
    assert!(line.starts_with("SERVER_ERROR "), "{line:?}");
    assert_eq!((client.read_line(), client.read_line()), ("VA 1 O2\r\n".into(), "v\r\n".into()));
    assert_eq!(client.request("mn\r\n"), "MN\r\n");
}

/// Guards against a receipt that is served cut.
#[test]
fn a_receipt_longer_than_its_content_length_is_not_served() {
    for stated in [1, 12, 27] {
        let (fixture, origin) =
            origin_that_responds(http_with_length(stated, "booking-1-hel-gdynia-sopot-2").into_bytes());
        let line = fixture.client().request(WRITE);
        assert!(line.starts_with("SERVER_ERROR "), "{stated}: {line:?}");
        assert!(!origin.received().is_empty());
    }
}

/// Guards against a value of a cache node that is served cut.
#[test]
fn a_value_longer_than_the_length_of_its_line_is_not_served_as_whole() {
    for length in LENGTHS {
        let node = StubServer::node(move |line| {
            StubAction::Reply(format!("VA {} {}\r\n{}\r\n", length / 4, opaque(line), value(length)))
        });
        let fixture = ProxyFixture::with_backends(&[&node], &idle_origin());
        match read(&fixture) {
            Received::Line(line) => assert!(line.starts_with("SERVER_ERROR "), "{length}: {line:?}"),
            Received::Truncated => assert!(length / 4 > 65_536, "{length}"),
            Received::Value(served) => panic!("{length}: served {} bytes", served.len()),
        }
    }
}

/// Guards against a chunk that is longer than its size, and is served cut.
#[test]
fn a_value_longer_than_its_chunk_is_not_served() {
    for length in LENGTHS {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let response = format!("{head}{:x}\r\n{}\r\n0\r\n\r\n", length / 4, value(length));
        let (fixture, _origin) = origin_that_responds(response.into_bytes());
        assert!(matches!(read(&fixture), Received::Line(_)), "{length}");
    }
}

/// Guards against sound work that the check of what follows a response turns away: a second copy
/// right behind a good response, whole or not, is no part of the value.
#[test]
fn a_response_with_a_second_copy_behind_it_is_served_at_once() {
    const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
    for length in LENGTHS.into_iter().chain([0, length_that_ends_with_a_read()]) {
        let body = value(length);
        let response = http_with_length(length, &body);
        let head_length = http_with_length(length, "").len();
        let copies = [response.clone(), response[..head_length].to_owned(), format!("{response}{response}")];
        for (number, copy) in copies.iter().enumerate() {
            for bytes in [format!("{response}{copy}"), format!("{INTERIM}{response}{INTERIM}{copy}")] {
                let (fixture, origin) = origin_that_responds(bytes.into_bytes());
                assert_eq!(read(&fixture), Received::Value(body.clone()), "{length}, copy {number}");
                assert_eq!(origin.received().len(), 1, "{length}, copy {number}");
            }
        }
    }
}

/// Guards against sound receipts that fail because of what follows them.
#[test]
fn a_receipt_with_a_copy_or_noise_behind_it_is_served() {
    let response = http_with_length(3, "rc1");
    for behind in [response.as_bytes(), b"\r\n", b"\x00\xffnoise", b" noise\r\n"] {
        let (fixture, origin) = origin_that_responds([response.as_bytes(), behind].concat());
        assert_eq!(fixture.client().request(WRITE), "HD O1 crc1\r\n", "{behind:?}");
        assert_eq!(origin.received().len(), 1, "{behind:?}");
    }
}

/// Guards against reads that fail for good because of noise behind a good response, which cannot be
/// told from the rest of a value: the next attempt serves them.
#[test]
fn a_read_with_noise_behind_its_response_is_served_by_the_next_attempt() {
    let attempts = std::sync::atomic::AtomicUsize::new(0);
    let origin = StubServer::origin(move |_| {
        let is_first = attempts.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0;
        let noise = if is_first { "\u{1}noise" } else { "" };
        StubAction::Reply(format!("{}{noise}", http_with_length(5, "value")))
    });
    let fixture = ProxyFixture::with_backends(&[&StubServer::miss_node()], &origin);
    let started_at = Instant::now();
    assert_eq!(read(&fixture), Received::Value("value".to_owned()));
    assert!(started_at.elapsed() < ms(500), "{:?}", started_at.elapsed());
    assert_eq!(origin.received().len(), 2);
}
