//! Finds keys that a newer JSON value leaves out; read [`first_missing_key`] first.

use super::required_keys::ComparedObject;
use serde_json::Value;

type Object = serde_json::Map<String, Value>;

/// Returns the path of the first required key that `before` has and `now` leaves out; a newer
/// configuration, or newer settings, that leave out such a key are rejected as incomplete. In a
/// list of objects, each object must have the required keys that all objects of the list had
/// before.
///
/// Inputs: the JSON values before and now, and the object that they are, which decides which keys
/// are required.
/// Reason: a key that is left out by mistake would silently get its default.
pub(super) fn first_missing_key(before: &Value, now: &Value, compared: ComparedObject) -> Option<String> {
    Comparison { compared }.in_value(before, now, "")
}

/// The comparison of two values of one object. The last parameter of its functions is the path of
/// the compared values, as [`ComparedObject`] has it; the result is the path below it, for
/// operators.
struct Comparison {
    compared: ComparedObject,
}

impl Comparison {
    fn in_value(&self, before: &Value, now: &Value, path: &str) -> Option<String> {
        match (before, now) {
            (Value::Object(before), Value::Object(now)) => self.in_object(before, now, path),
            (Value::Array(before), Value::Array(now)) => self.in_list(before, now, path),
            _ => None,
        }
    }

    fn in_object(&self, before: &Object, now: &Object, path: &str) -> Option<String> {
        before.iter().find_map(|(key, value)| {
            let key_path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            match now.get(key) {
                Some(newer) => {
                    let below = self.in_value(value, newer, &key_path)?;
                    Some(format!("{key}.{below}"))
                }
                None => self.compared.requires(&key_path).then(|| key.clone()),
            }
        })
    }

    fn in_list(&self, before: &[Value], now: &[Value], path: &str) -> Option<String> {
        let mut objects = before.iter().filter_map(Value::as_object);
        let first = objects.next()?;
        let is_in_all = |key: &str| objects.clone().all(|other| other.contains_key(key));
        let is_required = |key: &str| self.compared.requires(&format!("{path}[].{key}"));
        let common = first.keys().filter(|key| is_in_all(key) && is_required(key));
        let common: Vec<&String> = common.collect();
        now.iter().enumerate().find_map(|(index, item)| {
            let key = common.iter().find(|key| item.get(key.as_str()).is_none())?;
            Some(format!("[{index}].{key}"))
        })
    }
}

#[cfg(test)]
mod tests;
