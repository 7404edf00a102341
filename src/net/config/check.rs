//! What must hold of settings beyond their form, and what a newer configuration may not leave out.

use super::{Catalog, ConfigError, Instance, Names};
use crate::settings::{Class, Effect, Settings};
use serde_json::Value;
use std::net::SocketAddr;

/// The most classes: their number is one byte.
const MOST_CLASSES: usize = 255;
/// The most calls of an invocation: they are numbered by one byte.
const MOST_ATTEMPTS: u32 = 255;
/// Not compared: it is replaced as discovery tells more.
const KNOWN: &str = "known";

/// Whether settings, with the names of their classes and tenants, make sense.
pub(super) fn check(settings: &Settings, classes: &[String], tenants: &[String]) -> Result<(), ConfigError> {
    if settings.classes.is_empty() || settings.classes.len() > MOST_CLASSES {
        return Err(bad("Grades", settings.classes.len(), "a list of 1 to 255 classes"));
    }
    named_once("Grades[].Name", classes)?;
    named_once("Orgs[].Name", tenants)?;
    for (class, name) in settings.classes.iter().zip(classes) {
        check_class(class, name)?;
    }
    if !(1..=MOST_ATTEMPTS).contains(&settings.limits.max_attempts) {
        return Err(bad("Permissions.MaxAttempts", settings.limits.max_attempts, "1 to 255"));
    }
    if settings.group_size == 0 {
        return Err(bad("GroupSize", 0, "above 0"));
    }
    let (limits, safety) = (&settings.limits, &settings.safety);
    let above_0 = [
        ("Tick", settings.tick),
        ("Safety.StartCapacity", safety.start_capacity),
        ("Safety.FallMultiple", safety.fall_multiple),
        ("Safety.TipAfter", safety.tip_after),
    ];
    let others = [
        ("Permissions.ConnIdle", limits.conn_idle),
        ("Permissions.MaxRetryAfter", limits.max_retry_after),
        ("Safety.Cold", safety.cold),
        ("Safety.MustAskIn", safety.must_ask_in),
    ];
    above_0.into_iter().try_for_each(|(field, figure)| above(field, figure))?;
    others.into_iter().try_for_each(|(field, figure)| not_below_0(field, figure))
}

/// Whether a list of providers can be true: what contradicts itself would only be found out by requests.
pub(super) fn check_known(known: &Catalog, names: &Names, origin_kind: i64) -> Result<(), ConfigError> {
    let is_origin = |node: &Instance| i64::from(names.kind(&node.machine_type)) == origin_kind;
    for (at, node) in known.instances.iter().enumerate() {
        let field = |key: &str| format!("known.instances[{at}].{key}");
        let id = &node.instance_id;
        if id.is_empty() || known.instances[..at].iter().any(|other| other.instance_id == *id) {
            return Err(bad(&field("instanceId"), id, "a name given once"));
        }
        if node.host_port.parse::<SocketAddr>().is_err() {
            return Err(bad(&field("hostPort"), &node.host_port, "an IP address and port"));
        }
        if !["ready", "draining", "gone"].contains(&node.lifecycle.as_str()) {
            return Err(bad(&field("lifecycle"), &node.lifecycle, "ready, draining or gone"));
        }
        not_below_0(&field("weight"), f64::from(node.weight))?;
        not_below_0(&field("startedAtMs"), node.started_at_ms)?;
    }
    if origin_kind >= 0 && !known.instances.is_empty() && !known.instances.iter().any(is_origin) {
        Err(bad("known.instances", known.instances.len(), "a list with the origin in it"))
    } else {
        Ok(())
    }
}

fn check_class(class: &Class, name: &str) -> Result<(), ConfigError> {
    let field = |key: &str| format!("Grades[{name}].{key}");
    above(&field("Aim"), class.aim)?;
    above(&field("GiveUp"), class.give_up)?;
    if class.effect == Effect::Keyed {
        above(&field("RepeatWindow"), class.repeat_window)?;
    }
    not_below_0(&field("Worth"), class.worth)
}

fn not_below_0(field: &str, figure: f64) -> Result<(), ConfigError> {
    if figure.is_finite() && figure >= 0.0 {
        Ok(())
    } else {
        Err(bad(field, figure, "0 or above"))
    }
}

fn above(field: &str, figure: f64) -> Result<(), ConfigError> {
    if figure.is_finite() && figure > 0.0 {
        Ok(())
    } else {
        Err(bad(field, figure, "given and above 0"))
    }
}

fn named_once(field: &str, names: &[String]) -> Result<(), ConfigError> {
    let twice = names.iter().enumerate().find(|(at, name)| name.is_empty() || names[..*at].contains(name));
    twice.map_or(Ok(()), |(_, name)| Err(bad(field, name, "a name given once")))
}

fn bad(field: &str, value: impl ToString, wanted: &'static str) -> ConfigError {
    ConfigError::Field { field: field.to_owned(), value: value.to_string(), wanted }
}

/// The first key that was told before and is missing now, as a path. Danger: what is left out by a slip would
/// silently fall back to a default. Of a list of objects, each must have the keys that all had before.
pub(super) fn missing(before: &Value, now: &Value) -> Option<String> {
    match (before, now) {
        (Value::Object(before), Value::Object(now)) => {
            before.iter().filter(|(key, _)| *key != KNOWN).find_map(|(key, value)| match now.get(key) {
                None => Some(key.clone()),
                Some(newer) => missing(value, newer).map(|path| format!("{key}.{path}")),
            })
        }
        (Value::Array(before), Value::Array(now)) => {
            let mut objects = before.iter().filter_map(Value::as_object);
            let first = objects.next()?;
            let common: Vec<&String> =
                first.keys().filter(|key| objects.clone().all(|other| other.contains_key(*key))).collect();
            now.iter().enumerate().find_map(|(at, item)| {
                let key = common.iter().find(|key| item.get(key.as_str()).is_none())?;
                Some(format!("[{at}].{key}"))
            })
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;
