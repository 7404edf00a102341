//! Replaces the configuration at SIGHUP: [`Config::reload`] rejects a newer configuration that
//! leaves out required keys, and [`Config::adopt`] keeps the values that only the next start can
//! change.

use super::error::ConfigError;
use super::fleet::{check_longest_attempt, FleetConfig};
use super::missing_keys::first_missing_key;
use super::required_keys::ComparedObject;
use super::Config;

impl Config {
    /// Reads the configuration file again.
    ///
    /// # Errors
    ///
    /// If the newer configuration cannot be read, is not valid, or leaves out a required key.
    pub fn reload(&self) -> Result<Config, ConfigError> {
        let newer = Config::from_env()?;
        if let Some(key) = first_missing_key(&self.json, &newer.json, ComparedObject::Configuration) {
            return Err(ConfigError::MissingKey(key));
        }
        // The active `call_ms` is the limit, because a newer value applies only at the next start.
        check_longest_attempt(self.fleet.as_ref(), &newer.settings)?;
        Ok(newer)
    }

    /// Replaces this configuration with a newer one, except for the values that only the next start
    /// can change.
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

    /// Returns the keys whose values differ in a newer configuration and are applied only at the
    /// next start.
    pub fn keys_that_need_restart(&self, newer: &Config) -> Vec<&'static str> {
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
