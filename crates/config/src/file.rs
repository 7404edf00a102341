//! Defines the configuration file as it is deserialized, with its keys and defaults: the outermost
//! object, [`ConfigFile`], and the part of the object `settings` that the decision module does not
//! use, [`ProxySettings`].
//!
//! Invariant: the types keep their names, because error texts that operators know contain these
//! names and the number of the types' fields. Other modules use the aliases exported here.

use super::catalog::Catalog;
use super::fleet::FleetFile;
use serde::Deserialize;

pub(super) use self::{File as ConfigFile, Named as NamedEntry, Words as ProxySettings};

const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
const DEFAULT_SOCKETS: usize = 1024;
const DEFAULT_MEMORY_MB: usize = 192;

/// The outermost object of the file.
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
    #[serde(default, rename = "known")]
    pub cached_endpoints: Catalog,
    pub admin: Option<String>,
    pub fleet: Option<FleetFile>,
    pub settings: serde_json::Value,
}

/// The settings that the decision module does not use.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Words {
    #[serde(rename = "Grades")]
    pub classes: Vec<NamedEntry>,
    #[serde(default, rename = "Orgs")]
    pub tenants: Vec<NamedEntry>,
    #[serde(default)]
    pub kinds: Vec<String>,
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(rename = "Permissions")]
    pub connections: Connecting,
}

/// An entry of a list, of which only the name is used here.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Named {
    pub name: String,
}

/// Settings of connections to backends.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Connecting {
    /// The maximum time for connecting to a backend, in ms.
    #[serde(default = "default_connect_timeout_ms", rename = "ConnectTimeout")]
    pub connect_timeout_ms: f64,
}

fn default_connect_timeout_ms() -> f64 {
    DEFAULT_CONNECT_TIMEOUT_MS
}

/// The resources that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Limits {
    /// The maximum number of open sockets.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// The maximum memory, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
}

fn default_sockets() -> usize {
    DEFAULT_SOCKETS
}

fn default_memory_mb() -> usize {
    DEFAULT_MEMORY_MB
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: default_sockets(), memory_mb: default_memory_mb() }
    }
}
