//! Finds keys that a newer JSON value leaves out; read [`first_missing_key`] first.

use serde_json::Value;

/// The key that may be left out, since discovery replaces the list in its value.
const CACHED_ENDPOINTS_KEY: &str = "known";

type Object = serde_json::Map<String, Value>;

/// Returns the path of the first key that `before` has and `now` leaves out; a newer configuration,
/// or newer settings, that leave out a key are rejected as incomplete. In a list of objects, each
/// object must have the keys that all objects of the list had before.
///
/// Inputs: the JSON values before and now.
/// Reason: a key that is left out by mistake would silently get its default.
pub(super) fn first_missing_key(before: &Value, now: &Value) -> Option<String> {
    match (before, now) {
        (Value::Object(before), Value::Object(now)) => missing_in_object(before, now),
        (Value::Array(before), Value::Array(now)) => missing_in_list(before, now),
        _ => None,
    }
}

fn missing_in_object(before: &Object, now: &Object) -> Option<String> {
    for (key, value) in before.iter().filter(|(key, _)| *key != CACHED_ENDPOINTS_KEY) {
        let Some(newer) = now.get(key) else { return Some(key.clone()) };
        if let Some(path) = first_missing_key(value, newer) {
            return Some(format!("{key}.{path}"));
        }
    }
    None
}

fn missing_in_list(before: &[Value], now: &[Value]) -> Option<String> {
    let mut objects = before.iter().filter_map(Value::as_object);
    let first = objects.next()?;
    let is_in_all = |key: &&String| objects.clone().all(|other| other.contains_key(*key));
    let common: Vec<&String> = first.keys().filter(is_in_all).collect();
    now.iter().enumerate().find_map(|(index, item)| {
        let key = common.iter().find(|key| item.get(key.as_str()).is_none())?;
        Some(format!("[{index}].{key}"))
    })
}

#[cfg(test)]
mod tests;
