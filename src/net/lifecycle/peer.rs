//! Handles the commands and the state changes of the other process of this proxy during a hot
//! restart: the implementation of [`HotRestartHost`].

use super::state::LifecycleEvent;
use super::Lifecycle;
use crate::net::dispatcher::IdHash;
use crate::net::fleet::SecondProcess;
use crate::net::hot_restart::{
    BudgetGrant, CommandError, ControlCommand, DrainState, HandoverOffer, HotRestartHost, PeerProcessState,
    ResourceBudget,
};
use crate::net::log::log;
use signal_hook::consts::SIGTERM;

/// Whether the peer process accepted clients instead of this one before its state changed, and
/// whether it does now.
struct AcceptorChange {
    peer_accepted_before: bool,
    peer_accepts_now: bool,
}

impl HotRestartHost for Lifecycle {
    fn handover_offer(&self) -> Option<HandoverOffer> {
        if !self.is_ready() {
            return None;
        }
        let services = self.services.get()?;
        let mut endpoints = services.dispatcher.endpoint_snapshot();
        endpoints.peers = self.policy().map_or(Vec::new(), |policy| policy.peer_addresses());
        endpoints.shares_ids = true;
        endpoints.ends_ids = true;
        let listener = services.clients.listener()?;
        Some(HandoverOffer { listener, endpoints })
    }

    fn shrink_budget(&self, drain_state: DrainState) -> ResourceBudget {
        self.services.get().map_or(ResourceBudget::default(), |services| services.budget.shrink(drain_state))
    }

    fn set_budget(&self, grant: BudgetGrant) {
        if let Some(services) = self.services.get() {
            services.budget.set(grant);
        }
    }

    fn apply_command(&self, command: &ControlCommand) -> Result<(), CommandError> {
        let services = self.services.get().ok_or(CommandError::Starting)?;
        match command {
            ControlCommand::EnterMaintenance(id) => services.dispatcher.enter_maintenance(id)?,
            ControlCommand::LeaveMaintenance(id) => services.dispatcher.leave_maintenance(id)?,
            ControlCommand::SetService(service) => {
                // This fails while the process stops, but then it directs clients elsewhere anyway.
                let _ = self.set_service(*service);
            }
        }
        Ok(())
    }

    fn unrepeatable_ids(&self) -> Vec<IdHash> {
        self.services.get().map_or(Vec::new(), |services| services.dispatcher.unrepeatable_ids())
    }

    fn remember_ids(&self, ids: &[IdHash]) {
        if let Some(services) = self.services.get() {
            services.dispatcher.remember_ids(ids);
        }
    }

    fn handover_rejected(&self) {
        // If both processes counted as the only one, they would use twice the budget together.
        if let Err(error) = signal_hook::low_level::raise(SIGTERM) {
            log(&format!("hot restart: this process cannot stop itself: SIGTERM cannot be raised: {error}"));
        }
    }

    fn peer_changed(&self, peer: PeerProcessState) {
        log(&format!("hot restart: the state of the other process is {peer:?}"));
        let change = self.apply_peer_change(peer);
        self.update_fleet_membership(peer, &change);
        if let Some(services) = self.services.get() {
            if change.peer_accepts_now {
                services.clients.pause_listening();
            } else {
                services.clients.resume_listening();
            }
        }
    }
}

impl Lifecycle {
    fn apply_peer_change(&self, peer: PeerProcessState) -> AcceptorChange {
        let mut state = self.state();
        let peer_accepted_before = state.peer_accepts_clients();
        state.apply(LifecycleEvent::PeerChanged(peer));
        AcceptorChange { peer_accepted_before, peer_accepts_now: state.peer_accepts_clients() }
    }

    /// Makes the process that accepts clients the member of the fleet on behalf of both processes.
    fn update_fleet_membership(&self, peer: PeerProcessState, change: &AcceptorChange) {
        let Some(fleet) = self.fleet() else { return };
        if self.state().has_finished_serving() {
            return;
        }
        let second_process = if peer.serves() { SecondProcess::Serving } else { SecondProcess::None };
        fleet.set_second_process(second_process);
        if change.peer_accepts_now && !change.peer_accepted_before {
            fleet.deactivate();
        } else if change.peer_accepted_before && !change.peer_accepts_now {
            fleet.activate_when_free();
        }
    }
}
