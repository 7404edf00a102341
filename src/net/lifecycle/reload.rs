//! Reads the configuration again at SIGHUP, and applies the values that may change at run time.

use super::state::LifecycleEvent;
use super::{Lifecycle, RunningServices};
use crate::net::log::log;
use pinetrail_config::Config;

impl Lifecycle {
    /// Reads the configuration again, and applies its settings, its discovery address and its fleet
    /// peers at once. An invalid file changes nothing, because a typing error must not end a proxy
    /// that serves.
    pub(super) fn reload(&self, config: &mut Config, services: &RunningServices) {
        self.apply(LifecycleEvent::ReloadStarted);
        match config.reload() {
            Ok(newer) => {
                self.counters.reloads.increment();
                self.apply_config(config, newer, services);
            }
            Err(error) => {
                self.counters.reloads_failed.increment();
                log(&format!("reload: the old configuration stays: {error}"));
            }
        }
        self.apply(LifecycleEvent::ReloadFinished);
    }

    fn apply_config(&self, config: &mut Config, newer: Config, services: &RunningServices) {
        self.apply_settings(&newer, services);
        if newer.discovery != config.discovery {
            log(&format!(
                "reload: the discovery address changes from {} to {}",
                config.discovery, newer.discovery
            ));
            services.discovery.change_address(newer.discovery);
        }
        self.apply_fleet_peers(&newer);
        let needs_restart = config.keys_that_need_restart(&newer);
        if !needs_restart.is_empty() {
            log(&format!(
                "reload: the new values of these keys apply only at the next start: {}",
                needs_restart.join(", ")
            ));
        }
        config.adopt(newer);
    }

    /// Applies the settings, unless the fleet's common policy decides them.
    fn apply_settings(&self, newer: &Config, services: &RunningServices) {
        match self.policy().filter(|policy| !policy.allows_local_settings()) {
            Some(policy) if policy.is_active(newer.settings_json()) => {
                log("reload: the settings equal those of the fleet's active policy; nothing changes");
            }
            Some(_) => log("reload: the settings are not applied: the fleet's common policy decides; \
                 propose them by POST /control/policy"),
            None => {
                let classes = newer.names.classes().join(", ");
                log(&format!("reload: the new settings are active, with the classes {classes}"));
                services.dispatcher.apply_settings(newer.settings.clone(), newer.names.clone());
                services
                    .backends
                    .set_timeouts(newer.connect_timeout, newer.settings.idle_connection_timeout());
            }
        }
    }

    fn apply_fleet_peers(&self, newer: &Config) {
        let (Some(fleet), Some(config)) = (self.fleet(), &newer.fleet) else { return };
        if let Err(error) = fleet.set_peers(config.settings.peers.clone()) {
            log(&format!("reload: the fleet's peers are not changed: {error}"));
        }
    }
}
