//! Watches of the endpoint list: updates, failures, and the move to another address at SIGHUP.

use crate::{idle_origin, ms};
use pinetrail_test_harness::*;
use std::thread::sleep;
use std::time::Instant;

#[test]
fn a_draining_node_of_a_watched_list_gets_no_new_request() {
    let (old, new) = (StubServer::hit_node("old"), StubServer::hit_node("new"));
    let fixture = ProxyFixture::new(&[old.entry("s-0", "c6", "ready")]);
    let mut client = fixture.client();
    assert_eq!(client.get("k", "1", 900).1, "old\r\n");
    let (line, updates) = fixture.discovery.next_watch();
    assert_eq!(line, "GET /catalog/members?watch=1&after=1 HTTP/1.1");
    let changes = [old.entry("s-0", "c6", "draining"), new.entry("s-1", "c6", "ready")];
    updates.send(endpoint_list_json(2, false, &changes)).unwrap();
    fixture.wait_until("the change is known", || fixture.counter("lists") == 1);
    for n in 2..20 {
        assert_eq!(client.get("k", &n.to_string(), 900).1, "new\r\n");
    }
    assert_eq!(old.received().len(), 1);
    // A watch that ends is opened again, from the last known generation on.
    drop(updates);
    let (line, updates) = fixture.discovery.next_watch();
    assert_eq!(line, "GET /catalog/members?watch=1&after=2 HTTP/1.1");
    // An older generation reverts no change: the proxy requests the complete list instead.
    updates.send(endpoint_list_json(1, false, &[old.entry("s-0", "c6", "ready")])).unwrap();
    let (line, updates) = fixture.discovery.next_watch();
    assert_eq!(line, "GET /catalog/members?watch=1&after=0 HTTP/1.1");
    for n in 20..30 {
        assert_eq!(client.get(&format!("k{n}"), &n.to_string(), 900).1, "new\r\n");
    }
    // A complete list replaces changes of a higher generation, so that drains are noticed after
    // discovery has restarted with lower generations.
    let complete_list = [old.entry("s-0", "c6", "ready"), new.entry("s-1", "c6", "draining")];
    updates.send(endpoint_list_json(1, true, &complete_list)).unwrap();
    fixture.wait_until("the list has arrived", || fixture.counter("lists") == 2);
    for n in 30..40 {
        assert_eq!(client.get(&format!("k{n}"), &n.to_string(), 900).1, "old\r\n");
    }
}

/// Guards against a list that is rejected because it is indented or arrives in parts, and against
/// an incomplete list that keeps a watch alive.
#[test]
fn an_indented_endpoint_list_is_accepted() {
    let node = StubServer::hit_node("s");
    let fixture = ProxyFixture::with_backends(&[&node, &node], &idle_origin());
    let (_, updates) = fixture.discovery.next_watch();
    let draining_list = endpoint_list_json(2, false, &[node.entry("s-0", "c6", "draining")]);
    let list: serde_json::Value = serde_json::from_str(&draining_list).unwrap();
    updates.send(serde_json::to_string_pretty(&list).unwrap()).unwrap();
    fixture.wait_until("the list has arrived", || fixture.counter("lists") == 1);
    let next_list = endpoint_list_json(3, false, &[]);
    let (first, rest) = next_list.split_at(next_list.find(',').unwrap());
    updates.send(first.to_owned()).unwrap();
    updates.send(rest.to_owned()).unwrap();
    fixture.wait_until("the list in two parts has arrived", || fixture.counter("lists") == 2);
    assert_eq!(fixture.counter("watches_failed"), 0);
    // Empty lines arrive, but the rest of this list never does.
    updates.send("{\n".to_owned()).unwrap();
    for _ in 0..40 {
        std::thread::sleep(ms(100));
        updates.send(String::new()).unwrap_or(());
    }
    assert!(fixture.counter("watches_failed") > 0, "an incomplete list does not keep a watch alive");
    let (line, _) = fixture.discovery.next_watch();
    assert_eq!(line, "GET /catalog/members?watch=1&after=3 HTTP/1.1");
}

/// Guards against a proxy that never opens a watch: with pushed lists no poll starts one.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_again_after_an_outage() {
    let node = StubServer::hit_node("s");
    let entries = [node.entry("s-0", "c6", "ready")];
    let fixture = ProxyFixture::with_config_change(&entries, r#""Discovery":"ask""#, r#""Discovery":"push""#);
    let (line, updates) = fixture.discovery.next_watch();
    assert_eq!(line, "GET /catalog/members?watch=1&after=1 HTTP/1.1");
    updates.send(endpoint_list_json(2, false, &[node.entry("s-0", "c6", "draining")])).unwrap();
    fixture.wait_until("the list has arrived", || fixture.counter("lists") == 1);
    drop(updates);
    let (line, _) = fixture.discovery.next_watch();
    assert_eq!(line, "GET /catalog/members?watch=1&after=2 HTTP/1.1");
}

/// Guards against a watch that stays open and silent because discovery has become unreachable.
#[test]
fn a_silent_watch_is_replaced() {
    let fixture = ProxyFixture::new(&[]);
    let (_, updates) = fixture.discovery.next_watch();
    let started_at = Instant::now();
    for _ in 0..3 {
        sleep(ms(900));
        updates.send(String::new()).unwrap();
    }
    assert_eq!(fixture.counter("watches_failed"), 0, "an empty line keeps the watch alive");
    fixture.discovery.next_watch();
    assert!(started_at.elapsed() > ms(2700 + 2000), "the watch is replaced only after a missed heartbeat");
}

/// Guards against a SIGHUP that leaves the watch at the old address, applies an invalid file, or
/// ends the process.
#[test]
fn sighup_moves_the_watch_and_an_invalid_file_changes_nothing() {
    let (old, new) = (StubServer::hit_node("old"), StubServer::hit_node("new"));
    let fixture = ProxyFixture::new(&[old.entry("s-0", "c6", "ready")]);
    let (_, old_updates) = fixture.discovery.next_watch();
    let new_discovery = Discovery::new();
    fixture.reload(&fixture.discovery.address.to_string(), &new_discovery.address.to_string());
    let started_at = Instant::now();
    let (line, updates) = new_discovery.next_watch();
    assert!(started_at.elapsed() < ms(200), "the watch moves without the backoff of a failed watch");
    assert_eq!(line, "GET /catalog/members?watch=1&after=1 HTTP/1.1");
    updates
        .send(endpoint_list_json(
            2,
            false,
            &[old.entry("s-0", "c6", "gone"), new.entry("s-1", "c6", "ready")],
        ))
        .unwrap();
    fixture.wait_until("the change is known", || fixture.counter("lists") == 1);
    assert_eq!(fixture.client().get("k", "1", 900).1, "new\r\n");
    drop(old_updates);
    fixture.reload("{", "");
    fixture.wait_until("the invalid file is rejected", || fixture.counter("reloads_failed") == 1);
    updates
        .send(endpoint_list_json(
            3,
            false,
            &[old.entry("s-2", "c6", "ready"), new.entry("s-1", "c6", "gone")],
        ))
        .unwrap();
    fixture.wait_until("the watch continues", || fixture.counter("lists") == 2);
    assert_eq!(fixture.client().get("k", "2", 900).1, "old\r\n");
    assert_eq!((fixture.counter("reloads"), fixture.counter("watches")), (1, 2));
}
