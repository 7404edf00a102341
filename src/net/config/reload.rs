//! What a configuration that is read again may change: [`Config::reload`] refuses one that leaves
//! keys out, [`Config::adopt`] keeps what only the next start can change.

use super::error::ConfigError;
use super::fleet::{check_calls, FleetConfig};
use super::Config;
use serde_json::Value;

/// The key that may be left out: the list in it is replaced as discovery lists more.
const KNOWN: &str = "known";

impl Config {
    /// Reads the file again.
    ///
    /// # Errors
    ///
    /// Says why the newer configuration must not become active.
    pub fn reload(&self) -> Result<Config, ConfigError> {
        let newer = Config::from_env()?;
        if let Some(key) = first_missing_key(&self.json, &newer.json) {
            return Err(ConfigError::Missing(key));
        }
        // What runs is what counts: the newer `call_ms` waits for the next start.
        check_calls(self.fleet.as_ref(), &newer.settings)?;
        Ok(newer)
    }

    /// Becomes a newer configuration, except what waits for the next start: that stays as it runs.
    pub fn adopt(&mut self, newer: Config) {
        *self = Config {
            name: std::mem::take(&mut self.name),
            fleet: self.fleet.take().map(|fleet| fleet.with_peers_of(newer.fleet)),
            listen: self.listen,
            admin: self.admin,
            limits: self.limits,
            ..newer
        };
    }

    /// The keys in which a newer configuration differs and that a running proxy cannot change.
    pub fn changes_at_restart(&self, newer: &Config) -> Vec<&'static str> {
        let mut changed = Vec::new();
        if self.name != newer.name {
            changed.push("name");
        }
        if self.listen != newer.listen {
            changed.push("listen");
        }
        if self.admin != newer.admin {
            changed.push("admin");
        }
        if self.limits != newer.limits {
            changed.push("limits");
        }
        if !is_same_but_for_peers(self.fleet.as_ref(), newer.fleet.as_ref()) {
            changed.push("fleet (but for its peers)");
        }
        changed
    }
}

fn is_same_but_for_peers(now: Option<&FleetConfig>, newer: Option<&FleetConfig>) -> bool {
    let now = now.cloned().map(|fleet| fleet.with_peers_of(newer.cloned()));
    now.as_ref() == newer
}

/// The first key that was given before and is missing now, as a path. Of a list of objects, each
/// must have the keys that all had before.
///
/// Danger: what is left out by a slip would silently fall back to a default.
pub(super) fn first_missing_key(before: &Value, now: &Value) -> Option<String> {
    match (before, now) {
        (Value::Object(before), Value::Object(now)) => missing_in_object(before, now),
        (Value::Array(before), Value::Array(now)) => missing_in_list(before, now),
        _ => None,
    }
}

type Object = serde_json::Map<String, Value>;

fn missing_in_object(before: &Object, now: &Object) -> Option<String> {
    for (key, value) in before.iter().filter(|(key, _)| *key != KNOWN) {
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
    now.iter().enumerate().find_map(|(at, item)| {
        let key = common.iter().find(|key| item.get(key.as_str()).is_none())?;
        Some(format!("[{at}].{key}"))
    })
}

#[cfg(test)]
mod tests;
