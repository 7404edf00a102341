//! Starts the services of the data path from the components that they share. Read
//! [`SharedComponents`] first.

use super::super::budget::ProcessBudget;
use super::super::error::StartError;
use super::resources::new_budget;
use crate::net::admin::AdminServer;
use crate::net::backend::{BackendService, BackendServiceParameters};
use crate::net::client::{ClientService, ClientServiceParameters};
use crate::net::counters::Counters;
use crate::net::discovery::{Discovery, DiscoveryParameters, DiscoveryTarget, ListDelivery};
use crate::net::dispatcher::{BackendCommand, Dispatcher, DispatcherParameters};
use crate::net::hot_restart::{BudgetGrant, Handover};
use crate::net::listener;
use may::sync::mpsc::{channel, Receiver, Sender};
use pinetrail_config::{Catalog, Config};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

/// The value of `settings.discovery` with which discovery sends endpoint lists without a request.
const PUSH_DELIVERY: &str = "push";

/// The components that all services of the data path share.
pub(super) struct SharedComponents {
    pub(super) counters: Arc<Counters>,
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) budget: ProcessBudget,
}

/// The ends of the dispatcher's channels that other services use.
pub(super) struct DispatcherChannels {
    /// Commands of the dispatcher to the backend service.
    pub(super) backend_commands: Receiver<BackendCommand>,
    pub(super) subscriptions: SubscriptionChannel,
}

/// The channel of requests for an endpoint list, to which the dispatcher has a sender too.
pub(super) struct SubscriptionChannel {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl SharedComponents {
    /// Creates the dispatcher and the budgets.
    pub(super) fn new(config: &Config, counters: &Arc<Counters>) -> (SharedComponents, DispatcherChannels) {
        let (command_sender, backend_commands) = channel();
        let (sender, receiver) = channel();
        let dispatcher = Dispatcher::new(DispatcherParameters {
            settings: config.settings.clone(),
            seed: config.seed,
            names: config.names.clone(),
            counters: Arc::clone(counters),
            commands: command_sender,
            subscriptions: sender.clone(),
            memory_mb: config.limits.memory_mb,
        });
        let shared =
            SharedComponents { counters: Arc::clone(counters), dispatcher, budget: new_budget(config) };
        let subscriptions = SubscriptionChannel { sender, receiver };
        (shared, DispatcherChannels { backend_commands, subscriptions })
    }

    /// Applies the older process's budget grant and endpoints. Returns the endpoints to start with.
    pub(super) fn apply_handover(&self, handover: &Handover, mut cached: Catalog) -> Catalog {
        self.budget.set(BudgetGrant::Part(handover.budget));
        self.dispatcher.restore_snapshot(handover.endpoints.clone());
        // The list that the older process received last is newer than the cached file.
        if !handover.endpoints.listed.is_empty() {
            cached.instances.clone_from(&handover.endpoints.listed);
        }
        cached
    }

    /// Starts the service that carries out attempts at backends.
    pub(super) fn start_backends(
        &self,
        config: &Config,
        commands: Receiver<BackendCommand>,
    ) -> Arc<BackendService> {
        BackendService::start(BackendServiceParameters {
            dispatcher: Arc::clone(&self.dispatcher),
            counters: Arc::clone(&self.counters),
            commands,
            descriptors: Arc::clone(&self.budget.descriptors),
            memory: Arc::clone(&self.budget.memory),
            connect_timeout: config.connect_timeout,
            idle_timeout: config.settings.idle_connection_timeout(),
        })
    }

    /// Starts discovery, with the cached endpoints until it receives a list.
    pub(super) fn start_discovery(
        &self,
        config: &Config,
        cached: Catalog,
        subscriptions: SubscriptionChannel,
    ) -> Arc<DiscoveryTarget> {
        Discovery::start(DiscoveryParameters {
            dispatcher: Arc::clone(&self.dispatcher),
            counters: Arc::clone(&self.counters),
            address: config.discovery,
            delivery: list_delivery(config),
            cached,
            seed: config.seed,
            subscribe: subscriptions.sender,
            subscriptions: subscriptions.receiver,
        })
    }

    /// Starts the service that accepts clients on this listening socket.
    pub(super) fn start_clients(&self, socket: TcpListener) -> Result<Arc<ClientService>, StartError> {
        ClientService::start(ClientServiceParameters {
            dispatcher: Arc::clone(&self.dispatcher),
            counters: Arc::clone(&self.counters),
            memory: Arc::clone(&self.budget.memory),
            descriptors: Arc::clone(&self.budget.descriptors),
            socket,
        })
        .map_err(StartError::Socket)
    }
}

fn list_delivery(config: &Config) -> ListDelivery {
    if config.settings.discovery == PUSH_DELIVERY {
        ListDelivery::Pushed
    } else {
        ListDelivery::Watched
    }
}

/// Opens the operators' HTTP endpoint, if one is configured. No request is answered before
/// [`AdminServer::serve`].
pub(super) fn open_admin_server(config: &Config) -> Result<Option<Arc<AdminServer>>, StartError> {
    let Some(address) = config.admin else { return Ok(None) };
    match AdminServer::open(address) {
        Ok(server) => Ok(Some(server)),
        Err(source) => Err(StartError::AdminListen { address, source }),
    }
}

/// Returns the listening socket of the older process, or opens a new one.
pub(super) fn client_socket(
    address: SocketAddr,
    handover: Option<&Handover>,
) -> Result<TcpListener, StartError> {
    match handover {
        Some(handover) => handover.socket.try_clone().map_err(StartError::Socket),
        None => listener::open(address).map_err(|source| StartError::ClientListen { address, source }),
    }
}
