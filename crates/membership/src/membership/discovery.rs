//! Finding the configured peers, at the start and after they were lost. See
//! [`Membership::discover_peers`].

use super::{Membership, Output, TimerKind};
use crate::wire::{self, DatagramKind};
use crate::Time;
use std::net::SocketAddr;

/// For so long after its start, in ms, a member also asks one member that it knows, each time that
/// it looks for peers, for those that this one knows.
const NEWCOMER_PERIOD: Time = 30_000;

impl Membership {
    /// Sends to the configured peers that are not among the live members, and does so again after
    /// [`crate::Timing::rejoin`].
    pub(super) fn discover_peers(&mut self, out: &mut Vec<Output>) {
        if self.is_name_holder() {
            self.send_to_missing_peers(out);
            if self.now < self.started_at + NEWCOMER_PERIOD {
                self.ask_known_member(out);
            }
        }
        self.timers.set(self.now + self.settings.times.rejoin, TimerKind::Discover);
    }

    fn send_to_missing_peers(&mut self, out: &mut Vec<Output>) {
        let live: Vec<SocketAddr> = self.active_members().map(|id| id.address).collect();
        let body = wire::encode_body(&self.local_id);
        for peer in self.settings.peers.clone() {
            if !live.contains(&peer) {
                self.send(DatagramKind::Discover, peer, &body, out);
            }
        }
    }

    /// Asks the live members in turn, one at each call.
    fn ask_known_member(&mut self, out: &mut Vec<Output>) {
        let round = (self.now / self.settings.times.rejoin.max(1)) as usize;
        let index = round % self.swim.active_count().max(1);
        let member = self.active_members().nth(index).cloned();
        if let Some(id) = member {
            self.swim.announce(id);
        }
        self.apply_swim_output(out);
    }
}
