//! Two events that cross, each in the order that does harm, every time: the parties hold back what
//! the test lets go.

mod cancelled_requests;
mod closes;
mod kept;
mod late;
mod lists;

use crate::ms;
use pinetrail_test_harness::*;

/// What a party within a test says of a key that it holds.
fn value(command: &str, value: &str) -> String {
    format!("VA {} {}\r\n{value}\r\n", value.len(), opaque(command))
}
