//! Applies the endpoint lists of discovery and the maintenance that operators start. The list that
//! the decision module receives is derived from both. Read [`Dispatcher::update_endpoints`] first.

use super::listed_endpoint::ListedEndpoint;
use super::maintenance::MaintenanceError;
use super::messages::BackendCommand;
use super::snapshot::EndpointSnapshot;
use super::start_times::ClockReading;
use super::state::{DispatcherState, Endpoint};
use super::Dispatcher;
use crate::interface::{BackendId, EndpointInfo, EndpointState, Event, ListForm};
use crate::net::log::log;
use pinetrail_config::Instance;
use std::collections::BTreeSet;
use std::sync::{Arc, MutexGuard};

/// The changes that an endpoint list causes.
struct EndpointChanges {
    /// The entries that the decision module receives.
    endpoints: Vec<EndpointInfo>,
    /// The backends that take no new attempts or are new processes, so that idle connections to
    /// them are useless.
    stale: Vec<BackendId>,
}

impl Dispatcher {
    /// Applies an endpoint list of discovery, or the failure of a discovery watch.
    pub fn update_endpoints(self: &Arc<Self>, form: ListForm, list: Vec<Instance>) {
        let mut state = self.lock();
        let list = state.maintenance.update(form, list);
        self.apply_list(state, form, list);
    }

    /// Returns the endpoints and maintenance periods for the other process of a hot restart.
    pub fn endpoint_snapshot(&self) -> EndpointSnapshot {
        self.lock().maintenance.snapshot()
    }

    /// Restores the snapshot of the other process. Must be called before the first list of
    /// discovery arrives.
    pub fn restore_snapshot(&self, snapshot: EndpointSnapshot) {
        self.lock().maintenance.restore(snapshot);
    }

    /// Puts a cache node in maintenance. Once this call returns, the node gets no new attempts
    /// until [`Dispatcher::leave_maintenance`].
    ///
    /// # Errors
    ///
    /// Returns an error if discovery never listed the node, if the node is the origin, or if too
    /// many nodes are in maintenance.
    pub fn enter_maintenance(self: &Arc<Self>, name: &str) -> Result<(), MaintenanceError> {
        let mut state = self.lock();
        if state.is_listed_as_origin(name) {
            return Err(MaintenanceError::Origin(name.to_owned()));
        }
        let listed = state.maintenance.enter(name, self.clock.now())?;
        log(&format!("{name} is in maintenance: it gets no new attempts"));
        self.apply_list(state, ListForm::Delta, listed.into_iter().collect());
        Ok(())
    }

    /// Ends the maintenance of a cache node.
    ///
    /// # Errors
    ///
    /// Returns an error if discovery never listed the node.
    pub fn leave_maintenance(self: &Arc<Self>, name: &str) -> Result<(), MaintenanceError> {
        let mut state = self.lock();
        let listed = state.maintenance.leave(name, self.clock.now())?;
        log(&format!("{name} has left maintenance: it gets attempts while discovery lists it as ready"));
        self.apply_list(state, ListForm::Delta, listed.into_iter().collect());
        Ok(())
    }

    /// Hands an endpoint list to the decision module, and commands the backend service to close the
    /// idle connections to stale backends.
    pub(super) fn apply_list(
        self: &Arc<Self>,
        mut state: MutexGuard<'_, DispatcherState>,
        form: ListForm,
        list: Vec<Instance>,
    ) {
        let changes = state.update_endpoints(form, list, self.clock.read());
        for backend in changes.stale {
            self.send_command(BackendCommand::CloseIdleConnections(backend));
        }
        self.handle_event(state, Event::EndpointList { form, endpoints: changes.endpoints });
    }
}

impl DispatcherState {
    fn is_listed_as_origin(&self, name: &str) -> bool {
        let listed = self.maintenance.listed(name);
        listed.is_some_and(|node| i64::from(self.names.kind(&node.machine_type)) == self.origin_kind)
    }

    /// Updates the endpoints from a list, and returns the changes.
    fn update_endpoints(
        &mut self,
        form: ListForm,
        list: Vec<Instance>,
        clocks: ClockReading,
    ) -> EndpointChanges {
        let names = Arc::clone(&self.names);
        let list: Vec<ListedEndpoint> =
            list.into_iter().filter_map(|node| ListedEndpoint::from_instance(&names, node)).collect();
        self.endpoint_ids.assign_all(list.iter().map(|listed| listed.name.as_str()));
        let mut stale = Vec::new();
        if matches!(form, ListForm::Cached | ListForm::Full) {
            stale = self.mark_unlisted_as_gone(&list);
        }
        let mut endpoints = Vec::with_capacity(list.len());
        for listed in list {
            let backend = self.endpoint_ids.get_or_assign(&listed.name);
            let started = self.start_times.translate(backend, listed.info.started_at, clocks);
            let endpoint = EndpointInfo { backend, started_at: started, ..listed.info };
            if self.update_endpoint(endpoint, listed.address) {
                stale.push(backend);
            }
            endpoints.push(endpoint);
        }
        self.remove_unlisted_endpoints();
        let known = &self.endpoints;
        self.start_times.finish_list(form, clocks, |backend| known.contains_key(&backend));
        EndpointChanges { endpoints, stale }
    }

    /// Marks the backends that are missing in a full list as gone, and returns them.
    fn mark_unlisted_as_gone(&mut self, list: &[ListedEndpoint]) -> Vec<BackendId> {
        let listed: BTreeSet<BackendId> =
            list.iter().map(|listed| self.endpoint_ids.get_or_assign(&listed.name)).collect();
        let mut unlisted = Vec::new();
        for (backend, endpoint) in &mut self.endpoints {
            if !listed.contains(backend) {
                endpoint.state = EndpointState::Gone;
                unlisted.push(*backend);
            }
        }
        unlisted
    }

    /// Updates one backend, and returns whether idle connections to it are now useless.
    fn update_endpoint(&mut self, listed: EndpointInfo, address: String) -> bool {
        let endpoint = Endpoint {
            address: address.into(),
            state: listed.state,
            started: listed.started_at,
            is_origin: i64::from(listed.kind) == self.origin_kind,
        };
        let is_ready = endpoint.is_ready();
        let before = self.endpoints.insert(listed.backend, endpoint.clone());
        !is_ready || before.is_some_and(|before| !before.is_same_process(&endpoint))
    }
}
