//! Reads the configuration at the start and at SIGHUP: the JSON object in the file that `LB_CONFIG`
//! names, which is parsed and checked. Read [`Config`] first, then [`ParsedSettings`] for its
//! object `settings`, which a fleet's common policy may replace. The crate opens no sockets.

mod catalog;
mod check;
mod descriptors;
mod error;
#[cfg(test)]
mod error_text_tests;
mod file;
mod fleet;
#[cfg(test)]
mod golden_tests;
mod missing_keys;
mod names;
mod nearest_key;
mod parsed_settings;
mod policy;
mod reload;
mod required_keys;
mod values;

pub use catalog::{Catalog, Instance};
pub use descriptors::{ADMIN_DESCRIPTORS, FLEET_DESCRIPTORS, MAX_ADMIN_CONNECTIONS};
pub use error::{ConfigError, FleetConfigError, PolicyConfigError};
use file::ConfigFile;
pub use file::Limits;
pub use fleet::{FleetConfig, QuotaConfig};
pub use names::Names;
pub use nearest_key::nearest_key;
pub use parsed_settings::ParsedSettings;
use pinetrail_settings::settings::Settings;
pub use policy::PolicyConfig;
use std::net::SocketAddr;
use std::time::Duration;
use values::{parse_address, parse_seed};

/// The configuration, parsed and checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of this proxy.
    pub name: String,
    /// The address at which the proxy accepts clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address at which the admin server listens, if there is one.
    pub admin: Option<SocketAddr>,
    /// The configuration of the fleet to which this proxy belongs, if any.
    pub fleet: Option<FleetConfig>,
    /// The seed of random numbers.
    pub seed: u64,
    /// The resources that the process may use.
    pub limits: Limits,
    /// The endpoint list that is used until discovery sends one.
    pub cached_endpoints: Catalog,
    /// The decision module's settings.
    pub settings: Settings,
    /// The names of classes, tenants, kinds and zones that the protocols use.
    pub names: Names,
    /// The maximum time for connecting to a backend.
    pub connect_timeout: Duration,
    /// The JSON of the file.
    json: serde_json::Value,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names. `LB_ADMIN`, if it is set and not empty, overrides the
    /// file's `admin`.
    ///
    /// # Errors
    ///
    /// The error names the variable, the file or the value that cannot be read or is not valid.
    pub fn from_env() -> Result<Config, ConfigError> {
        let path = std::env::var("LB_CONFIG").map_err(|_| ConfigError::PathNotSet)?;
        let text = std::fs::read(&path).map_err(|source| ConfigError::Read { path, source })?;
        // The variable has the address of this process. The file may already have the address of
        // the process that is to replace it.
        let admin = std::env::var("LB_ADMIN").ok().filter(|admin| !admin.is_empty());
        Config::from_json(&text, admin)
    }

    /// Parses the JSON object of a configuration file; `admin`, if any, overrides the address in
    /// that object.
    ///
    /// # Errors
    ///
    /// The error names the first value that is not valid.
    pub fn from_json(text: &[u8], admin: Option<String>) -> Result<Config, ConfigError> {
        let json: serde_json::Value = serde_json::from_slice(text)?;
        let file: ConfigFile = serde_path_to_error::deserialize(&json)?;
        let parsed =
            ParsedSettings::parse(&file.settings).map_err(|error| error.with_path_prefix("settings"))?;
        check::check_memory(&file.limits)?;
        let configured = file.admin.filter(|admin| !admin.is_empty());
        let admin =
            admin.or(configured).map(|admin| parse_address("admin (or LB_ADMIN)", admin)).transpose()?;
        let fleet = file.fleet.map(|fleet| FleetConfig::from_file(fleet, &file.name)).transpose()?;
        fleet::check_longest_attempt(fleet.as_ref(), &parsed.settings)?;
        check::check_sockets(&file.limits, admin.as_ref(), fleet.as_ref())?;
        check::check_cached_endpoints(
            &file.cached_endpoints,
            &parsed.names,
            parsed.settings.backend_kinds.origin_kind,
        )?;
        Ok(Config {
            admin,
            fleet,
            listen: parse_address("listen", file.listen)?,
            discovery: parse_address("discovery", file.discovery)?,
            seed: parse_seed(file.seed)?,
            name: file.name,
            limits: file.limits,
            cached_endpoints: file.cached_endpoints,
            names: parsed.names,
            settings: parsed.settings,
            connect_timeout: parsed.connect_timeout,
            json,
        })
    }

    /// Returns the configuration of the fleet's common policy, if there is one.
    pub fn policy(&self) -> Option<&PolicyConfig> {
        self.fleet.as_ref()?.policy.as_ref()
    }

    /// Returns the JSON of the object `settings`.
    pub fn settings_json(&self) -> &serde_json::Value {
        &self.json["settings"]
    }
}
