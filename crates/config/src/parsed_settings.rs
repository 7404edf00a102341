//! Parses and checks the object `settings` of the configuration file or of a policy version; read
//! [`ParsedSettings`] first.

use super::check;
use super::error::ConfigError;
use super::file::{NamedEntry, ProxySettings};
use super::missing_keys::first_missing_key;
use super::names::Names;
use super::required_keys::ComparedObject;
use pinetrail_settings::settings::{Idempotency, Settings};
use serde_json::Value;
use std::time::Duration;

/// The object `settings`, parsed and checked.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the classes, tenants, kinds and zones in the object.
    pub names: Names,
    /// The maximum time for connecting to a backend.
    pub connect_timeout: Duration,
}

const MIN_CONNECT_TIMEOUT_MS: f64 = 1.0;
/// The longest time, in ms, that connecting to a backend may take. A time beyond the clock's range
/// would panic, which at SIGHUP would end a proxy that serves clients.
const MAX_CONNECT_TIMEOUT_MS: f64 = 60_000.0;
const MS_PER_SECOND: f64 = 1_000.0;

impl ParsedSettings {
    /// Parses and checks an object.
    ///
    /// # Errors
    ///
    /// The error names the first value that is not valid, by its path below the object.
    pub fn parse(json: &Value) -> Result<ParsedSettings, ConfigError> {
        let proxy: ProxySettings = serde_path_to_error::deserialize(json)?;
        let settings: Settings = serde_path_to_error::deserialize(json)?;
        let classes = names_of(proxy.classes);
        let tenants = names_of(proxy.tenants);
        check::check_settings(&settings, &classes, &tenants)?;
        let connect_timeout = parse_connect_timeout(proxy.connections.connect_timeout_ms)?;
        let names = Names {
            keyed: settings
                .classes
                .iter()
                .map(|class| class.idempotency == Idempotency::IdempotencyKey)
                .collect(),
            version: 0,
            classes,
            tenants,
            kinds: proxy.kinds,
            zones: proxy.zones,
        };
        Ok(ParsedSettings { settings, names, connect_timeout })
    }

    /// Parses and checks an object that is to replace the active object.
    ///
    /// # Errors
    ///
    /// The error names the first value that is not valid, or the first required key of the active
    /// object that is missing.
    pub fn parse_after(json: &Value, active: &Value) -> Result<ParsedSettings, ConfigError> {
        if let Some(key) = first_missing_key(active, json, ComparedObject::Settings) {
            return Err(ConfigError::MissingKey(key));
        }
        ParsedSettings::parse(json)
    }
}

fn names_of(entries: Vec<NamedEntry>) -> Vec<String> {
    entries.into_iter().map(|entry| entry.name).collect()
}

fn parse_connect_timeout(ms: f64) -> Result<Duration, ConfigError> {
    if !(MIN_CONNECT_TIMEOUT_MS..=MAX_CONNECT_TIMEOUT_MS).contains(&ms) {
        return Err(ConfigError::invalid_value("Permissions.ConnectTimeout", ms, "1 to 60000, in ms"));
    }
    Ok(Duration::from_secs_f64(ms / MS_PER_SECOND))
}
