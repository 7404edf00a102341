//! Tests which keys a newer configuration must have.

use super::*;

#[test]
fn a_key_that_a_newer_configuration_leaves_out_is_named() {
    let value = |text: &str| serde_json::from_str::<Value>(text).unwrap();
    let before = value(r#"{"a":{"b":1},"known":{"x":1},"list":[{"n":1,"m":2},{"n":2}],"plain":[1]}"#);
    let missing = |text| first_missing_key(&before, &value(text));
    assert_eq!(missing(r#"{"a":{"b":2,"c":3},"list":[{"n":1}],"plain":[],"new":0}"#), None);
    assert_eq!(missing(r#"{"a":{},"list":[],"plain":[]}"#).as_deref(), Some("a.b"));
    assert_eq!(
        missing(r#"{"a":{"b":1},"list":[{"n":1},{"m":1}],"plain":[]}"#).as_deref(),
        Some("list.[1].n")
    );
    assert_eq!(missing(r#"{"a":{"b":1},"list":[]}"#).as_deref(), Some("plain"));
}
