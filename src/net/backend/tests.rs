//! Tests of the outcome of an attempt that was not sent whole.

use super::attempt::unsent_outcome;
use crate::interface::Outcome;
use std::io::ErrorKind;

/// Guards against a backend that reads nothing, reported as one that cannot be connected to.
#[test]
fn a_write_that_runs_out_of_time_is_a_timeout_and_one_that_breaks_never_ran() {
    assert_eq!(unsent_outcome(ErrorKind::TimedOut), Outcome::Timeout);
    for broken in [ErrorKind::ConnectionReset, ErrorKind::BrokenPipe, ErrorKind::WriteZero] {
        assert_eq!(unsent_outcome(broken), Outcome::ConnectFailed, "{broken:?}");
    }
}
