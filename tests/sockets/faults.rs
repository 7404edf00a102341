//! Error paths of the real process, checked against the history that the harness recorded from
//! outside.

use crate::ms;
use pinetrail_history_checker::{check, History, HistoryEvent, NodeState, Reason, Time};
use pinetrail_test_harness::recorder::Recorder;
use pinetrail_test_harness::*;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::Instant;

/// Time for which the recording continues after the last response, in ms.
const RECORDING_AFTER_MS: Time = 5000.0;

/// Returns the behavior of a backend that fails in the way that the key names, and serves other
/// keys.
fn fails_by_key(http: bool) -> impl Fn(&str) -> StubAction + Send + Sync + 'static {
    move |request| {
        let id = opaque(request).to_owned();
        let served = match (http, request.starts_with("mg ")) {
            (true, _) => "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv".to_owned(),
            (false, true) => format!("VA 1 {id}\r\nv\r\n"),
            (false, false) => format!("HD {id} cv\r\n"),
        };
        let path = request.split([' ', '/']).find(|word| word.contains('.')).unwrap_or_default();
        match path.split('.').next() {
            Some("breaks") => StubAction::Disconnect,
            Some("half") => StubAction::ReplyWith(Box::new(move |stream| {
                // The proxy may have closed the connection by now.
                let _ = stream.write_all(&served.as_bytes()[..served.len() - 2]);
            })),
            Some("silent") => StubAction::Ignore,
            Some("fails") if http => StubAction::Reply("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".into()),
            Some("fails") => StubAction::Reply("SERVER_ERROR failed\r\n".into()),
            Some("full") if http => {
                StubAction::Reply("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".into())
            }
            Some("full") => StubAction::Reply("SERVER_ERROR busy\r\n".into()),
            Some("missing") if !http => StubAction::Reply(format!("EN {id}\r\n")),
            _ => StubAction::Reply(served),
        }
    }
}

/// Guards against effects that happen twice, second or late responses, and a proxy that stops
/// serving, when attempts fail half way: on a new and on a reused connection, for each kind of
/// effect.
#[test]
fn attempts_that_fail_half_way_keep_the_rules_for_every_effect() {
    let (one, other) = (StubServer::node(fails_by_key(false)), StubServer::node(fails_by_key(false)));
    let origin = StubServer::origin(fails_by_key(true));
    let fixture = ProxyFixture::with_backends(&[&one, &other], &origin);
    let mut number = 0;
    for reuses_connection in [false, true] {
        for failure in ["breaks", "half", "silent", "fails", "full"] {
            for class in ["read", "put", "confirm"] {
                number += 1;
                let mut client = fixture.client();
                if reuses_connection {
                    assert!(client
                        .set("put", &format!("good.{number}"), &format!("w{number}"), 900)
                        .starts_with("HD "));
                }
                let (key, id) = (format!("{failure}.{number}"), number.to_string());
                let line = match class {
                    "read" => client.get(&key, &id, 500).0,
                    _ => client.set(class, &key, &id, 500),
                };
                assert!(line.starts_with("SERVER_ERROR "), "{failure} {class}: {line}");
                let may_repeat = line.starts_with("SERVER_ERROR busy");
                assert!(class != "confirm" || may_repeat == (failure == "full"), "{failure} {class}: {line}");
            }
        }
    }
    assert!(fixture.client().get("good.z", "z", 900).0.starts_with("VA "), "the proxy still serves");
    Recorder::current().check();
    assert_eq!((fixture.counter("overdue"), fixture.counter("panics")), (0, 0));
}

/// Guards against misses that get no response because the leader of the fetch that they wait for
/// disconnects, or because the fetch fails.
#[test]
fn misses_that_wait_for_a_fetch_are_answered_however_it_ends() {
    let node = StubServer::miss_node();
    let fetches = AtomicUsize::new(0);
    let origin = StubServer::origin(move |_| match fetches.fetch_add(1, Ordering::SeqCst) {
        // The fetch of the leader, which has disconnected before this response.
        0 => StubAction::ReplyWith(Box::new(|stream| {
            sleep(ms(300));
            let _ = stream.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
        })),
        1 => StubAction::Disconnect,
        _ => http_200("v"),
    });
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let leader = fixture.client();
    let leader_thread = thread::spawn(move || leader.request_and_disconnect("k", "lead", ms(100)));
    fixture.wait_until("the fetch is in flight", || origin.received().len() == 1);
    let waiters: Vec<_> = (0..4)
        .map(|n| {
            let mut client = fixture.client();
            thread::spawn(move || client.get("k", &format!("w{n}"), 1500).0)
        })
        .collect();
    leader_thread.join().unwrap();
    for waiter in waiters {
        let line = waiter.join().unwrap();
        assert!(line.starts_with("VA ") || line.starts_with("SERVER_ERROR busy "), "{line}");
    }
    assert!(origin.received().len() >= 2, "another request led a fetch");
    Recorder::current().check();
}

/// Guards against a proxy without a backend that keeps clients waiting: each must get a Retry-After
/// at once, or after half of its latency objective.
#[test]
fn with_every_node_and_the_origin_down_all_requests_are_rejected_with_a_retry_after() {
    let (node, origin) = (StubServer::hit_node("v"), StubServer::origin(|_| http_200("v")));
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let (_, updates) = fixture.discovery.next_watch();
    let gone = [node.entry("s-0", "c6", "draining"), origin.entry("o", "origin", "gone")];
    updates.send(endpoint_list_json(2, false, &gone)).unwrap();
    fixture.wait_until("the list has arrived", || fixture.counter("lists") == 1);
    for (n, class) in ["read", "put", "confirm"].into_iter().enumerate() {
        let (mut client, started_at, id) = (fixture.client(), Instant::now(), n.to_string());
        let line = match class {
            "read" => client.get("k", &id, 2000).0,
            _ => client.set(class, "k", &id, 2000),
        };
        assert!(line.starts_with("SERVER_ERROR busy "), "{class}: {line}");
        assert!(started_at.elapsed() < ms(1500), "the client does not wait until its deadline");
    }
    assert_eq!((node.received().len(), origin.received().len()), (0, 0));
    Recorder::current().check();
}

/// Guards against requests that are lost because further signals disturb a drain or a reload.
#[test]
fn signals_during_a_drain_or_a_reload_lose_no_request() {
    let node = StubServer::node(|line| {
        sleep(ms(300));
        StubAction::Reply(format!("VA 1 {}\r\nv\r\n", opaque(line)))
    });
    let origin = StubServer::origin(|_| http_200("v"));
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let clients: Vec<_> = (0..8)
        .map(|n| {
            let mut client = fixture.client();
            thread::spawn(move || client.get(&format!("k{n}"), &n.to_string(), 900).0)
        })
        .collect();
    fixture.wait_until("all are in flight", || node.received().len() == 8);
    for name in ["HUP", "HUP", "TERM", "HUP", "USR1", "TERM", "HUP"] {
        fixture.signal(name);
    }
    assert!(clients.into_iter().all(|client| client.join().unwrap().starts_with("VA ")));
    let output = fixture.wait_for_exit();
    assert!(output.status.success(), "{output:?}");
    Recorder::current().record_exit();
    Recorder::current().check();
}

/// Starts a cache node that occasionally fails, in each of several ways.
fn unreliable_node() -> StubServer {
    let requests = AtomicUsize::new(0);
    let respond = fails_by_key(false);
    StubServer::node(move |line| match requests.fetch_add(1, Ordering::SeqCst) % 23 {
        3 => StubAction::Disconnect,
        7 => StubAction::Ignore,
        11 => StubAction::Reply("SERVER_ERROR busy\r\n".into()),
        17 => StubAction::Reply("SERVER_ERROR failed\r\n".into()),
        _ => respond(line),
    })
}

/// Starts an origin that occasionally fails.
fn unreliable_origin() -> StubServer {
    let requests = AtomicUsize::new(0);
    StubServer::origin(move |_| match requests.fetch_add(1, Ordering::SeqCst) % 19 {
        5 => StubAction::Disconnect,
        9 => StubAction::Reply("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".into()),
        _ => http_200("v"),
    })
}

/// Sends 60 requests of all classes, one after the other. The harness records the responses.
fn send_requests_of_all_classes(client: &mut Client, client_number: usize) {
    for n in 0..60 {
        let id = format!("{client_number}x{n}");
        let kind = if n % 5 == 0 { "missing" } else { "good" };
        match n % 10 {
            4 => {
                client.set("put", &format!("w.{id}"), &id, 400);
            }
            9 => {
                client.set("confirm", &format!("w.{id}"), &id, 400);
            }
            _ => {
                client.get(&format!("{kind}.{}", n % 30), &id, 400);
            }
        }
    }
}

/// Checks that the history checker rejects the recording without its last response.
fn assert_a_missing_response_is_found(history: &History) {
    let is_response = |event: &(Time, HistoryEvent)| matches!(event.1, HistoryEvent::ResponseReceived { .. });
    let last = history.events.iter().rposition(is_response).unwrap();
    let HistoryEvent::ResponseReceived { request, .. } = history.events[last].1.clone() else {
        unreachable!()
    };
    // The recording continues until the deadline of every request.
    let end = history.events[last].0 + RECORDING_AFTER_MS;
    let mut without_response = history.clone();
    without_response.events.remove(last);
    without_response.events.push((end, HistoryEvent::ClientDisconnected { request: request.clone() }));

    let found = check(&without_response).unwrap();

    assert_eq!(
        found.iter().map(|b| (b.reason, b.subject.clone())).collect::<Vec<_>>(),
        [(Reason::MissingResponse, request)]
    );
}

/// Checks that the history checker rejects the same attempts if this node is listed as draining
/// from the beginning on, without a grace period.
fn assert_an_attempt_at_a_draining_node_is_found(history: History, draining_address: &str) {
    let mut changed_history = History { clock_error: 0.0, ..history };
    for (_, event) in &mut changed_history.events {
        match event {
            HistoryEvent::ConfigActivated { limits, .. } => limits.drain_grace = 0.0,
            HistoryEvent::EndpointsListed { nodes, .. } => {
                for node in nodes.iter_mut().filter(|node| node.address == draining_address) {
                    node.state = NodeState::Draining;
                }
            }
            _ => {}
        }
    }

    let found = check(&changed_history).unwrap();

    assert!(
        found.iter().any(|b| (b.reason, &*b.subject) == (Reason::Draining, draining_address)),
        "{found:?}"
    );
}

/// Guards against violations of the rules by the real process under faults of every kind, with a
/// node that drains, one that is removed and returns, and reloads; and against a checker that
/// misses violations: it must accept the recording, and reject it without one response or with an
/// attempt at a draining node.
#[test]
fn requests_under_faults_of_every_kind_keep_the_rules() {
    let nodes = [unreliable_node(), unreliable_node(), unreliable_node()];
    let origin = unreliable_origin();
    let fixture = ProxyFixture::with_backends(&nodes.iter().collect::<Vec<_>>(), &origin);
    let (_, watch) = fixture.discovery.next_watch();
    let mut clients = Vec::new();
    for number in 0..8 {
        let mut client = fixture.client();
        clients.push(thread::spawn(move || send_requests_of_all_classes(&mut client, number)));
    }

    let entry = |n: usize, lifecycle| nodes[n].entry(&format!("s-{n}"), "c6", lifecycle);
    for (generation, changes) in [(2, entry(0, "draining")), (3, entry(1, "gone")), (4, entry(1, "ready"))] {
        sleep(ms(400));
        watch.send(endpoint_list_json(generation, false, &[changes])).unwrap();
        fixture.signal("HUP");
    }
    for client in clients {
        client.join().unwrap();
    }

    Recorder::current().check();
    let history = Recorder::current().history();
    assert_a_missing_response_is_found(&history);
    assert_an_attempt_at_a_draining_node_is_found(history, &nodes[0].address.to_string());
}
