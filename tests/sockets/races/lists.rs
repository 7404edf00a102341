//! Failures of discovery, and changes of the endpoint list during them.

use super::*;
use std::time::{Duration, Instant};

/// Time within which a proxy must know a change after discovery has it and is reachable.
const CHANGE_KNOWN_WITHIN: Duration = Duration::from_millis(6000);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Starts a proxy and moves its watch to a discovery that the test controls. Returns the proxy,
/// this discovery, its first watch, and the cache node.
fn fixture_with_controlled_discovery() -> (ProxyFixture, AcceptBarrier, AcceptedConnection, StubServer) {
    let node = StubServer::hit_node("v");
    let fixture = ProxyFixture::with_backends(&[&node], &StubServer::origin(|_| StubAction::Ignore));
    let discovery = AcceptBarrier::new();
    fixture.reload(&fixture.discovery.address.to_string(), &discovery.address.to_string());
    let mut poll = discovery.accept().expect("the watch moves");
    assert!(poll.read_request(true).is_some());
    (fixture, discovery, poll, node)
}

/// Guards against a change that becomes known too late: the watch falls silent just before the
/// change, and the next watch hangs, is rejected, or breaks. Only the watch after that delivers the
/// change.
#[test]
fn a_change_during_a_silent_watch_is_known_in_time_however_the_next_watch_fails() {
    for failure in ["hangs", "is refused", "ends", "trickles"] {
        let (fixture, discovery, mut watch, node) = fixture_with_controlled_discovery();
        assert!(watch.send(HEAD) && watch.send(&chunk("")));
        let silent_since = Instant::now();
        let mut poll = discovery.accept().expect("a silent watch is replaced");
        assert!(poll.read_request(true).is_some());
        match failure {
            "is refused" => {
                let _ = poll.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            }
            // A response head that never ends.
            "trickles" => {
                let _ = poll.send("HTTP/1.1 200 OK\r\nTransfer-");
            }
            _ => {}
        }
        let open_poll = (failure != "ends").then_some(poll);
        let mut poll = discovery.accept().expect("discovery is polled again");
        assert!(poll.read_request(true).is_some());
        assert!(
            poll.send(HEAD)
                && poll.send(&chunk(&endpoint_list_json(2, false, &[node.entry("s-0", "c6", "draining")])))
        );
        fixture.wait_until("the list has arrived", || fixture.counter("lists") == 1);
        assert!(silent_since.elapsed() < CHANGE_KNOWN_WITHIN, "{failure}: {:?}", silent_since.elapsed());
        let line = fixture.client().get("k", "1", 300).0;
        assert!(line.starts_with("SERVER_ERROR busy"), "the only node drains: {line}");
        assert_eq!(node.received(), Vec::<String>::new(), "{failure}");
        drop(open_poll);
    }
}

/// Guards against polls of discovery that come too late after an outage because many polls failed
/// before, or so often that hundreds of proxies would overload discovery.
#[test]
fn a_failing_discovery_is_retried_often_enough_and_not_too_often() {
    let (_fixture, discovery, mut poll, _) = fixture_with_controlled_discovery();
    let mut failed_at = Vec::new();
    for _ in 0..6 {
        poll.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        failed_at.push(Instant::now());
        poll = discovery.accept().expect("discovery is polled again");
        assert!(poll.read_request(true).is_some());
    }
    let gaps: Vec<Duration> = failed_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    // Changes at a new address must be known 4 s after SIGHUP.
    assert!(gaps[0] < ms(1500), "{gaps:?}");
    // After such a gap a poll may hang until its timeout, and the next one still comes in time.
    assert!(gaps.iter().all(|gap| *gap < ms(3400)), "{gaps:?}");
    assert!(gaps[1..].iter().all(|gap| *gap > ms(1900)), "{gaps:?}");
}

/// Guards against a discovery agent that is polled again too late because many polls have failed:
/// with pushed lists changes must be known at once.
#[test]
fn a_discovery_that_is_back_is_polled_at_once() {
    let node = StubServer::hit_node("v");
    let entries = [node.entry("s-0", "c6", "ready")];
    let fixture = ProxyFixture::with_config_change(&entries, r#""Discovery":"ask""#, r#""Discovery":"push""#);
    let agent = AcceptBarrier::new();
    fixture.reload(&fixture.discovery.address.to_string(), &agent.address.to_string());
    let mut last_poll = Instant::now();
    for number in 0..8 {
        let mut poll = agent.accept().expect("the agent is polled again");
        assert!(number == 0 || last_poll.elapsed() < ms(900), "poll {number}: {:?}", last_poll.elapsed());
        assert!(poll.read_request(true).is_some());
        last_poll = Instant::now();
    }
}

/// Guards against a watch that does not move to the new address, because the connection to the old
/// one is never established.
#[test]
fn a_move_does_not_wait_for_a_connection_to_the_old_address() {
    let node = StubServer::hit_node("v");
    let fixture = ProxyFixture::with_backends(&[&node], &StubServer::origin(|_| StubAction::Ignore));
    let (mut old, new) = (AcceptBarrier::new(), AcceptBarrier::new());
    old.close();
    let addresses = [fixture.discovery.address, old.address, new.address].map(|address| address.to_string());
    fixture.reload(&addresses[0], &addresses[1]);
    fixture.wait_until("the watch has moved", || fixture.counter("watches") == 2);
    let started_at = Instant::now();
    fixture.reload(&addresses[1], &addresses[2]);
    let mut poll = new.accept().expect("the watch moves again");
    assert!(poll.read_request(true).is_some());
    // Changes at the new address must be known 4 s after SIGHUP; a poll may take 1.4 s of that.
    assert!(started_at.elapsed() < ms(2000), "{:?}", started_at.elapsed());
}

/// Guards against a change that is lost because it arrives together with the end of its watch. No
/// later watch succeeds.
#[test]
fn a_list_that_arrives_with_the_end_of_its_watch_is_applied() {
    let node = StubServer::hit_node("v");
    let fixture = ProxyFixture::new(&[node.entry("s-0", "c6", "ready")]);
    let mut discovery = AcceptBarrier::new();
    fixture.reload(&fixture.discovery.address.to_string(), &discovery.address.to_string());
    let mut watch = discovery.accept().expect("the watch moves");
    assert!(watch.read_request(true).is_some());
    let list = endpoint_list_json(2, false, &[node.entry("s-0", "c6", "draining")]);
    let chunk = format!("{:x}\r\n{list}\r\n", list.len());
    discovery.close();
    watch.send(&format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}0\r\n\r\n"));
    drop(watch);

    fixture.wait_until("the list has arrived", || fixture.counter("lists") == 1);
    assert!(fixture.client().get("k", "1", 900).0.starts_with("SERVER_ERROR "), "the node drains");
    assert_eq!(node.received().len(), 0);
}
