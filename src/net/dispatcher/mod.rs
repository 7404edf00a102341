//! Connects clients, backends and discovery with the decision module. Read [`Dispatcher`] first,
//! then `event_loop`.
//!
//! [`Dispatcher`] owns the decision module, the open requests and the clock. It converts what
//! clients, backends and discovery report into events for the module, and the module's actions into
//! responses, commands and timers. It uses no sockets and no wire protocol, and passes payloads
//! through unchanged.

mod attempts;
mod clock;
mod endpoint_ids;
mod endpoints;
mod event_loop;
mod executed_ids;
#[cfg(test)]
mod golden_tests;
mod listed_endpoint;
mod maintenance;
mod messages;
mod settings;
mod side_effect;
mod snapshot;
mod start_times;
mod state;
mod submit;
#[cfg(test)]
mod tests;
mod unrepeatable_ids;
mod value_delivery;
mod value_history;

use super::counters::Counters;
use super::time_limits::write_delay;
use crate::interface::RequestId;
use crate::logic::Balancer;
use crate::settings::Settings;
use clock::Clock;
use endpoint_ids::EndpointIds;
use executed_ids::ExecutedIds;
pub use executed_ids::IdHash;
pub use maintenance::MaintenanceError;
use maintenance::MaintenanceSet;
use may::sync::mpsc::Sender;
pub use messages::{
    AttemptRequest, BackendCommand, ClientPresence, ClientRequest, Payload, Response, ResponseCallback,
    SubmitError,
};
use pinetrail_config::Names;
use pinetrail_policy_consensus::AdmissionLease;
pub use snapshot::{EndpointSnapshot, PeerAddress};
use start_times::StartTimes;
use state::DispatcherState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
pub use unrepeatable_ids::IdExchange;
pub use value_delivery::{RequestBehind, ValueDelivery};
pub use value_history::ValueHistory;

/// The parameters of a new [`Dispatcher`].
pub struct DispatcherParameters {
    /// The initial settings of the decision module.
    pub settings: Settings,
    /// The seed of the decision module's random numbers.
    pub seed: u64,
    /// The names in the initial settings.
    pub names: Names,
    /// The counters of the process.
    pub counters: Arc<Counters>,
    /// The channel to the backend service.
    pub commands: Sender<BackendCommand>,
    /// The channel to discovery; each message asks it to watch the endpoint list.
    pub subscriptions: Sender<()>,
    /// The memory limit of the process, in MB.
    pub memory_mb: usize,
}

/// The only caller of the decision module, which it connects with clients, backends and discovery.
pub struct Dispatcher {
    clock: Clock,
    counters: Arc<Counters>,
    /// The decision module and the state of requests and backends. The lock ensures that events are
    /// handled one after another.
    ///
    /// Invariant: no coroutine waits while it holds this lock. Callbacks that run under the lock
    /// only store a value and wake a coroutine, sends to the unbounded channels return at once, and
    /// side effects are applied after the lock is released. The admission lease's lock is taken
    /// while this lock is held, never the other way round.
    state: Mutex<DispatcherState>,
    commands: Sender<BackendCommand>,
    subscriptions: Sender<()>,
    /// The lease that admits requests; set only in a fleet with a common policy.
    lease: OnceLock<Arc<AdmissionLease>>,
    /// The exchange of ids of requests that may not be repeated with the other process of an upgrade.
    id_exchange: OnceLock<IdExchange>,
    value_history: ValueHistory,
}

impl Dispatcher {
    /// Creates a dispatcher with a new decision module.
    pub fn new(parameters: DispatcherParameters) -> Arc<Dispatcher> {
        let DispatcherParameters { settings, seed, names, counters, commands, subscriptions, memory_mb } =
            parameters;
        let settings = Settings { write_delay: write_delay(), ..settings };
        let state = DispatcherState {
            names: Arc::new(names),
            origin_kind: settings.backend_kinds.origin_kind,
            balancer: Balancer::new(settings, seed),
            requests: BTreeMap::new(),
            due: BTreeSet::new(),
            open_ids: BTreeSet::new(),
            executed_ids: ExecutedIds::new(ExecutedIds::capacity_within(memory_mb)),
            last_id: RequestId(0),
            endpoints: BTreeMap::new(),
            endpoint_ids: EndpointIds::default(),
            start_times: StartTimes::default(),
            maintenance: MaintenanceSet::default(),
            is_stopping: false,
            policy_version: 0,
        };
        Arc::new(Dispatcher {
            clock: Clock::start(),
            counters,
            state: Mutex::new(state),
            commands,
            subscriptions,
            lease: OnceLock::new(),
            id_exchange: OnceLock::new(),
            value_history: ValueHistory::default(),
        })
    }

    /// Returns the record of short and long values.
    pub fn value_history(&self) -> &ValueHistory {
        &self.value_history
    }

    /// Locks the state. A poisoned lock is still usable, since panics of the decision module are
    /// caught while the lock is held.
    fn lock(&self) -> MutexGuard<'_, DispatcherState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
