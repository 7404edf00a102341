//! Tests of who decides how a long value is delivered.

use super::ValueDelivery;

#[test]
fn whoever_comes_first_decides_and_the_decision_stays() {
    let streamed = ValueDelivery::default();
    assert!(streamed.begin_stream());
    assert!(!streamed.require_complete());
    assert!(streamed.begin_stream());
    let complete = ValueDelivery::default();
    assert!(complete.require_complete());
    assert!(!complete.begin_stream());
    assert!(complete.require_complete(), "a retry of the request is held to it as well");
}
