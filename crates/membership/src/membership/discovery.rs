//! Contacting the configured peers, at the start and after a partition. Read
//! [`Membership::discover_peers`] first.

use super::{Membership, Output, TimerKind};
use crate::wire::{self, DatagramKind};
use pinetrail_clock::whole_millis;
use std::net::SocketAddr;
use std::time::Duration;

/// The time after the start of a member in which the member, each time that it contacts peers, also
/// asks a live member for all members that the live member knows.
const INITIAL_SYNC_PERIOD: Duration = Duration::from_secs(30);

impl Membership {
    /// Contacts the configured peers that are not among the live members, and sets the timer to
    /// repeat this after [`crate::Timing::discovery_interval`].
    pub(super) fn discover_peers(&mut self, out: &mut Vec<Output>) {
        if self.is_name_holder() {
            self.send_to_missing_peers(out);
            if self.now < self.started_at + INITIAL_SYNC_PERIOD {
                self.sync_with_live_member(out);
            }
        }
        self.timers.set(self.now + self.settings.timing.discovery_interval, TimerKind::Discover);
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

    /// Asks one live member, the next in turn at each call, for the members that it knows.
    fn sync_with_live_member(&mut self, out: &mut Vec<Output>) {
        let interval_ms = whole_millis(self.settings.timing.discovery_interval).max(1);
        let round = (self.now.as_millis() / interval_ms) as usize;
        let index = round % self.swim.active_count().max(1);
        let member = self.active_members().nth(index).cloned();
        if let Some(id) = member {
            self.swim.announce(id);
        }
        self.apply_swim_output(out);
    }
}
