//! Starts the services from the configuration and the handover of an older process. Read
//! [`Lifecycle::start`] first, which has the steps in their order. `resources` computes the budget
//! that the limits allow, `services` starts the data path, `fleet` joins the fleet and its policy.
//!
//! Invariant: the operators' endpoint is opened first, so that a bad address ends the start before
//! anything runs; clients are accepted last; newer processes can connect only after that.

mod fleet;
mod resources;
mod services;

use super::admin_control::AdminControl;
use super::error::StartError;
use super::state::LifecycleEvent;
use super::{Lifecycle, RunningServices};
use crate::net::admin::{AdminBackend, AdminServer};
use crate::net::dispatcher::Dispatcher;
use crate::net::hot_restart::{Handover, HotRestartHost, JoinedPeer};
use crate::net::log::log;
use fleet::CatchUp;
use pinetrail_config::{Catalog, Config};
use services::SharedComponents;
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::sync::Arc;

/// The outcome of a start that does not fail.
pub(super) enum StartOutcome<'a> {
    /// All services run.
    Running(&'a RunningServices),
    /// The process was asked to stop before it was ready.
    StopRequested,
}

impl Lifecycle {
    /// Starts all services. Blocks while this process catches up with the fleet's common policy, if
    /// there is one.
    pub(super) fn start(
        self: &Arc<Self>,
        config: &Config,
        mut handover: Option<Handover>,
        signals: &mut Signals,
    ) -> Result<StartOutcome<'_>, StartError> {
        resources::configure_coroutines();
        let admin = services::open_admin_server(config)?;
        let (shared, channels) = SharedComponents::new(config, &self.counters);
        let dispatcher = Arc::clone(&shared.dispatcher);
        let endpoints = self.initial_endpoints(config, &shared, handover.as_ref());
        let backends = shared.start_backends(config, channels.backend_commands);
        let discovery = shared.start_discovery(config, endpoints, channels.subscriptions);
        self.start_fleet(config, &dispatcher, handover.as_ref())?;
        if let Some(policy) = self.start_policy(config, &dispatcher, &backends, handover.as_ref())? {
            // Operators need their endpoint while the process catches up.
            self.serve_admin(admin.as_ref(), &dispatcher)?;
            if fleet::catch_up(policy, signals) == CatchUp::StopRequested {
                return Ok(StartOutcome::StopRequested);
            }
        }
        let socket = services::client_socket(config.listen, handover.as_ref())?;
        let hot_restart = Arc::clone(&self.hot_restart);
        dispatcher.exchange_ids(Box::new(move |id| hot_restart.exchange_id(id)));
        let peer = self.join_older_process(&dispatcher, handover.take())?;
        let clients = shared.start_clients(socket)?;
        let budget = shared.budget;
        let services = self.services.get_or_init(|| RunningServices {
            dispatcher: Arc::clone(&dispatcher),
            clients,
            backends,
            discovery,
            budget,
        });
        if self.policy().is_none() {
            self.serve_admin(admin.as_ref(), &dispatcher)?;
        }
        self.begin_serving(peer, services.clients.address());
        Ok(StartOutcome::Running(services))
    }

    /// Returns the endpoints to start with: those of the older process, or the cached ones.
    fn initial_endpoints(
        &self,
        config: &Config,
        shared: &SharedComponents,
        handover: Option<&Handover>,
    ) -> Catalog {
        let cached = config.cached_endpoints.clone();
        let Some(handover) = handover else { return cached };
        self.apply(LifecycleEvent::HandoverReceived);
        shared.apply_handover(handover, cached)
    }

    /// Starts to serve the operators' endpoint, if it is configured.
    fn serve_admin(
        self: &Arc<Self>,
        admin: Option<&Arc<AdminServer>>,
        dispatcher: &Arc<Dispatcher>,
    ) -> Result<(), StartError> {
        let Some(admin) = admin else { return Ok(()) };
        log(&format!("operators call {}", admin.address().map_err(StartError::Socket)?));
        let control = AdminControl { dispatcher: Arc::clone(dispatcher), lifecycle: Arc::clone(self) };
        // Served once.
        let _ = self.admin.set(Arc::clone(admin));
        admin.serve(Arc::new(control) as Arc<dyn AdminBackend>);
        Ok(())
    }

    /// Receives the ids of the older process's requests, if there is one, and joins it.
    ///
    /// Invariant: this precedes the first client, which may send the id of a request that is open at
    /// the older process.
    fn join_older_process(
        &self,
        dispatcher: &Dispatcher,
        handover: Option<Handover>,
    ) -> Result<Option<JoinedPeer>, StartError> {
        let Some(mut handover) = handover else { return Ok(None) };
        handover.receive_ids(|ids| dispatcher.remember_ids(ids))?;
        Ok(Some(self.hot_restart.join(handover)?))
    }

    /// Notifies the older process, if there is one, that this one serves. Then listens for newer
    /// processes.
    fn begin_serving(self: &Arc<Self>, peer: Option<JoinedPeer>, client_address: SocketAddr) {
        let host = Arc::clone(self) as Arc<dyn HotRestartHost>;
        if let Some(peer) = peer {
            self.hot_restart.begin_serving(peer, Arc::clone(&host));
            // The older process holds the fleet's socket until it knows that this one serves.
            if let Some(fleet) = self.fleet() {
                fleet.activate_when_free();
            }
        }
        self.release_memory_in_upgrades();
        self.apply(LifecycleEvent::Started);
        self.hot_restart.listen(client_address, host);
    }
}
