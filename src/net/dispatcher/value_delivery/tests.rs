//! Tests of who decides how a long value is delivered.

use super::RequestBehind::{Read, Write};
use super::ValueDelivery;

#[test]
fn whoever_comes_first_decides_and_a_stream_continues() {
    let streamed = ValueDelivery::default();
    assert!(streamed.begin_stream());
    assert!(!streamed.require_complete(Read) && !streamed.require_complete(Write));
    assert!(streamed.begin_stream());
    let complete = ValueDelivery::default();
    assert!(complete.require_complete(Read));
    assert!(!complete.begin_stream());
    assert!(complete.require_complete(Read), "a retry of the request is held to it as well");
}

/// Guards against a write that ran and whose response is lost with a value that breaks off.
#[test]
fn a_late_value_is_streamed_only_if_no_write_is_behind_it() {
    let before_reads = ValueDelivery::default();
    assert!(before_reads.require_complete(Read));
    assert!(before_reads.stream_incomplete());
    assert!(!before_reads.require_complete(Write), "nothing more is executed behind it");
    for requests in [&[Write][..], &[Read, Write], &[Write, Read]] {
        let before_write = ValueDelivery::default();
        assert!(requests.iter().all(|request| before_write.require_complete(*request)));
        assert!(!before_write.stream_incomplete(), "{requests:?}");
        assert!(!before_write.begin_stream(), "{requests:?}");
    }
}
