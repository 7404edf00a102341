//! Responses of cache nodes and the origin: long, unusual, malformed, and followed by surplus
//! bytes.

use crate::{idle_origin, ms};
use pinetrail_test_harness::*;
use socket2::SockRef;
use std::io::Write;
use std::net::Shutdown;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn an_origin_may_answer_in_chunks_and_close() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n\
                   3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
    let (node, origin) =
        (StubServer::miss_node(), StubServer::origin(move |_| StubAction::Reply(chunked.into())));
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    assert_eq!(client.get("a", "1", 900).1, "hello\r\n");
    assert_eq!(client.get("b", "2", 900).1, "hello\r\n");
    assert_eq!(origin.connected(), 2, "a connection with `Connection: close` is not reused");
}

/// Guards against a value that grows without bound in the proxy's memory: its announced length is
/// over the limit.
#[test]
fn a_value_beyond_the_limit_is_not_forwarded() {
    for length in ["4194305", "3000000000"] {
        let node =
            StubServer::node(move |line| StubAction::Reply(format!("VA {length} {}\r\n", opaque(line))));
        let origin = idle_origin();
        let fixture = ProxyFixture::with_backends(&[&node], &origin);
        assert!(fixture.client().get("k", "1", 300).0.starts_with("SERVER_ERROR "));
        assert!(fixture.counter("calls_error") >= 1);
    }
}

/// Guards against long values that are truncated or rejected: backends send several times 64 KiB.
#[test]
fn a_long_value_of_a_node_or_the_origin_arrives_complete() {
    let long = |start: &str| format!("{start}{}", "x".repeat(400_000 - start.len()));
    let (of_node, of_origin) = (long("node"), long("origin"));
    let (node_body, origin_body) = (of_node.clone(), of_origin.clone());
    let node = StubServer::node(move |line| {
        if line.contains("missing") {
            StubAction::Reply(format!("EN {}\r\n", opaque(line)))
        } else {
            StubAction::Reply(format!("VA {} {}\r\n{node_body}\r\n", node_body.len(), opaque(line)))
        }
    });
    let origin = StubServer::origin(move |_| http_200(&origin_body));
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    for (key, value) in [("k", &of_node), ("missing", &of_origin), ("k2", &of_node)] {
        let (line, got) = client.get(key, key, 5000);
        assert_eq!(line, format!("VA 400000 O{key}\r\n"));
        assert!(got.trim_end() == value.as_str(), "{} bytes", got.len());
    }
    assert_eq!((fixture.counter("answers_spoilt"), fixture.counter("answered_served")), (0, 3));
}

/// Guards against a client that gets the value of another request, because a node responds with
/// another id.
#[test]
fn a_response_with_another_id_is_not_forwarded() {
    let (node, origin) =
        (StubServer::node(|_| StubAction::Reply("VA 5 Oother\r\nwrong\r\n".into())), idle_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let (line, _) = fixture.client().get("k", "1", 300);
    assert!(line.starts_with("SERVER_ERROR "), "{line}");
    assert_eq!(node.connected(), node.received().len(), "no connection with a foreign response is reused");
}

/// Guards against a malformed response that is forwarded, that the proxy awaits until the deadline,
/// or that counts as proof that the request was not executed.
#[test]
fn malformed_responses_of_a_node_fail_at_once() {
    for malformed in [
        "\u{1}\u{2}noise without an end",
        "VA 3000000000 O1\r\nvvvv",
        "VA 2 O1\r\nlonger\r\n",
        "VA -1 O1\r\n\r\n",
        "SERVER_ERROR busy or not\r\n",
        "HD O1 c1 c2\r\n",
    ] {
        let (node, origin) = (StubServer::node(move |_| StubAction::Reply(malformed.into())), idle_origin());
        let fixture = ProxyFixture::with_backends(&[&node], &origin);
        let started_at = Instant::now();
        let line = fixture.client().get("k", "1", 2000).0;
        assert!(line.starts_with("SERVER_ERROR busy "), "{malformed:?} -> {line:?}");
        assert!(started_at.elapsed() < ms(1000), "{malformed:?}: {:?}", started_at.elapsed());
        let calls = node.received().len() as u64;
        assert_eq!(
            (fixture.counter("calls_error"), fixture.counter("answers_spoilt")),
            (calls, calls),
            "{malformed:?}"
        );
        assert_eq!(node.connected() as u64, calls, "a connection with a malformed response is not reused");
    }
}

/// Guards against an incomplete response that is forwarded, whose connection is reused, or that
/// keeps its client waiting. Its rest may still arrive until the client's deadline.
#[test]
fn incomplete_responses_are_not_forwarded_and_fail_in_time() {
    const CLIENT_TIMEOUT_MS: u32 = 800;
    let of_node = ["VA 9 O1\r\nshort\r\n", "VA 1 O1"];
    let of_origin = [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\n\r\nno telling whether it is whole",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nnor here",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\nX-Sum: 5f3a\r\n",
    ];
    for (responses, is_of_origin) in [(&of_node[..], false), (&of_origin[..], true)] {
        for incomplete in responses.iter().copied() {
            let reply = move |_: &str| StubAction::Reply(incomplete.into());
            let (node, origin) = if is_of_origin {
                (StubServer::miss_node(), StubServer::origin(reply))
            } else {
                (StubServer::node(reply), idle_origin())
            };
            let fixture = ProxyFixture::with_backends(&[&node], &origin);
            let started_at = Instant::now();
            let line = fixture.client().get("k", "1", CLIENT_TIMEOUT_MS).0;
            assert!(line.starts_with("SERVER_ERROR "), "{incomplete:?} -> {line:?}");
            let time = started_at.elapsed();
            assert!(time < ms(u64::from(CLIENT_TIMEOUT_MS) + 70), "{incomplete:?}: {time:?}");
            let backend = if is_of_origin { &origin } else { &node };
            assert_eq!((backend.received().len(), backend.connected()), (1, 1), "{incomplete:?}");
            let is_closed = || backend.disconnected() == 1;
            fixture.wait_until("the connection with the incomplete response is closed", is_closed);
        }
    }
}

/// Guards against a request that waits for the body of an error response, which says nothing.
#[test]
fn an_error_response_counts_before_its_body_has_arrived() {
    for (head, expected) in [
        ("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\n\r\n", "calls_error"),
        ("HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n", "calls_error"),
        ("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 9\r\n\r\n", "calls_full"),
    ] {
        let (node, origin) =
            (StubServer::miss_node(), StubServer::origin(move |_| StubAction::Reply(head.into())));
        let fixture = ProxyFixture::with_backends(&[&node], &origin);
        let started_at = Instant::now();
        assert!(fixture.client().get("k", "1", 2000).0.starts_with("SERVER_ERROR busy "), "{head:?}");
        assert!(started_at.elapsed() < ms(1000), "{head:?}: {:?}", started_at.elapsed());
        assert_eq!(fixture.counter(expected), origin.received().len() as u64, "{head:?}");
        assert_eq!(origin.connected(), origin.received().len(), "{head:?}: a connection is reused");
    }
}

/// Guards against surplus bytes behind a valid response that invalidate this response or count as
/// the next one.
#[test]
fn a_valid_response_with_more_behind_it_is_used_and_its_connection_closed() {
    let node = StubServer::node(|line| {
        let response = format!("VA 1 {}\r\nv\r\n", opaque(line));
        StubAction::Reply(response.clone() + &response)
    });
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    for n in 0..10 {
        assert_eq!(client.get("k", &n.to_string(), 900).1, "v\r\n");
    }
    assert_eq!((node.connected(), fixture.counter("calls_error")), (10, 0));
}

#[test]
fn unusual_responses_of_the_origin_are_used_if_they_are_complete() {
    let good = [
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv",
        "HTTP/1.1 200 OK\r\nX-Pressure: \u{1}\u{7f}=?\r\nContent-Length: 1\r\nX-Txn: 1\r\n\r\nv",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nv",
        "HTTP/1.1 200 \r\nTRANSFER-ENCODING:chunked\r\n\r\n0001\r\nv\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nv\r\n0\r\nX-Sum: 5f3a\r\nX-Done: 1\r\n\r\n",
    ];
    let bad = [
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nvv",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Txn: 2\r\n\r\nv",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nv",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\nno trailer\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nv",
        "HTTP/9 what\r\n",
    ];
    for (responses, served) in [(&good[..], true), (&bad[..], false)] {
        for response in responses.iter().copied() {
            let (node, origin) =
                (StubServer::miss_node(), StubServer::origin(move |_| StubAction::Reply(response.into())));
            let fixture = ProxyFixture::with_backends(&[&node], &origin);
            let started_at = Instant::now();
            let (line, value) = fixture.client().get("k", "1", 2000);
            assert_eq!(line == "VA 1 O1\r\n" && value == "v\r\n", served, "{response:?} -> {line:?}");
            assert!(started_at.elapsed() < ms(1000), "{response:?}: {:?}", started_at.elapsed());
        }
    }
}

/// Guards against a truncated value that is served as complete: a value without a length is
/// complete when its connection ends in an orderly way, but may be truncated after a reset.
#[test]
fn a_response_without_a_length_is_complete_at_the_end_of_its_connection_but_not_at_a_reset() {
    for (is_reset, expected) in [(false, "VA 5 O1\r\n"), (true, "SERVER_ERROR ")] {
        let origin = StubServer::origin(move |_| {
            StubAction::ReplyWith(Box::new(move |stream| {
                stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nval").unwrap();
                sleep(ms(50));
                stream.write_all(b"ue").unwrap();
                if is_reset {
                    sleep(ms(50));
                    SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).unwrap();
                }
                // Closing the last descriptor closes or resets the connection.
                stream.shutdown(if is_reset { Shutdown::Read } else { Shutdown::Both }).unwrap();
            }))
        });
        let fixture = ProxyFixture::with_backends(&[&StubServer::miss_node()], &origin);

        let (line, value) = fixture.client().get("k", "1", 2000);

        assert!(line.starts_with(expected), "reset: {is_reset}, {line:?}");
        assert_eq!(value, if is_reset { "" } else { "value\r\n" });
    }
}
