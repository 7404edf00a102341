//! The backends of the demo: cache nodes and an origin.

use pinetrail_test_harness::{http_200, opaque, StubAction, StubServer};
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Duration;

const NODE_LATENCY: Duration = Duration::from_millis(2);
const ORIGIN_LATENCY: Duration = Duration::from_millis(8);

/// Starts a cache node that lacks all keys at first and takes [`NODE_LATENCY`] for each call.
pub(super) fn node() -> StubServer {
    let present = Mutex::new(BTreeSet::new());
    StubServer::node(move |line| {
        sleep(NODE_LATENCY);
        let key = line.split(' ').nth(1).unwrap_or_default().to_owned();
        // The node serves a key from the second request on, as if the origin's value had been
        // stored after the miss.
        if present.lock().is_ok_and(|mut present| !present.insert(key.clone())) {
            StubAction::Reply(format!("VA {} {}\r\nc.{key}\r\n", key.len() + 2, opaque(line)))
        } else {
            StubAction::Reply(format!("EN {}\r\n", opaque(line)))
        }
    })
}

/// Starts an origin that takes [`ORIGIN_LATENCY`] for each call. The value that it returns contains
/// the requested path.
pub(super) fn origin() -> StubServer {
    StubServer::origin(|head| {
        sleep(ORIGIN_LATENCY);
        let path = head.split_whitespace().nth(1).unwrap_or("/");
        http_200(&format!("o.{}", path.trim_start_matches('/')))
    })
}
