//! Leaving the fleet on request: [`Membership::leave`].

use super::{LocalState, Membership, Output};
use crate::identity::LEAVE_GENERATION;
use crate::wire::{self, DatagramKind};
use pinetrail_clock::Timestamp;
use std::net::SocketAddr;

/// The number of members that a leaving member notifies directly; gossip reaches the others.
const LEAVE_FANOUT: usize = 16;

impl Membership {
    /// Leaves the fleet. Datagrams that arrive later are counted and otherwise ignored.
    pub fn leave(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.advance_clock(now, out);
        if self.is_name_holder() {
            let last_id = self.local_id.with_generation(LEAVE_GENERATION);
            let body = wire::encode_body(&last_id);
            let receivers: Vec<SocketAddr> =
                self.active_members().take(LEAVE_FANOUT).map(|id| id.address).collect();
            for to in receivers {
                self.send(DatagramKind::Leave, to, &body, out);
            }
            self.swim.leave(last_id);
            self.apply_swim_output(out);
        }
        self.local_state = LocalState::Left;
        self.timers.retain(|_| false);
    }
}
