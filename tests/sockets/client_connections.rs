//! Client connections: pipelines, malformed input, silence, floods, and evictions.

use crate::{idle_origin, ms};
use pinetrail_test_harness::*;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Guards against memory that grows with a pipeline of small commands, because the proxy reads them
/// faster than it executes them.
#[test]
fn an_endless_pipeline_takes_no_memory() {
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[], &origin);
    let before = fixture.memory_mb();
    let flood = std::net::TcpStream::connect(fixture.client_address).unwrap();
    let mut responses = flood.try_clone().unwrap();
    let reader = std::thread::spawn(move || std::io::copy(&mut responses, &mut std::io::sink()));
    flood.set_write_timeout(Some(ms(100))).unwrap();
    let (until, pipeline) = (Instant::now() + ms(2000), "mn\r\n".repeat(4000));
    while Instant::now() < until {
        // The write times out while the proxy does not read.
        let _ = std::io::Write::write(&mut &flood, pipeline.as_bytes());
    }
    let growth_mb = fixture.memory_mb() - before;
    assert!(growth_mb < 6, "memory grew by {growth_mb} MB");
    flood.shutdown(std::net::Shutdown::Both).unwrap();
    let _ = reader.join();
}

/// Guards against stalled commands: those beyond the number that may wait are already in the
/// proxy's buffer, so the poller does not report them again.
#[test]
fn many_commands_on_one_connection_are_answered_in_order() {
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    let pipeline: String =
        (0..300).map(|n| format!("mg k{n} v O{n} Pc=read,t=acme,d=900\r\nmn\r\n")).collect();
    client.send(&pipeline);
    for n in 0..300 {
        // Not all of 300 concurrent requests are admitted: a rejection is a response as well.
        let line = client.read_line();
        if line.starts_with("VA ") {
            assert_eq!((line, client.read_line()), (format!("VA 1 O{n}\r\n"), "v\r\n".into()))
        } else {
            assert!(line.starts_with("SERVER_ERROR busy "), "{line}")
        }
        assert_eq!(client.read_line(), "MN\r\n");
    }
}

#[test]
fn malformed_input_is_answered_and_harms_no_other_client() {
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    assert_eq!(client.request("flush_all\r\n"), "ERROR\r\n");
    for bad in [
        "mg\r\n",
        "mg k v Pc=read,t=acme,d=9\r\n",
        "mg k v O1 Pc=read,t=acme\r\n",
        "mg k v O1 Pc=nothing,t=acme,d=9\r\n",
        "mg k v O1 Pc=read,t=nobody,d=9\r\n",
        "mg k v O1 Pc=read,t=acme,d=-1\r\n",
        "mg k v O1 Pc=read,t=acme,d=inf\r\n",
        "mg k v O1 Pc=read,t=acme,d=1e3\r\n",
        "mg k v O1 Pc=read,t=acme,d=9,d=8\r\n",
        "ms k 2 O1 Pc=put,t=acme,d=9\r\nab\r\n",
        "mg k v t O1 Pc=read,t=acme,d=9\r\n",
        "ms k 2 v O1 Pc=put,t=acme,d=9\r\nab\r\n",
        "mn\n",
        "mg k\u{7f} v O1 Pc=read,t=acme,d=9\r\n",
    ] {
        let response = client.request(bad);
        assert!(response.starts_with("CLIENT_ERROR "), "{bad:?} -> {response:?}");
    }
    assert_eq!(client.get("k", "1", 900).1, "v\r\n", "the connection stays open");
    for closing in [
        "ms k 65537 O1 Pc=put,t=acme,d=9\r\n".to_owned(),
        "ms k none O1 Pc=put,t=acme,d=9\r\n".to_owned(),
        "ms k 1 O1 Pc=put,t=acme,d=9\r\nlong\r\n".to_owned(),
        format!("mg {}", "k".repeat(2048)),
    ] {
        let mut client = fixture.client();
        assert!(client.request(&closing).starts_with("CLIENT_ERROR "), "{closing:?}");
        assert_eq!(client.read_line(), "", "the connection is closed");
    }
    assert_eq!(node.received().len(), 1, "no malformed command was forwarded");
}

/// Guards against clients that hold connections without sending a complete command.
#[test]
fn half_a_command_is_answered_with_an_error_and_silence_with_a_close() {
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let started_at = Instant::now();
    let (mut half, mut silent, mut value) = (fixture.client(), fixture.client(), fixture.client());
    half.send("mg k v O1");
    value.send("ms k 5 O2 Pc=put,t=acme,d=900,k=5c\r\nhel");
    for client in [&mut half, &mut value] {
        assert_eq!(
            (client.read_line().as_str(), client.read_line().as_str()),
            ("CLIENT_ERROR no whole command in time\r\n", "")
        );
    }
    assert_eq!(silent.read_line(), "");
    assert!(started_at.elapsed() < ms(3000), "{:?}", started_at.elapsed());
    assert_eq!((fixture.counter("consumers_late"), node.received().len()), (3, 0));
}

/// Guards against a lost error response: a connection that closes with unread input is reset, and
/// the reset may discard the response.
#[test]
fn an_error_arrives_though_more_is_being_sent() {
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    client.send("ms k 60000000 O1 Pc=put,t=acme,d=900,k=5c\r\n");
    client.send(&"x".repeat(700_000));
    assert_eq!(
        (client.read_line().as_str(), client.read_line().as_str()),
        ("CLIENT_ERROR value too large\r\n", "")
    );
    let started_at = Instant::now();
    while client.try_send(&"x".repeat(100_000)) {
        assert!(started_at.elapsed() < ms(3000), "the proxy reads the input without end");
    }
}

/// Guards against two responses under one id, of which a client could use the wrong one.
#[test]
fn an_opaque_id_that_is_in_use_elsewhere_is_an_error() {
    let node = StubServer::node(|line| {
        sleep(ms(300));
        StubAction::Reply(format!("VA 1 {}\r\nv\r\n", opaque(line)))
    });
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let (mut first, mut other) = (fixture.client(), fixture.client());
    first.send("mg k v O1 Pc=read,t=acme,d=900\r\n");
    fixture.wait_until("the node has the request", || node.received().len() == 1);
    assert_eq!(other.request("mg j v O1 Pc=read,t=acme,d=900\r\n"), "CLIENT_ERROR the id is in use\r\n");
    assert_eq!((first.read_line().as_str(), first.read_line().as_str()), ("VA 1 O1\r\n", "v\r\n"));
    assert_eq!(node.received().len(), 1);
    assert_eq!(other.get("j", "1", 900).1, "v\r\n", "the id may be used again");
}

/// Guards against clients that occupy the worker by sending malformed input at full speed, so that
/// other clients are not served.
#[test]
fn clients_that_send_malformed_input_do_not_occupy_the_worker() {
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let malformed = "no such command\r\n".repeat(2000) + &"mn\r\n".repeat(20_000);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            let (mut bad, malformed) = (fixture.client(), &malformed);
            scope.spawn(move || {
                bad.send(malformed);
                assert_eq!(bad.read_line(), "ERROR\r\n");
            });
        }
        let mut good = fixture.client();
        for n in 0..50 {
            let started_at = Instant::now();
            assert_eq!(good.get("k", &n.to_string(), 900).1, "v\r\n");
            assert!(started_at.elapsed() < ms(300), "{:?}", started_at.elapsed());
        }
    });
}

/// Guards against clients that occupy all connections by sending malformed input again and again:
/// these clients are never idle.
#[test]
fn clients_that_send_malformed_input_do_not_occupy_all_connections() {
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
    let fixture = ProxyFixture::with_sockets(&entries, 64);
    let (address, stop) = (fixture.client_address, std::sync::atomic::AtomicBool::new(false));
    std::thread::scope(|scope| {
        for _ in 0..30 {
            scope.spawn(|| {
                while !stop.load(Ordering::SeqCst) {
                    let mut bad = Client::connect(address);
                    let mut is_answered =
                        || bad.try_send("no such command\r\n") && bad.read_line() == "ERROR\r\n";
                    while is_answered() && !stop.load(Ordering::SeqCst) {
                        sleep(Duration::ZERO);
                    }
                }
            });
        }
        sleep(ms(500));
        let responses: Vec<String> =
            (0..10).map(|n| fixture.client().get("k", &n.to_string(), 900).1).collect();
        stop.store(true, Ordering::SeqCst);
        assert_eq!(responses, ["v\r\n"; 10]);
    });
}

/// Guards against memory that grows with responses that clients request and do not read.
#[test]
fn memory_stays_within_its_limit() {
    let value = "v".repeat(65_536);
    let node =
        StubServer::node(move |line| StubAction::Reply(format!("VA 65536 {}\r\n{value}\r\n", opaque(line))));
    let entries = [node.entry("s-0", "c6", "ready")];
    let fixture = ProxyFixture::with_limits(&entries, 256, 32);
    let mut clients: Vec<Client> = (0..100).map(|_| fixture.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let read_command = |n| format!("mg k v O{number}.{n} Pc=read,t=acme,d=2000\r\n");
        client.send(&(0..60).map(read_command).collect::<String>());
    }
    sleep(ms(2500));
    assert!(fixture.memory_mb() < 32, "{} MB", fixture.memory_mb());
    for client in &mut clients {
        let line = client.read_line();
        assert!(line.starts_with("VA 65536 ") || line.starts_with("SERVER_ERROR busy"), "{line:?}");
    }
}

#[test]
fn idle_client_connections_make_room_for_new_ones() {
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
    let fixture = ProxyFixture::with_sockets(&entries, 64);
    let mut clients: Vec<Client> = (0..60).map(|_| fixture.client()).collect();
    assert_eq!(clients[59].get("k", "1", 900).1, "v\r\n");
    // 40 descriptors are shared, 30 of them for clients while backends need few.
    let eviction_counters = ["consumers_evicted", "consumers_hopeless", "consumers_over_budget"];
    let closed: u64 = eviction_counters.into_iter().map(|name| fixture.counter(name)).sum();
    assert!(closed >= 60 - 30, "{closed} idle connections closed");
}

/// Guards against connections that are held by clients that will not use them again, while others
/// cannot connect. The active clients hold up to a third of the descriptors, send one request on
/// each connection and keep it open; the idle ones send nothing.
#[test]
fn clients_that_send_one_request_and_stay_are_disconnected_in_time() {
    const SOCKETS: usize = 96;
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
    let fixture = ProxyFixture::with_sockets(&entries, SOCKETS);
    let (mut active, mut idle): (Vec<Client>, Vec<Client>) = (Vec::new(), Vec::new());
    let (mut attempted, mut served) = (0, 0);
    let started_at = Instant::now();
    for round in 0..200u64 {
        sleep((started_at + ms(round * 20)).saturating_duration_since(Instant::now()));
        idle.push(fixture.client());
        idle.retain(|client| !client.is_closed());
        active.retain(|client| !client.is_closed());
        // The first 1.5 s, in which the proxy learns whether connections are used again, do not
        // count.
        let counts = usize::from(round >= 75);
        attempted += counts;
        if active.len() < SOCKETS / 3 {
            let mut client = fixture.client();
            let served_now = client.get(&format!("k{round}"), &round.to_string(), 900).1 == "v\r\n";
            served += counts * usize::from(served_now);
            active.push(client);
        }
    }
    // If each were kept for 2.2 s, 32 connections would carry only 15 of the 50 requests a second.
    assert!(served * 10 >= attempted * 9, "{served} of {attempted} requests served");
    assert!(fixture.counter("consumers_hopeless") > 0);
    // During a planned restart idle connections are evicted for as long as clients may connect.
    fixture.signal("TERM");
    let started_at = Instant::now();
    let (mut attempted, mut served) = (0, 0);
    while started_at.elapsed() < ms(350) {
        attempted += 1;
        active.retain(|client| !client.is_closed());
        if active.len() < SOCKETS / 3 {
            let mut client = fixture.client();
            served +=
                usize::from(client.get(&format!("t{attempted}"), &format!("t{attempted}"), 900).1 == "v\r\n");
            active.push(client);
        }
        sleep(ms(6));
    }
    // If connections were kept through the drain, all 32 would be idle after 0.2 s.
    assert!(served * 10 >= attempted * 8, "{served} of {attempted} requests served after SIGTERM");
}
