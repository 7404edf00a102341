//! Tests of the expectation of long values.

use super::{ValueHistory, MIN_SHORT_VALUES};

/// Guards against pipelines that stay serial where no value is long, and against requests that are
/// executed behind a long value after the first one was seen.
#[test]
fn long_values_are_expected_until_many_short_ones_were_served_in_a_row() {
    let history = ValueHistory::default();
    for _ in 0..2 {
        for number in 0..MIN_SHORT_VALUES {
            assert!(history.expects_long_values(), "after {number}");
            history.record_short();
        }
        assert!(!history.expects_long_values());
        history.record_short();
        assert!(!history.expects_long_values());
        history.record_long();
    }
}
