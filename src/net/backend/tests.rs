//! Tests of the outcome of an attempt that was not written completely.

use super::attempt::unsent_outcome;
use crate::interface::Outcome;
use std::io::ErrorKind;

/// Guards against reporting a failed connection for a backend that accepts connections but reads
/// nothing.
#[test]
fn a_write_that_times_out_is_a_timeout_and_a_broken_one_is_a_failed_connection() {
    assert_eq!(unsent_outcome(ErrorKind::TimedOut), Outcome::Timeout);
    for broken in [ErrorKind::ConnectionReset, ErrorKind::BrokenPipe, ErrorKind::WriteZero] {
        assert_eq!(unsent_outcome(broken), Outcome::ConnectFailed, "{broken:?}");
    }
}
