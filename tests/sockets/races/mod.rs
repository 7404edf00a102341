//! Races: two events in the harmful order, every time. The stubs hold one event back until the test
//! releases it.

mod cancelled_requests;
mod closes;
mod kept;
mod late;
mod lists;

use crate::ms;
use pinetrail_test_harness::*;

/// The response of a cache node that holds the key.
fn hit_response(command: &str, value: &str) -> String {
    format!("VA {} {}\r\n{value}\r\n", value.len(), opaque(command))
}
