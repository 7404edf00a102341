use super::*;
use serde_json::json;

#[test]
fn what_is_a_proxys_own_is_no_part_of_the_policy() {
    let one = json!({"Zone": 1, "MyNumber": 4, "b": 2, "a": {"z": 1, "y": 2}});
    let other = json!({"a": {"y": 2, "z": 1}, "b": 2, "MyNumber": 5});
    assert_eq!(common(&one), common(&other));
    assert_eq!(common(&one), r#"{"a":{"y":2,"z":1},"b":2}"#);
    let all = with_own(&json!({"b": 3, "Zone": 9}), &one);
    assert_eq!(all, json!({"b": 3, "Zone": 1, "MyNumber": 4}));
    assert_eq!(with_own(&json!({"Zone": 9}), &other), json!({"MyNumber": 5}));
}
