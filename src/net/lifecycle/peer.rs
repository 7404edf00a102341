//! The commands and state changes of the other process of this proxy during a hot restart, as
//! [`HotRestartHost`].

use super::state::LifecycleEvent;
use super::Lifecycle;
use crate::net::fleet::SecondProcess;
use crate::net::hot_restart::{
    Activity, BudgetGrant, CommandError, ControlCommand, HandoverOffer, HotRestartHost, PeerProcess,
    ResourceBudget,
};
use crate::net::log::log;
use signal_hook::consts::SIGTERM;

/// Which process accepts clients before and after the peer process changed its state.
struct AcceptingChange {
    was_delegated: bool,
    is_delegated: bool,
}

impl HotRestartHost for Lifecycle {
    fn handover_offer(&self) -> Option<HandoverOffer> {
        if !self.is_ready() {
            return None;
        }
        let services = self.services.get()?;
        let mut endpoints = services.dispatcher.endpoint_snapshot();
        endpoints.peers = self.policy().map_or(Vec::new(), |policy| policy.peer_addresses());
        let listener = services.clients.listener()?;
        Some(HandoverOffer { listener, endpoints })
    }

    fn shrink_budget(&self, activity: Activity) -> ResourceBudget {
        self.services.get().map_or(ResourceBudget::default(), |services| services.budget.shrink(activity))
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
                // A process that stops already directs its clients to other proxies.
                let _ = self.set_service(*service);
            }
        }
        Ok(())
    }

    fn handover_rejected(&self) {
        // Two processes that each take themselves for the only one would use twice the budget.
        if let Err(error) = signal_hook::low_level::raise(SIGTERM) {
            log(&format!("take over: this process cannot stop itself: {error}"));
        }
    }

    fn peer_changed(&self, peer: PeerProcess) {
        log(&format!("the other process: {peer:?}"));
        let change = self.apply_peer_change(peer);
        self.update_fleet_membership(peer, &change);
        if let Some(services) = self.services.get() {
            if change.is_delegated {
                services.clients.pause_listening();
            } else {
                services.clients.resume_listening();
            }
        }
    }
}

impl Lifecycle {
    fn apply_peer_change(&self, peer: PeerProcess) -> AcceptingChange {
        let mut state = self.state();
        let was_delegated = state.is_accepting_delegated();
        state.apply(LifecycleEvent::PeerChanged(peer));
        AcceptingChange { was_delegated, is_delegated: state.is_accepting_delegated() }
    }

    /// Makes the process that accepts clients the fleet's member, on behalf of both.
    fn update_fleet_membership(&self, peer: PeerProcess, change: &AcceptingChange) {
        let Some(fleet) = self.fleet() else { return };
        let second_process = match peer {
            PeerProcess::None => SecondProcess::None,
            _ => SecondProcess::Serving,
        };
        fleet.set_second_process(second_process);
        if change.is_delegated && !change.was_delegated {
            fleet.deactivate();
        } else if change.was_delegated && !change.is_delegated {
            fleet.activate_when_free();
        }
    }
}
