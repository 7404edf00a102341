//! New processes at the addresses of processes that have gone.

use crate::ms;
use pinetrail_test_harness::*;
use std::thread::sleep;
use std::time::{SystemTime, UNIX_EPOCH};

/// Time after which the old origin ends, in the middle of a write.
const LIFETIME_MS: u64 = 200;

/// Returns an entry whose process starts now.
#[allow(clippy::disallowed_methods, reason = "compared with the start times that discovery lists")]
fn started_now(entry: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    entry.replace(r#""startedAtMs":0"#, &format!(r#""startedAtMs":{now}"#))
}

/// Guards against a write that runs at an origin that ends, and again at the process that takes its
/// address, listed under the old id or another one.
#[test]
fn a_write_that_an_origin_may_have_run_is_not_sent_to_its_successor() {
    for successor in ["o", "o2"] {
        let node = StubServer::miss_node();
        let origin = StubServer::origin(|request| {
            if request.contains("X-Txn: first") {
                sleep(ms(LIFETIME_MS));
                return StubAction::Disconnect;
            }
            http_200("r2")
        });
        let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
        let fixture = ProxyFixture::new(&entries);
        let (_, updates) = fixture.discovery.next_watch();
        let mut client = fixture.client();
        client.send("ms k 2 Ofirst Pc=confirm,t=acme,d=900\r\nv1\r\n");
        fixture.wait_until("the origin has the write", || !origin.received().is_empty());
        let mut change = vec![started_now(&origin.entry(successor, "origin", "ready"))];
        if successor != "o" {
            change.push(origin.entry("o", "origin", "gone"));
        }
        updates.send(endpoint_list_json(2, false, &change)).unwrap();
        fixture.wait_until("the change is known", || fixture.counter("lists") == 1);
        assert_eq!(client.read_line(), "SERVER_ERROR failed\r\n", "{successor}");
        assert_eq!(client.request("ms k 2 Osecond Pc=confirm,t=acme,d=900\r\nv2\r\n"), "HD Osecond cr2\r\n");
        let is_first = |request: &&String| request.contains("X-Txn: first");
        assert_eq!(origin.received().iter().filter(is_first).count(), 1, "{successor}");
        assert_eq!(origin.connected(), 2, "{successor}: the successor has a connection of its own");
    }
}
