//! What a proxy decides by: the object `settings`, read and checked, wherever it comes from.

use super::{check, ConfigError, Names};
use crate::settings::{Effect, Settings};
use serde::Deserialize;
use serde_json::Value;
use std::time::Duration;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Named {
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Connecting {
    #[serde(default = "connect_timeout")]
    connect_timeout: f64,
}

fn connect_timeout() -> f64 {
    250.0
}

/// Those of the settings that the module has no use for.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Words {
    grades: Vec<Named>,
    #[serde(default)]
    orgs: Vec<Named>,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    zones: Vec<String>,
    permissions: Connecting,
}

/// The object, read and checked.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// The module's.
    pub settings: Settings,
    /// What names mean.
    pub names: Names,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
}

/// Danger: a time beyond what the clock can hold would end a proxy that serves, at SIGHUP.
const MAX_CONNECT_TIMEOUT_MS: f64 = 60_000.0;

impl ParsedSettings {
    /// Reads the object. The error names what is wrong.
    pub fn parse(given: &Value) -> Result<ParsedSettings, ConfigError> {
        let words: Words = serde_path_to_error::deserialize(given)?;
        let settings: Settings = serde_path_to_error::deserialize(given)?;
        let name_of = |named: Vec<Named>| named.into_iter().map(|n| n.name).collect::<Vec<String>>();
        let (classes, tenants) = (name_of(words.grades), name_of(words.orgs));
        check::check(&settings, &classes, &tenants)?;
        let timeout = words.permissions.connect_timeout;
        if !(1.0..=MAX_CONNECT_TIMEOUT_MS).contains(&timeout) {
            let value = timeout.to_string();
            return Err(ConfigError::Field {
                field: "Permissions.ConnectTimeout".to_owned(),
                value,
                wanted: "1 to 60000, in ms",
            });
        }
        let names = Names {
            keyed: settings.classes.iter().map(|class| class.effect == Effect::Keyed).collect(),
            version: 0,
            classes,
            tenants,
            kinds: words.kinds,
            zones: words.zones,
        };
        Ok(ParsedSettings { settings, names, connect_timeout: Duration::from_secs_f64(timeout / 1000.0) })
    }

    /// The same put in force after what is; the error says why it must not be.
    pub fn parse_after(given: &Value, before: &Value) -> Result<ParsedSettings, ConfigError> {
        if let Some(key) = check::missing(before, given) {
            return Err(ConfigError::Missing(key));
        }
        ParsedSettings::parse(given)
    }
}
