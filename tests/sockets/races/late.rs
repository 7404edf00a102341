//! Attempts whose connection is established only after they are no longer allowed.

use super::*;
use std::time::{Duration, Instant};

const SLOW_CONNECT: (&str, &str) = (r#""ConnectTimeout":250.0"#, r#""ConnectTimeout":5000.0"#);
/// Time within which a delayed connection is established after the barrier opens: the kernel
/// retries every second.
const CONNECT_AFTER_OPEN: Duration = Duration::from_millis(2500);

/// Guards against a retry that is sent after the deduplication window and could apply its effect
/// twice: it is decided within the window, but its connection is established only after it.
#[test]
fn a_retry_whose_connection_is_established_after_its_window_is_not_sent() {
    let mut origin = AcceptBarrier::new();
    let window = (r#""RepeatWindow":5000.0"#, r#""RepeatWindow":700.0"#);
    let entries = [origin.entry("o", "origin", "ready", 0)];
    let fixture = ProxyFixture::with_config_changes(&entries, &[SLOW_CONNECT, window]);
    let mut client = fixture.client();
    client.send("ms k 5 O1 Pc=put,t=acme,d=4000,k=1\r\nhello\r\n");
    let mut first = origin.accept().expect("the write is sent");
    assert!(first.read_request(true).expect("a complete request").starts_with("PUT /k "));
    let started_at = Instant::now();
    origin.close();
    drop(first);
    fixture.wait_until("the retry is decided", || fixture.counter("calls_ordered") == 2);
    assert!(client.read_line().starts_with("SERVER_ERROR "), "the write can no longer be served");
    assert!(
        started_at.elapsed() < ms(2000),
        "not rejected at the end of its window: {:?}",
        started_at.elapsed()
    );
    origin.open();
    if let Some(mut late) = origin.accept_within(CONNECT_AFTER_OPEN) {
        assert_eq!(late.read_all_within(ms(500)).0, b"", "nothing is sent on it");
    }
}

/// Guards against an attempt that is sent although its node began to drain or restarted, or its
/// client disconnected, while its connection was being established.
#[test]
fn a_connection_that_is_established_too_late_gets_no_attempt() {
    for change_during_connect in ["drains", "restarts", "the client disconnects"] {
        let mut node = AcceptBarrier::new();
        node.close();
        let origin = StubServer::origin(|_| StubAction::Ignore);
        let entries = [node.entry("s-0", "c6", "ready", 0), origin.entry("o", "origin", "ready")];
        let fixture = ProxyFixture::with_config_changes(&entries, &[SLOW_CONNECT]);
        let (_, updates) = fixture.discovery.next_watch();
        let mut client = fixture.client();
        client.send("mg k v O1 Pc=read,t=acme,d=5000\r\n");
        fixture.wait_until("the attempt is decided", || fixture.counter("calls_ordered") == 1);
        let change =
            |lifecycle, started| endpoint_list_json(2, false, &[node.entry("s-0", "c6", lifecycle, started)]);
        let list = match change_during_connect {
            "drains" => Some(change("draining", 0)),
            "restarts" => Some(change("ready", 1_000_000)),
            _ => None,
        };
        match list {
            Some(list) => {
                updates.send(list).unwrap();
                fixture.wait_until("the list has arrived", || fixture.counter("lists") == 1);
            }
            None => {
                drop(client);
                fixture.wait_until("the disconnect is noticed", || fixture.counter("consumers_gone") == 1);
            }
        }
        node.open();
        let mut late = node.accept_within(CONNECT_AFTER_OPEN).expect("the connection is established");
        assert_eq!(late.read_all_within(ms(300)).0, b"", "{change_during_connect}");
        fixture.wait_until("the attempt has ended", || fixture.counter("calls_moot") >= 1);
    }
}
