//! Starts and crowds while discovery is of no use.

use crate::ms;
use crate::rig::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// A restarted process is ready within this time.
const READY: Duration = Duration::from_secs(10);

/// Guards against a start that waits for discovery: it refuses, or its connections never come up, or it hangs.
#[test]
fn processes_that_start_at_once_are_ready_whatever_discovery_does() {
    let node = StubServer::full_node("v");
    let (mut shut, hangs) = (AcceptBarrier::new(), TcpListener::bind("127.0.0.1:0").unwrap());
    shut.shut();
    let places = ["127.0.0.1:1".to_owned(), shut.place.to_string(), hangs.local_addr().unwrap().to_string()];
    let entries = [node.entry("s-0", "c6", "ready"), node.entry("o", "origin", "ready")];
    let begun = Instant::now();
    let processes: Vec<_> = (0..12)
        .map(|n| {
            let listen = format!("127.0.0.1:{}", free_port());
            let text = config(&listen, &places[n % 3], 256, &catalog(1, true, &entries));
            (start(&text), listen.parse().unwrap())
        })
        .collect();
    for (_, place) in &processes {
        let until = begun + READY;
        while Client::try_to(*place)
            .is_none_or(|mut client| !client.try_say("mn\r\n") || client.line() != "MN\r\n")
        {
            assert!(Instant::now() < until, "not ready in time");
            std::thread::sleep(ms(20));
        }
    }
    for (child, place) in processes {
        assert_eq!(Client::to(place).read("k", "1", 900).1, "v\r\n");
        signal(&child, "TERM");
        assert!(end(child).status.success());
    }
}

/// A port that nobody has at the moment.
fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// Guards against idle clients that leave no descriptor for discovery, nodes and the door: all that there is is held by
/// them while discovery is down, and then it is back.
#[test]
fn idle_clients_do_not_keep_the_watch_from_coming_back() {
    let node = StubServer::full_node("v");
    let entries = [node.entry("s-0", "c6", "ready"), node.entry("o", "origin", "ready")];
    let scene = ProxyFixture::with_sockets(&entries, 64);
    let down = format!("127.0.0.1:{}", free_port());
    scene.reload(&scene.discovery.place.to_string(), &down);
    scene.until("the watch is lost", || scene.count("watches_failed") > 0);
    let mut asks = scene.client();
    assert_eq!(asks.read("k", "1", 900).1, "v\r\n");
    // More than there are descriptors; those beyond wait to be accepted.
    let mut idle: Vec<Client> = (0..100).map(|_| scene.client()).collect();
    for client in &mut idle {
        client.say("mn\r\n");
    }
    let back = TcpListener::bind(&down).unwrap();
    let begun = Instant::now();
    back.set_nonblocking(true).unwrap();
    while back.accept().is_err() {
        assert!(begun.elapsed() < Duration::from_secs(6), "discovery is back, and nobody asks it");
        std::thread::sleep(ms(5));
    }
    assert_eq!(call(scene.door, "GET", "/control/ready").0, 200);
    // Its place may have been given to others meanwhile.
    let answer = scene.client().read("k", "2", 2000).1;
    assert_eq!(answer, "v\r\n");
}
