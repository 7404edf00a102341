//! The configuration file as it is read: the outermost object, [`File`], and what the decision
//! module does not use of the object `settings`, [`Words`]; their keys and defaults, and how single
//! values are parsed.
//!
//! The names of these types and the number of their fields are part of error texts that operators
//! know: they are imported under others (`ConfigFile`, `ProxySettings`, `NamedEntry`) rather than
//! renamed.

use super::catalog::Catalog;
use super::error::ConfigError;
use super::fleet::FleetFile;
use serde::Deserialize;
use std::net::SocketAddr;

/// The outermost object.
#[derive(Deserialize)]
pub(super) struct File {
    #[serde(default)]
    pub name: String,
    pub listen: String,
    pub discovery: String,
    #[serde(default)]
    pub seed: String,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub known: Catalog,
    pub admin: Option<String>,
    pub fleet: Option<FleetFile>,
    pub settings: serde_json::Value,
}

/// The settings that the decision module does not use.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Words {
    pub grades: Vec<Named>,
    #[serde(default)]
    pub orgs: Vec<Named>,
    #[serde(default)]
    pub kinds: Vec<String>,
    #[serde(default)]
    pub zones: Vec<String>,
    pub permissions: Connecting,
}

/// An entry of which only the name counts here.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Named {
    pub name: String,
}

/// How connections to backends are made.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Connecting {
    /// How long one may take to come up, in ms.
    #[serde(default = "default_connect_timeout")]
    pub connect_timeout: f64,
}

fn default_connect_timeout() -> f64 {
    250.0
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Limits {
    /// Open sockets at the most.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// Memory at the most, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
}

fn default_sockets() -> usize {
    1024
}

fn default_memory_mb() -> usize {
    192
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: default_sockets(), memory_mb: default_memory_mb() }
    }
}

/// Parses an address.
///
/// # Errors
///
/// Names the field if its value is none.
pub(super) fn parse_address(field: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::field(field, value, "an IP address and port"))
}

/// Parses the seed of random numbers; 0 if it is not given.
///
/// # Errors
///
/// If it is no number of at most 16 hexadecimal digits.
pub(super) fn parse_seed(value: String) -> Result<u64, ConfigError> {
    if value.is_empty() {
        return Ok(0);
    }
    u64::from_str_radix(&value, 16)
        .map_err(|_| ConfigError::field("seed", value, "a number of at most 16 hexadecimal digits"))
}
