//! Tests of how a call ends that did not go out whole.

use super::*;

/// Guards against a provider that reads nothing, told as one that cannot be connected to.
#[test]
fn a_write_that_runs_out_of_time_is_a_timeout_and_one_that_breaks_never_ran() {
    assert_eq!(unwritten(ErrorKind::TimedOut), Outcome::Timeout);
    for broken in [ErrorKind::ConnectionReset, ErrorKind::BrokenPipe, ErrorKind::WriteZero] {
        assert_eq!(unwritten(broken), Outcome::ConnectFailed, "{broken:?}");
    }
}
