//! Race conditions: two events happen in the harmful order at every run, since the stubs hold one
//! event back until the test releases it.

mod broken_values;
mod cancelled_requests;
mod closes;
mod kept;
mod late;
mod lists;
mod pipelines;
mod repeated_ids;
mod slow_values;

use crate::{ms, serve_short_values, SHORT_VALUES};
use pinetrail_test_harness::*;

/// Returns the response of a cache node that has the key.
fn hit_response(command: &str, value: &str) -> String {
    format!("VA {} {}\r\n{value}\r\n", value.len(), opaque(command))
}
