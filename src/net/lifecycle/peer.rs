//! What the other process of this proxy may ask of this one, and is told of it.

use super::Lifecycle;
use crate::net::dispatcher::EndpointSnapshot;
use crate::net::hot_restart::{ControlCommand, Host, PeerProcess, Share};
use crate::net::listener::Listener;
use crate::net::log::log;
use std::sync::Arc;

impl Host for Lifecycle {
    fn give(&self) -> Option<(Arc<Listener>, EndpointSnapshot)> {
        let sides = self.sides.get().filter(|_| self.is_ready())?;
        let mut nodes = sides.exchange.endpoint_snapshot();
        nodes.links = self.policy().map_or(Vec::new(), |policy| policy.neighbours());
        Some((sides.consumers.listener()?, nodes))
    }

    fn share(&self, leaving: bool) -> Share {
        self.sides.get().map_or(Share::default(), |sides| sides.budget.divide(leaving))
    }

    fn allow(&self, share: Option<Share>) {
        self.sides.get().into_iter().for_each(|sides| sides.budget.allow(share));
    }

    fn carry_out(&self, order: &ControlCommand) -> Result<(), String> {
        let sides = self.sides.get().ok_or("it starts")?;
        match order {
            ControlCommand::Offline(id) => {
                sides.exchange.enter_maintenance(id).map_err(|error| error.to_string())
            }
            ControlCommand::Online(id) => {
                sides.exchange.leave_maintenance(id).map_err(|error| error.to_string())
            }
            // One that stops sends its clients away as it is.
            ControlCommand::Service(into) => {
                let _ = self.serve(*into);
                Ok(())
            }
        }
    }

    fn partner(&self, partner: PeerProcess) {
        log(&format!("the other process: {partner:?}"));
        let (left_it, leaves_accepting) = self.change(|stand| {
            let left_it = stand.leaves_accepting();
            stand.partner = partner;
            // Who has outlived the older process is the older one for the next.
            stand.is_newcomer &= partner != PeerProcess::None;
            (left_it, stand.leaves_accepting())
        });
        self.fleet().into_iter().for_each(|fleet| fleet.set_beside(partner != PeerProcess::None));
        // Who accepts speaks in the fleet, for both.
        match (self.fleet(), left_it, leaves_accepting) {
            (Some(fleet), false, true) => fleet.deactivate(),
            (Some(fleet), true, false) => fleet.activate_when_free(),
            _ => {}
        }
        self.sides.get().into_iter().for_each(|sides| sides.consumers.rest_listening(leaves_accepting));
    }
}
