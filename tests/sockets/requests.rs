//! Requests from clients to cache nodes or the origin, and the responses to them.

use crate::{idle_origin, ms, origin_with_body};
use pinetrail_test_harness::*;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Instant;

#[test]
fn a_read_returns_the_value_of_the_node_unchanged() {
    let (node, origin) = (StubServer::hit_node("hello"), idle_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let (line, value) = fixture.client().get("7f3a", "9b1f", 480);
    assert_eq!((line.as_str(), value.as_str()), ("VA 5 O9b1f\r\n", "hello\r\n"));
    let received = node.received();
    let d: u32 = received[0]
        .strip_prefix("mg 7f3a v O9b1f Pc=read,t=acme,d=")
        .and_then(|rest| rest.trim().parse().ok())
        .expect("the command is forwarded unchanged but for d");
    assert!((1..=480).contains(&d), "d is what remains: {d}");
    assert!(origin.received().is_empty());
}

#[test]
fn a_miss_and_a_write_go_to_the_origin() {
    let (node, origin) = (StubServer::miss_node(), origin_with_body("r7"));
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    assert_eq!(client.get("a/b", "1", 900), ("VA 2 O1\r\n".into(), "r7\r\n".into()));
    assert_eq!(client.request("ms w 5 O2 Pc=put,t=acme,d=900,k=5c\r\nhello\r\n"), "HD O2 cr7\r\n");
    let received = origin.received();
    assert!(received[0].starts_with("GET /a%2Fb HTTP/1.1\r\n") && received[0].contains("\r\nX-Txn: 1\r\n"));
    assert!(received[1].starts_with("PUT /w HTTP/1.1\r\n") && received[1].ends_with("\r\n\r\nhello"));
    assert!(received[1].contains("\r\nX-Labels: c=put,t=acme,d=") && received[1].contains(",k=5c\r\n"));
    assert_eq!(node.received().len(), 1, "the write did not go to the node");
}

#[test]
fn a_write_that_the_origin_rejected_is_retried() {
    let rejection = "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
    let attempts = std::sync::atomic::AtomicUsize::new(0);
    let origin = StubServer::origin(move |_| match attempts.fetch_add(1, Ordering::SeqCst) {
        0 => StubAction::Reply(rejection.into()),
        _ => http_200("r1"),
    });
    let fixture = ProxyFixture::with_backends(&[], &origin);
    assert_eq!(fixture.client().request("ms w 1 O2 Pc=put,t=acme,d=900,k=5c\r\nx\r\n"), "HD O2 cr1\r\n");
    assert_eq!((fixture.counter("calls_full"), fixture.counter("calls_ok")), (1, 1));
}

/// Guards against a request that fails because one node refuses connections: an attempt that never
/// connected was not executed, so a retry is safe for every effect.
#[test]
fn a_read_goes_to_another_node_if_one_refuses_connections() {
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let unreachable = StubServer::unreachable();
    let fixture = ProxyFixture::with_backends(&[&unreachable, &node], &origin);
    let mut client = fixture.client();
    for n in 0..20 {
        assert_eq!(client.get(&format!("k{n}"), &n.to_string(), 900).1, "v\r\n");
    }
    assert!(fixture.counter("calls_connect_failed") >= 1);
    assert_eq!((fixture.counter("answered_served"), fixture.counter("calls_ok")), (20, 20));
}

#[test]
fn a_silent_node_leads_to_a_rejection_in_time_and_loses_its_connection() {
    let (node, origin) = (StubServer::node(|_| StubAction::Ignore), idle_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let started_at = Instant::now();
    let (line, _) = fixture.client().get("k", "1", 300);
    assert!(
        started_at.elapsed() < ms(600),
        "the request did not end at its own deadline but at its class's: {:?}",
        started_at.elapsed()
    );
    assert_eq!(line, "SERVER_ERROR busy 500\r\n", "the rejection has a Retry-After");
    fixture.wait_until("the attempt is cancelled", || node.disconnected() == 1);
    assert_eq!((fixture.counter("calls_timeout"), node.received().len()), (1, 1));
}

#[test]
fn a_read_without_any_backend_is_rejected() {
    let fixture = ProxyFixture::new(&[]);
    let line = fixture.client().get("k", "1", 200).0;
    assert!(line.starts_with("SERVER_ERROR busy "), "{line}");
}

#[test]
fn a_client_that_disconnects_gets_no_response() {
    let (node, origin) = (StubServer::node(|_| StubAction::Ignore), idle_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    client.send("mg k v O1 Pc=read,t=acme,d=400\r\n");
    fixture.wait_until("the node has the request", || node.received().len() == 1);
    drop(client);
    fixture.wait_until("the disconnect is noticed", || fixture.counter("consumers_gone") == 1);
    fixture.wait_until("the attempt ends nevertheless", || fixture.counter("calls_timeout") == 1);
    assert_eq!(fixture.counter("answered_failed") + fixture.counter("answered_rejected"), 0);
}

/// Guards against attempts that open a new connection instead of reusing one, and against attempts
/// that reuse a connection that broke while it was idle or that the node is about to close for its
/// age.
#[test]
fn open_backend_connections_are_reused_until_they_break_or_grow_old() {
    let node = StubServer::node(|line| {
        if line.starts_with("mg bye ") {
            StubAction::Disconnect
        } else {
            StubAction::Reply(format!("VA 1 {}\r\nv\r\n", opaque(line)))
        }
    });
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    for n in 0..20 {
        assert_eq!(client.get("k", &n.to_string(), 900).1, "v\r\n");
    }
    assert_eq!((node.connected(), fixture.counter("provider_connections")), (1, 1));
    assert!(
        client.get("bye", "20", 300).0.starts_with("SERVER_ERROR "),
        "the connection of each attempt ends"
    );
    fixture.wait_until("all connections are closed", || node.disconnected() == node.connected());
    let resets = fixture.counter("calls_reset");
    // The node is ejected as an outlier for about a second.
    fixture.wait_until("the node is tried again", || fixture.client().get("k", "21", 900).1 == "v\r\n");
    assert_eq!(fixture.counter("calls_reset"), resets, "no attempt used a broken connection");
    // The settings allow connections to be idle for 1.5 s.
    let until = Instant::now() + ms(1400 + 1000);
    while node.disconnected() < node.connected() {
        assert!(Instant::now() < until, "an old connection is still open");
        sleep(ms(10));
    }
}

/// Guards against ids of keys and nodes that depend on the order of a list or on the process. The
/// names of the last two nodes hash to the same id.
#[test]
fn two_proxies_choose_the_same_node_for_a_key() {
    let nodes = [StubServer::hit_node("0"), StubServer::hit_node("1"), StubServer::hit_node("2")];
    let names = ["node", "s-5be2a07c", "t-5be2a07c"];
    let entries: Vec<String> =
        nodes.iter().zip(names).map(|(node, name)| node.entry(name, "c6", "ready")).collect();
    let reversed: Vec<String> = entries.iter().rev().cloned().collect();
    let chosen_nodes = |fixture: ProxyFixture| -> Vec<String> {
        let mut client = fixture.client();
        (0..30).map(|n| client.get(&format!("key{n}"), &n.to_string(), 900).1).collect()
    };
    let (one, other) =
        (chosen_nodes(ProxyFixture::new(&entries)), chosen_nodes(ProxyFixture::new(&reversed)));
    assert_eq!(one, other);
    assert!(["0\r\n", "1\r\n", "2\r\n"].iter().all(|name| one.iter().any(|choice| choice == name)));
}

/// Guards against a leak: a timer that outlives its request holds a stack until the deadline.
#[test]
fn an_answered_request_leaves_no_timer_behind() {
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    let mut send_reads = |from: u32| {
        for n in from..from + 1000 {
            assert_eq!(client.get("k", &n.to_string(), 50_000).1, "v\r\n");
            sleep(ms(1));
        }
    };
    send_reads(0);
    let before = fixture.memory_mb();
    for n in 1..4 {
        send_reads(n * 1000);
    }
    assert!(fixture.memory_mb() <= before + 8, "from {before} to {} MB", fixture.memory_mb());
}

/// Guards against a connection to a removed node that is used for a new node at the same address.
#[test]
fn a_new_node_at_an_old_address_gets_new_connections() {
    let node = StubServer::hit_node("v");
    let fixture = ProxyFixture::new(&[node.entry("s-0", "c6", "ready")]);
    let (_, updates) = fixture.discovery.next_watch();
    let mut client = fixture.client();
    assert_eq!(client.get("k", "1", 900).1, "v\r\n");
    let change = [node.entry("s-0", "c6", "gone"), node.entry("s-1", "c6", "ready")];
    updates.send(endpoint_list_json(2, false, &change)).unwrap();
    fixture.wait_until("the change is known", || fixture.counter("lists") == 1);
    fixture.wait_until("the old connection ends", || node.disconnected() == 1);
    assert_eq!(client.get("k", "2", 900).1, "v\r\n");
    assert_eq!(node.connected(), 2);
}

/// Guards against lost timers: the library has one timer list for each duration, and is unsafe to
/// use with more than 1024 durations.
#[test]
fn requests_with_many_deadlines_are_all_answered() {
    let (node, origin) = (StubServer::node(|_| StubAction::Ignore), idle_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    for round in 0..2 {
        let mut clients: Vec<(Client, usize)> = (0..48).map(|number| (fixture.client(), number)).collect();
        for (client, number) in &mut clients {
            let read_command = |n: usize| {
                format!(
                    "mg k{number}.{n} v O{round}.{number}.{n} Pc=read,t=acme,d={}\r\n",
                    20 + n * 48 + *number
                )
            };
            client.send(&(0..60).map(read_command).collect::<String>());
        }
        for (client, _) in &mut clients {
            for _ in 0..60 {
                assert!(client.read_line().starts_with("SERVER_ERROR "));
            }
        }
    }
    assert_eq!(fixture.counter("overdue"), 0);
}
