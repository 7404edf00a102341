//! What the proxy is told at its start and at SIGHUP: the JSON object that `LB_CONFIG` names.

mod check;
mod fleet;
#[cfg(test)]
mod golden_tests;
mod policy;
mod rules;

use super::descriptors::{DOOR as DOOR_SOCKETS, FLEET as FLEET_SOCKETS};

use crate::settings::Settings;
pub use fleet::{FleetConfig, QuotaConfig};
pub use policy::{nearest_known, PolicyConfig};
pub use rules::ParsedSettings;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why a start cannot go on.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    #[error("LB_CONFIG is not set: it names the configuration file")]
    Unset,
    /// The file cannot be read.
    #[error("configuration {path}: {error}")]
    Read {
        /// The file.
        path: String,
        /// What went wrong.
        error: std::io::Error,
    },
    /// The file is not the object expected.
    #[error("configuration: {0}")]
    Form(#[from] serde_json::Error),
    /// A part of it is not what is expected there.
    #[error("configuration: {path}: {error}")]
    At {
        /// Where.
        path: String,
        /// What is there, and what should be.
        error: serde_json::Error,
    },
    /// What was told before is left out.
    #[error("configuration: the key {0} is missing")]
    Missing(String),
    /// The fleet cannot be as it is told to.
    #[error("configuration: fleet: {0}")]
    Fleet(String),
    /// A field holds no legal value.
    #[error("configuration: {field} {value:?} is not {wanted}")]
    Field {
        /// The field.
        field: String,
        /// Its value.
        value: String,
        /// What it should be.
        wanted: &'static str,
    },
}

impl ConfigError {
    /// The same of what lies at this place.
    fn below(self, place: &str) -> ConfigError {
        match self {
            ConfigError::At { path, error } if path == "." => {
                ConfigError::At { path: place.to_owned(), error }
            }
            ConfigError::At { path, error } => ConfigError::At { path: format!("{place}.{path}"), error },
            ConfigError::Field { field, value, wanted } => {
                ConfigError::Field { field: format!("{place}.{field}"), value, wanted }
            }
            other => other,
        }
    }
}

impl From<serde_path_to_error::Error<serde_json::Error>> for ConfigError {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> ConfigError {
        ConfigError::At { path: error.path().to_string(), error: error.into_inner() }
    }
}

/// One entry of the list of providers, in discovery's form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// Its name, the same at every proxy.
    pub instance_id: String,
    /// Where it is reached from here.
    pub host_port: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default)]
    pub machine_type: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u16,
    /// `ready`, `draining` or `gone`.
    pub lifecycle: String,
    /// Its relative size.
    #[serde(default = "one")]
    pub weight: f32,
    /// Unix time of its last start in ms; 0 means long ago.
    #[serde(default)]
    pub started_at_ms: f64,
}

fn one() -> f32 {
    1.0
}

/// A list of providers, or changes to it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Catalog {
    /// Its version.
    #[serde(default)]
    pub generation: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub reset: bool,
    /// Its entries.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Limits {
    /// Open sockets at the most.
    #[serde(default = "sockets")]
    pub sockets: usize,
    /// Memory at the most, in MB.
    #[serde(default = "memory_mb")]
    pub memory_mb: usize,
}

fn sockets() -> usize {
    1024
}

fn memory_mb() -> usize {
    192
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: sockets(), memory_mb: memory_mb() }
    }
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Catalog,
    admin: Option<String>,
    fleet: Option<fleet::FleetFile>,
    settings: serde_json::Value,
}

/// What names on the sockets mean to the module: each is its place in the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Which version of the settings they belong to: set when that is put in force.
    pub version: u64,
    classes: Vec<String>,
    keyed: Vec<bool>,
    tenants: Vec<String>,
    kinds: Vec<String>,
    zones: Vec<String>,
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl Names {
    /// What counts of them in each part of the settings, as text.
    pub fn digest_parts(&self) -> [(&'static str, String); 4] {
        [
            ("Grades", format!("{:?} {:?}", self.classes, self.keyed)),
            ("Orgs", format!("{:?}", self.tenants)),
            ("Kinds", format!("{:?}", self.kinds)),
            ("Zones", format!("{:?}", self.zones)),
        ]
    }

    /// The names of the classes, for the log.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The class of a name.
    pub fn class(&self, name: &str) -> Option<u8> {
        place(&self.classes, name).and_then(|at| u8::try_from(at).ok())
    }

    /// Whether the writes of a class carry a key by which repeats are dropped.
    pub fn is_keyed(&self, class: u8) -> bool {
        self.keyed.get(usize::from(class)).copied().unwrap_or(false)
    }

    /// The tenant of a name; the first where the site has none.
    pub fn tenant(&self, name: &str) -> Option<u32> {
        if self.tenants.is_empty() {
            Some(0)
        } else {
            place(&self.tenants, name).and_then(|at| u32::try_from(at).ok())
        }
    }

    /// The kind of a name; unknown ones share the last number.
    pub fn kind(&self, name: &str) -> u8 {
        place(&self.kinds, name).and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX)
    }

    /// The zone of a name; unknown ones share the last number.
    pub fn zone(&self, name: &str) -> u16 {
        place(&self.zones, name).and_then(|at| u16::try_from(at).ok()).unwrap_or(u16::MAX)
    }
}

/// The whole configuration, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// This proxy's name.
    pub name: String,
    /// Where consumers connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators call, if they may.
    pub admin: Option<SocketAddr>,
    /// The fleet that it belongs to, if any.
    pub fleet: Option<FleetConfig>,
    /// For random numbers.
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    /// The providers as last known.
    pub known: Catalog,
    /// The module's settings.
    pub settings: Settings,
    /// Names on the sockets.
    pub names: Names,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// The file as it came.
    given: serde_json::Value,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names.
    pub fn from_env() -> Result<Config, ConfigError> {
        let path = std::env::var("LB_CONFIG").map_err(|_| ConfigError::Unset)?;
        let text = std::fs::read(&path).map_err(|error| ConfigError::Read { path, error })?;
        // The variable belongs to this process alone; the file may name the door of the next one already.
        let admin = std::env::var("LB_ADMIN").ok().filter(|admin| !admin.is_empty());
        Config::from_json(&text, admin)
    }

    /// Reads the object; `admin`, if any, stands for the address that it names. The error names what is wrong.
    pub fn from_json(text: &[u8], admin: Option<String>) -> Result<Config, ConfigError> {
        let given: serde_json::Value = serde_json::from_slice(text)?;
        let file: File = serde_path_to_error::deserialize(&given)?;
        let rules = ParsedSettings::parse(&file.settings).map_err(|error| error.below("settings"))?;
        let (settings, names) = (rules.settings, rules.names);
        if file.limits.memory_mb < MIN_MEMORY_MB {
            let value = file.limits.memory_mb.to_string();
            return Err(ConfigError::Field {
                field: "limits.memory_mb".to_owned(),
                value,
                wanted: "at least 16",
            });
        }
        let named = file.admin.filter(|admin| !admin.is_empty());
        let admin = match admin.or(named) {
            Some(admin) => Some(address("admin (or LB_ADMIN)", admin)?),
            None => None,
        };
        let fleet = file.fleet.map(|fleet| fleet::fleet(fleet, &file.name)).transpose()?;
        fleet::check_calls(fleet.as_ref(), &settings)?;
        let (least, wanted) = match (&admin, &fleet) {
            (None, None) => (MIN_SOCKETS, "at least 32"),
            (Some(_), None) => (MIN_SOCKETS + DOOR_SOCKETS, "at least 50 with a door for operators"),
            (None, Some(_)) => (MIN_SOCKETS + FLEET_SOCKETS, "at least 33 in a fleet"),
            (Some(_), Some(_)) => {
                (MIN_SOCKETS + DOOR_SOCKETS + FLEET_SOCKETS, "at least 51 with a door and a fleet")
            }
        };
        let links =
            fleet.as_ref().map_or(0, |fleet| fleet.policy.as_ref().map_or(0, PolicyConfig::descriptors));
        let (least, wanted) = match links {
            0 => (least, wanted),
            links => (least + links, "enough beside two for each of fleet.size, for links"),
        };
        if file.limits.sockets < least {
            let value = file.limits.sockets.to_string();
            return Err(ConfigError::Field { field: "limits.sockets".to_owned(), value, wanted });
        }
        check::check_known(&file.known, &names, settings.family.origin_kind)?;
        Ok(Config {
            admin,
            fleet,
            listen: address("listen", file.listen)?,
            discovery: address("discovery", file.discovery)?,
            seed: seed(file.seed)?,
            name: file.name,
            limits: file.limits,
            known: file.known,
            names,
            settings,
            connect_timeout: rules.connect_timeout,
            given,
        })
    }

    /// Reads the file again. An error says why the newer configuration must not be put in force.
    pub fn reload(&self) -> Result<Config, ConfigError> {
        let newer = Config::from_env()?;
        if let Some(key) = check::missing(&self.given, &newer.given) {
            return Err(ConfigError::Missing(key));
        }
        // What runs is what counts: the newer `call_ms` waits for the next start.
        fleet::check_calls(self.fleet.as_ref(), &newer.settings)?;
        Ok(newer)
    }

    /// What it says of the fleet's common policy, if anything.
    pub fn policy(&self) -> Option<&PolicyConfig> {
        self.fleet.as_ref()?.policy.as_ref()
    }

    /// The settings as they came.
    pub fn settings_json(&self) -> &serde_json::Value {
        &self.given["settings"]
    }

    /// Becomes a newer configuration, but for what waits for the next start: that stays as it runs.
    pub fn adopt(&mut self, mut newer: Config) {
        newer.name = std::mem::take(&mut self.name);
        newer.fleet = self.fleet.take().map(|fleet| fleet.with_peers_of(newer.fleet));
        (newer.listen, newer.admin, newer.limits) = (self.listen, self.admin, self.limits);
        *self = newer;
    }

    /// What a newer configuration has otherwise that a running proxy cannot change.
    pub fn changes_at_restart(&self, newer: &Config) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("admin", self.admin != newer.admin),
            ("limits", self.limits != newer.limits),
            (
                "fleet (but for its peers)",
                self.fleet.clone().map(|fleet| fleet.with_peers_of(newer.fleet.clone())) != newer.fleet,
            ),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(field, _)| field).collect()
    }
}

const MIN_SOCKETS: usize = 32;
const MIN_MEMORY_MB: usize = 16;

fn address(field: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::Field {
        field: field.to_owned(),
        value,
        wanted: "an IP address and port",
    })
}

fn seed(value: String) -> Result<u64, ConfigError> {
    if value.is_empty() {
        Ok(0)
    } else {
        u64::from_str_radix(&value, 16).map_err(|_| ConfigError::Field {
            field: "seed".to_owned(),
            value,
            wanted: "a number of at most 16 hexadecimal digits",
        })
    }
}
