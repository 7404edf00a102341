use super::*;
use serde_json::json;

#[test]
fn local_keys_are_no_part_of_the_policy_and_are_kept_by_their_proxy() {
    let one = json!({"Zone": 1, "MyNumber": 4, "b": 2, "a": {"z": 1, "y": 2}});
    let other = json!({"a": {"y": 2, "z": 1}, "b": 2, "MyNumber": 5});

    assert_eq!(to_policy_text(&one), to_policy_text(&other));
    assert_eq!(to_policy_text(&one), r#"{"a":{"y":2,"z":1},"b":2}"#);

    let settings = with_local_keys(&json!({"b": 3, "Zone": 9}), &one);
    assert_eq!(settings, json!({"b": 3, "Zone": 1, "MyNumber": 4}));
    assert_eq!(with_local_keys(&json!({"Zone": 9}), &other), json!({"MyNumber": 5}));
}
