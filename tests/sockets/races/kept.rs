//! Reuse of a backend connection on which a late response to the previous attempt may still arrive.

use super::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// Guards against a client that gets the value of another request: a response without an id arrives
/// twice, the second time on a connection that has the next request already.
#[test]
fn a_second_answer_without_an_id_does_not_answer_the_next_request() {
    let node = StubServer::miss_node();
    let origin = AcceptBarrier::new();
    let fixture =
        ProxyFixture::new(&[node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready", 0)]);
    let mut client = fixture.client();
    client.send("mg a v O1 Pc=read,t=acme,d=5000\r\n");
    let mut first = origin.accept().expect("the fetch is sent");
    assert!(first.read_request(true).expect("a complete request").starts_with("GET /a "));
    let response = |value: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{value}");
    assert!(first.send(&response("a")));
    assert_eq!((client.read_line(), client.read_line()), ("VA 1 O1\r\n".into(), "a\r\n".into()));
    client.send("mg b v O2 Pc=read,t=acme,d=5000\r\n");
    // On either connection the second response to the first request arrives before its own.
    let mut second = origin.accept_within(ms(1000));
    first.send(&response("a"));
    let connection = second.as_mut().unwrap_or(&mut first);
    assert!(connection.read_request(true).expect("a complete request").starts_with("GET /b "));
    connection.send(&response("b"));
    assert_eq!((client.read_line(), client.read_line()), ("VA 1 O2\r\n".into(), "b\r\n".into()));
}

/// Guards against a second rejection, which never has an id, that is taken as the response to the
/// next request, whose effect could then happen twice.
#[test]
fn a_second_rejection_does_not_answer_the_next_request() {
    let node = AcceptBarrier::new();
    let fixture = ProxyFixture::new(&[node.entry("s-0", "c6", "ready", 0)]);
    let mut client = fixture.client();
    client.send("mg a v O1 Pc=confirm,t=acme,d=5000\r\n");
    let mut first = node.accept().expect("the attempt is sent");
    assert!(first.read_request(false).is_some());
    assert!(first.send("SERVER_ERROR busy\r\n"));
    // After the rejection the retry may use any connection.
    let mut second = node.accept_within(ms(1000));
    first.send("SERVER_ERROR busy\r\n");
    let connection = second.as_mut().unwrap_or(&mut first);
    let command = connection.read_request(false).expect("the attempt is retried");
    connection.send(&hit_response(&command, "v"));
    assert_eq!((client.read_line(), client.read_line()), ("VA 1 O1\r\n".into(), "v\r\n".into()));
}

/// Guards against a response without a length that is served although its connection was reset, so
/// that the response may be incomplete. If the connection ends in an orderly way, the response is
/// complete and must be served.
#[test]
fn a_response_without_a_length_is_complete_only_at_an_orderly_end() {
    for is_reset in [false, true] {
        let node = StubServer::miss_node();
        let origin = AcceptBarrier::new();
        let fixture =
            ProxyFixture::new(&[node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready", 0)]);
        let mut client = fixture.client();
        client.send("mg a v O1 Pc=read,t=acme,d=900\r\n");
        // One connection for each attempt.
        for _ in 0..3 {
            let Some(mut connection) = origin.accept_within(ms(500)) else { break };
            connection.read_request(true).expect("a complete request");
            connection.send("HTTP/1.1 200 OK\r\nX-Txn: 1\r\n\r\nall");
            if is_reset {
                connection.reset();
            }
        }
        let line = client.read_line();
        if is_reset {
            assert!(line.starts_with("SERVER_ERROR "), "{line:?}");
        } else {
            assert_eq!((line, client.read_line()), ("VA 3 O1\r\n".into(), "all\r\n".into()));
        }
    }
}

/// Guards against the reuse of a connection to a process that has ended: its node restarts while an
/// attempt is in flight, and the attempt ends only after the restart is known.
#[test]
fn a_connection_to_a_node_that_has_restarted_is_not_reused() {
    let (release, requests) = (Arc::new(AtomicBool::new(false)), AtomicUsize::new(0));
    let is_released = Arc::clone(&release);
    let node = StubServer::node(move |line| {
        while requests.fetch_add(1, Ordering::SeqCst) == 0 && !is_released.load(Ordering::SeqCst) {
            while !is_released.load(Ordering::SeqCst) {
                std::thread::sleep(ms(2));
            }
        }
        StubAction::Reply(hit_response(line, "v"))
    });
    let fixture = ProxyFixture::new(&[node.entry("s-0", "c6", "ready")]);
    let (_, updates) = fixture.discovery.next_watch();
    let mut client = fixture.client();
    client.send("mg k v O1 Pc=read,t=acme,d=5000\r\n");
    fixture.wait_until("the node is asked", || node.received().len() == 1);
    let restarted_node =
        node.entry("s-0", "c6", "ready").replace(r#""startedAtMs":0"#, r#""startedAtMs":1000"#);
    updates.send(endpoint_list_json(2, false, &[restarted_node])).unwrap();
    fixture.wait_until("the list has arrived", || fixture.counter("lists") == 1);
    release.store(true, Ordering::SeqCst);
    assert_eq!((client.read_line(), client.read_line()), ("VA 1 O1\r\n".into(), "v\r\n".into()));
    assert_eq!(client.get("k", "2", 900).1, "v\r\n");
    assert_eq!(node.connected(), 2, "the second attempt uses a connection to the new process");
}
