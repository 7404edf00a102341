//! Leaving the fleet on purpose: [`Membership::leave`].

use super::{LocalState, Membership, Output};
use crate::identity::LEAVE_GENERATION;
use crate::wire::{self, DatagramKind};
use crate::Time;
use std::net::SocketAddr;

/// A leaving member tells so many others directly; the rest learn it from them.
const LEAVE_FANOUT: usize = 16;

impl Membership {
    /// Leaves the fleet. Nothing but counting happens afterwards.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
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
