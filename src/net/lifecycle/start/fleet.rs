//! Starts this process's part in its fleet and in the fleet's common policy.

use super::super::error::StartError;
use super::super::signals::DeferredSignals;
use super::super::Lifecycle;
use crate::interface;
use crate::net::backend::BackendService;
use crate::net::dispatcher::Dispatcher;
use crate::net::fleet::{self, Fleet};
use crate::net::hot_restart::Handover;
use crate::net::policy::{Policy, PolicyParameters};
use crate::time::Timestamp;
use pinetrail_config::{Config, FleetConfig};
use signal_hook::iterator::Signals;
use std::sync::Arc;

/// The outcome of the catch-up with the fleet's common policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CatchUp {
    /// The active policy version is applied.
    Complete,
    /// The process was asked to stop.
    StopRequested,
}

impl Lifecycle {
    /// Connects the fleet's quota to the dispatcher, and joins the fleet unless an older process of
    /// this proxy is still its member.
    pub(super) fn start_fleet(
        self: &Arc<Self>,
        config: &Config,
        dispatcher: &Arc<Dispatcher>,
        handover: Option<&Handover>,
    ) -> Result<(), StartError> {
        let Some(fleet_config) = &config.fleet else { return Ok(()) };
        let fleet =
            self.fleet.get_or_init(|| new_fleet(fleet_config.clone(), config.seed, dispatcher, handover));
        let lifecycle = Arc::clone(self);
        self.counters.external.set_source(move || lifecycle.fleet_counters());
        if handover.is_none() {
            fleet.activate()?;
        }
        Ok(())
    }

    /// Returns the counters of the fleet and of the common policy, by name.
    fn fleet_counters(&self) -> Vec<(&'static str, u64)> {
        let mut counters = self.fleet().map_or(Vec::new(), |fleet| fleet.counters());
        if let Some(policy) = self.policy() {
            counters.extend(policy.counters());
        }
        counters
    }

    /// Starts this process's part in the fleet's common policy, if there is one.
    pub(super) fn start_policy(
        &self,
        config: &Config,
        dispatcher: &Arc<Dispatcher>,
        backends: &Arc<BackendService>,
        handover: Option<&Handover>,
    ) -> Result<Option<&Arc<Policy>>, StartError> {
        let (Some(policy_config), Some(fleet)) = (config.policy(), self.fleet()) else { return Ok(None) };
        let peers = handover.map_or(Vec::new(), |handover| handover.endpoints.peers.clone());
        let policy = Policy::start(PolicyParameters {
            config: policy_config.clone(),
            fleet,
            dispatcher,
            backends,
            settings: config.settings_json(),
            handed_over_peers: peers,
            seed: config.seed,
        })
        .map_err(|error| StartError::Policy(error.into()))?;
        Ok(Some(self.policy.get_or_init(|| policy)))
    }
}

/// Blocks until the active policy version is applied, or a signal asks the process to stop. Other
/// signals are deferred until the version is applied.
pub(super) fn catch_up(policy: &Policy, signals: &mut Signals) -> CatchUp {
    let mut deferred = DeferredSignals::default();
    if policy.wait_until_admitting(&mut || deferred.collect(signals)) {
        deferred.reraise();
        CatchUp::Complete
    } else {
        CatchUp::StopRequested
    }
}

/// Creates this process's part in its fleet, which sends nothing yet. The fleet must be notified of
/// a second process, because the two processes of a hot restart share one guaranteed minimum.
fn new_fleet(
    config: FleetConfig,
    seed: u64,
    dispatcher: &Arc<Dispatcher>,
    handover: Option<&Handover>,
) -> Arc<Fleet> {
    let dispatcher = Arc::clone(dispatcher);
    let apply_quota = move |quota: fleet::ProcessQuota| {
        let expires_at = quota.expires_at;
        let quota = interface::Quota {
            fraction: quota.fraction,
            expires_at: Timestamp::ZERO,
            guaranteed: quota.guaranteed,
            fleet_limits: quota.limits,
        };
        dispatcher.apply_quota(quota, expires_at);
    };
    let second_process = match handover {
        Some(_) => fleet::SecondProcess::Serving,
        None => fleet::SecondProcess::None,
    };
    Fleet::new(config, seed, second_process, Box::new(apply_quota))
}
