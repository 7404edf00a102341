//! Values that are too long to be kept in memory completely.

use crate::{idle_origin, ms, serve_short_values};
use pinetrail_test_harness::*;
use std::io::{Read, Write};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Instant;

const LONG_VALUE_BYTES: usize = 4 * 1024 * 1024;

/// Guards against memory that grows with announced lengths: together these values far exceed the
/// limit, and their clients read slowly.
#[test]
fn values_larger_than_the_memory_reach_slow_readers_complete() {
    let value = "x".repeat(LONG_VALUE_BYTES);
    let node = StubServer::node(move |line| {
        StubAction::Reply(format!("VA {LONG_VALUE_BYTES} {}\r\n{value}\r\n", opaque(line)))
    });
    let origin = idle_origin();
    let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
    let fixture = ProxyFixture::with_limits(&entries, 256, 32);
    let mut clients: Vec<Client> = (0..12).map(|_| fixture.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&format!("mg k{number} v O{number} Pc=read,t=acme,d=900\r\n"));
    }
    let mut part = vec![0; LONG_VALUE_BYTES / 8];
    let lines: Vec<String> = clients.iter_mut().map(Client::read_line).collect();
    assert!(lines.iter().all(|line| line.starts_with("VA 4194304 O")), "{lines:?}");
    for _ in 0..8 {
        // In total this takes longer than any deadline: a body stream may go on while it makes
        // progress.
        sleep(ms(150));
        for client in &mut clients {
            client.reader().read_exact(&mut part).unwrap();
            assert!(part.iter().all(|byte| *byte == b'x'));
        }
    }
    for client in &mut clients {
        assert_eq!(client.read_line(), "\r\n");
    }
    assert!(fixture.memory_mb() < 32, "{} MB", fixture.memory_mb());
    assert_eq!((fixture.counter("values_flowed"), node.received().len()), (12, 12), "none is fetched twice");
}

/// Guards against a proxy that collects a body before it forwards the first byte, and against a
/// deadline that cuts off a body that still arrives: this node sends the second half only after the
/// client has read the first.
#[test]
fn the_client_gets_the_first_bytes_before_the_node_has_sent_the_last() {
    let (release, released) = channel::<()>();
    let released = Arc::new(Mutex::new(released));
    let node = StubServer::node(move |line| {
        let (released, head) = (Arc::clone(&released), format!("VA 100000 {}\r\n", opaque(line)));
        StubAction::ReplyWith(Box::new(move |stream| {
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&[b'a'; 50_000]).unwrap();
            released.lock().unwrap().recv_timeout(WAIT_TIMEOUT).unwrap();
            stream.write_all(&[b'b'; 50_000]).unwrap();
            stream.write_all(b"\r").unwrap();
            sleep(ms(50));
            stream.write_all(b"\n").unwrap();
        }))
    });
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    // Responses behind a long value keep their order.
    client.send("mg k v O1 Pc=read,t=acme,d=500\r\nmn\r\n");
    assert_eq!(client.read_line(), "VA 100000 O1\r\n");
    let mut half = vec![0; 50_000];
    client.reader().read_exact(&mut half).unwrap();
    assert!(half.iter().all(|byte| *byte == b'a'));
    sleep(ms(600));
    release.send(()).unwrap();
    client.reader().read_exact(&mut half).unwrap();
    assert!(half.iter().all(|byte| *byte == b'b'));
    assert_eq!((client.read_line(), client.read_line()), ("\r\n".into(), "MN\r\n".into()));
    assert_eq!((fixture.counter("answered_served"), fixture.counter("calls_ok")), (1, 1));
}

/// Guards against a response that counts as malformed because it arrives in pieces, cut at any
/// point.
#[test]
fn a_short_value_that_arrives_in_pieces_is_served() {
    let node = StubServer::node(move |line| {
        let response = format!("VA 5 {} h1\r\nhello\r\n", opaque(line));
        StubAction::ReplyWith(Box::new(move |stream| {
            let cuts = [1, response.len() - 9, response.len() - 3, response.len() - 1, response.len()];
            let mut from = 0;
            for to in cuts {
                stream.write_all(&response.as_bytes()[from..to]).unwrap();
                sleep(ms(150));
                from = to;
            }
        }))
    });
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    assert_eq!(fixture.client().get("k", "1", 2000).1, "hello\r\n");
    assert_eq!((fixture.counter("answers_spoilt"), node.received().len()), (0, 1));
}

/// Guards against a truncated value that is served as complete, and against a second attempt after
/// a body stream has begun.
#[test]
fn a_value_that_breaks_off_ends_the_connection_and_is_not_retried() {
    for ending in [&b""[..], b"no end"] {
        let length = if ending.is_empty() { 100_001 } else { 100_000 };
        let node = StubServer::node(move |line| {
            let head = format!("VA {length} {}\r\n", opaque(line));
            StubAction::ReplyWith(Box::new(move |stream| {
                stream.write_all(head.as_bytes()).unwrap();
                stream.write_all(&[b'x'; 100_000]).unwrap();
                stream.write_all(ending).unwrap();
                stream.shutdown(std::net::Shutdown::Both).unwrap();
            }))
        });
        let origin = idle_origin();
        let fixture = ProxyFixture::with_backends(&[&node], &origin);
        let mut client = fixture.client();
        assert!(client.request("mg k v O1 Pc=read,t=acme,d=900\r\n").starts_with("VA 10000"));
        let mut rest = Vec::new();
        // The connection may end by a reset as well.
        let _ = client.reader().read_to_end(&mut rest);
        assert!(rest.len() <= 100_000, "{}", rest.len());
        fixture.wait_until("the truncation is counted", || fixture.counter("values_broken") == 1);
        assert_eq!(node.received().len(), 1);
        assert_eq!(fixture.client().request("mn\r\n"), "MN\r\n");
    }
}

/// Guards against an attempt that continues for a client that has disconnected.
#[test]
fn a_client_that_disconnects_ends_the_body_stream() {
    let (closed_sender, closed_receiver): (Sender<bool>, _) = channel();
    let closed_sender = Arc::new(Mutex::new(closed_sender));
    let node = StubServer::node(move |line| {
        let (closed_sender, head) =
            (Arc::clone(&closed_sender), format!("VA {LONG_VALUE_BYTES} {}\r\n", opaque(line)));
        StubAction::ReplyWith(Box::new(move |stream| {
            stream.write_all(head.as_bytes()).unwrap();
            let result =
                stream.write_all(&vec![b'x'; LONG_VALUE_BYTES]).and_then(|()| stream.write_all(b"\r\n"));
            // The kernel may have buffered all of it before the connection ended.
            let closed = result.is_err() || matches!(stream.read(&mut [0]), Ok(0) | Err(_));
            closed_sender.lock().unwrap().send(closed).unwrap();
        }))
    });
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    assert_eq!(client.request("mg k v O1 Pc=read,t=acme,d=900\r\n"), format!("VA {LONG_VALUE_BYTES} O1\r\n"));
    drop(client);
    assert!(closed_receiver.recv_timeout(WAIT_TIMEOUT).unwrap(), "the node's connection is closed");
    fixture.wait_until("the attempt is cancelled", || fixture.counter("calls_cancelled") == 1);
}

/// Starts a node whose values are all of `LONG_VALUE_BYTES`, but those of the keys `short`.
fn long_value_node() -> StubServer {
    let value = "x".repeat(LONG_VALUE_BYTES);
    StubServer::node(move |line| {
        if line.starts_with("mg short ") {
            return StubAction::Reply(format!("VA 1 {}\r\nv\r\n", opaque(line)));
        }
        StubAction::Reply(format!("VA {LONG_VALUE_BYTES} {}\r\n{value}\r\n", opaque(line)))
    })
}

/// Reads the response to a read of a long value; returns whether it was served.
fn read_long_response(client: &mut Client) -> bool {
    let line = client.read_line();
    if line.starts_with("VA 4194304 ") {
        assert_eq!(client.read_line().len(), LONG_VALUE_BYTES + 2);
        return true;
    }
    assert!(line.starts_with("SERVER_ERROR "), "{line:?}");
    false
}

/// Guards against memory that grows with values that are collected because requests are behind
/// them.
#[test]
fn values_with_requests_behind_them_stay_within_the_memory_limit() {
    let (node, origin) = (long_value_node(), idle_origin());
    let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
    let fixture = ProxyFixture::with_limits(&entries, 256, 32);
    let mut clients: Vec<Client> = (0..8).map(|_| fixture.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let reads: String =
            (0..3).map(|n| format!("mg k{number} v O{number}.{n} Pc=read,t=acme,d=900\r\n")).collect();
        client.send(&reads);
    }
    let mut served = 0;
    for client in &mut clients {
        served += (0..3).filter(|_| read_long_response(client)).count();
    }
    assert!(served > 0, "none of 24 values is served");
    assert!(fixture.memory_mb() < 32, "{} MB", fixture.memory_mb());
}

/// Guards against a request that waits for its deadline although its value can never be collected:
/// the memory for values is shorter than the value, and a write that has run is behind it.
#[test]
fn a_value_that_cannot_be_collected_before_a_write_is_given_up_at_once() {
    let (node, origin) = (long_value_node(), StubServer::origin(|_| http_200("r1")));
    let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
    let fixture = ProxyFixture::with_limits(&entries, 256, 16);
    serve_short_values(&fixture);
    let mut client = fixture.client();
    let started_at = Instant::now();
    client.send("mg k v O1 Pc=read,t=acme,d=4000\r\nms w 1 O2 Pc=put,t=acme,d=4000,k=1\r\nv\r\n");
    assert!(!read_long_response(&mut client));
    assert!(started_at.elapsed() < ms(2000), "{:?}", started_at.elapsed());
    assert_eq!(client.read_line(), "HD O2 cr1\r\n");
}

/// Guards against values that fail because they cannot be collected, although no write is behind
/// them that needs its response.
#[test]
fn values_that_cannot_be_collected_are_streamed_before_reads() {
    let (node, origin) = (long_value_node(), idle_origin());
    let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
    let fixture = ProxyFixture::with_limits(&entries, 256, 16);
    for is_expected in [true, false] {
        if !is_expected {
            serve_short_values(&fixture);
        }
        let mut client = fixture.client();
        client.send("mg k v O1 Pc=read,t=acme,d=4000\r\nmg j v O2 Pc=read,t=acme,d=4000\r\n");
        assert!(read_long_response(&mut client) && read_long_response(&mut client), "{is_expected}");
    }
}

/// Guards against long values of the origin that fail because they have no length, and against
/// memory that grows with them.
#[test]
fn long_values_without_a_length_are_served_within_the_memory_limit() {
    for framing in [Framing::HttpChunked, Framing::HttpUntilClose] {
        let response = PacedResponse {
            framing,
            value: vec![b'x'; LONG_VALUE_BYTES],
            first_bytes: LONG_VALUE_BYTES / 8,
            duration: ms(200),
            pieces: 4,
            completion: Completion::Whole,
        };
        let deliveries = Deliveries::default();
        let origin = StubServer::origin(move |request| {
            let (response, deliveries) = (response.clone(), deliveries.clone());
            let request = request.to_owned();
            StubAction::ReplyWith(Box::new(move |stream| response.write(&request, stream, &deliveries)))
        });
        let node = StubServer::miss_node();
        let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
        let fixture = ProxyFixture::with_limits(&entries, 256, 48);
        let mut clients: Vec<Client> = (0..8).map(|_| fixture.client()).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            client.send(&format!("mg k{number} v O{number} Pc=read,t=acme,d=900\r\n"));
        }
        let served = clients.iter_mut().filter_map(|client| read_long_response(client).then_some(())).count();
        assert!(served > 0, "{framing:?}: none of 8 values is served");
        assert!(fixture.memory_mb() < 48, "{framing:?}: {} MB", fixture.memory_mb());
        assert!(read_long_response_alone(&fixture), "{framing:?}");
    }
}

/// Reads a long value that no other request competes with; returns whether it was served.
fn read_long_response_alone(fixture: &ProxyFixture) -> bool {
    let mut client = fixture.client();
    client.send("mg alone v Oalone Pc=read,t=acme,d=2500\r\n");
    read_long_response(&mut client)
}
