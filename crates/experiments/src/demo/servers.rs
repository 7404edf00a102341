//! What the proxies of the demo call: cache nodes and an origin.

use pinetrail_test_harness::{http_200, opaque, StubAction, StubServer};
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Duration;

/// A cache node that lacks some keys at first and takes a moment for each call.
pub(super) fn node() -> StubServer {
    let present = Mutex::new(BTreeSet::new());
    StubServer::node(move |line| {
        sleep(Duration::from_millis(2));
        let key = line.split(' ').nth(1).unwrap_or_default().to_owned();
        // It has a key from the second time on: after a miss the origin's value is put there.
        if present.lock().is_ok_and(|mut present| !present.insert(key.clone())) {
            StubAction::Reply(format!("VA {} {}\r\nc.{key}\r\n", key.len() + 2, opaque(line)))
        } else {
            StubAction::Reply(format!("EN {}\r\n", opaque(line)))
        }
    })
}

/// An origin that is slow, and names the request that it answers.
pub(super) fn origin() -> StubServer {
    StubServer::origin(|head| {
        sleep(Duration::from_millis(8));
        let path = head.split_whitespace().nth(1).unwrap_or("/");
        http_200(&format!("o.{}", path.trim_start_matches('/')))
    })
}
