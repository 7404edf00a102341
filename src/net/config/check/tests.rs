use super::*;

#[test]
fn a_key_that_was_told_before_is_missed() {
    let value = |text: &str| serde_json::from_str::<Value>(text).unwrap();
    let before = value(r#"{"a":{"b":1},"known":{"x":1},"list":[{"n":1,"m":2},{"n":2}],"plain":[1]}"#);
    let of = |text| missing(&before, &value(text));
    assert_eq!(of(r#"{"a":{"b":2,"c":3},"list":[{"n":1}],"plain":[],"new":0}"#), None);
    assert_eq!(of(r#"{"a":{},"list":[],"plain":[]}"#).as_deref(), Some("a.b"));
    assert_eq!(of(r#"{"a":{"b":1},"list":[{"n":1},{"m":1}],"plain":[]}"#).as_deref(), Some("list.[1].n"));
    assert_eq!(of(r#"{"a":{"b":1},"list":[]}"#).as_deref(), Some("plain"));
}
