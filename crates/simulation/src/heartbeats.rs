//! The failure detector that SWIM is compared with: [`Heartbeats`]. Every member sends heartbeats
//! to all others, and a member that is silent for longer than a timeout counts as failed.

use crate::fleet::{host_address, Member};
use crate::Time;
use pinetrail_membership::{MemberRecord, MemberState, MembershipEvent, Output, Timestamp};
use std::net::SocketAddr;
use std::time::Duration;

/// The length of a heartbeat, in bytes: as long as the header of a SWIM message.
const HEARTBEAT_BYTES: usize = 64;
/// The time between the first heartbeats of members with consecutive numbers, in ms.
const STAGGER_MS: Time = 7;

/// The observed state of another member.
#[derive(Clone, Copy, Default)]
struct Peer {
    /// When the last heartbeat of the member arrived; none if none ever arrived.
    last_seen: Option<Timestamp>,
    has_failed: bool,
}

/// A member that detects failures by heartbeats.
pub struct Heartbeats {
    own_host: usize,
    period: Duration,
    timeout: Duration,
    next_heartbeat: Timestamp,
    peers: Vec<Peer>,
}

impl Heartbeats {
    /// Creates the member on `own_host` in a fleet of `hosts` members. A member sends a heartbeat
    /// every `period`, and counts as failed if it is silent for longer than `timeout`, both in ms.
    pub fn new(own_host: usize, hosts: usize, period: Time, timeout: Time, now: Timestamp) -> Heartbeats {
        // The first heartbeats are staggered, so that members do not all send at the same moment.
        let next_heartbeat = now + Duration::from_millis((own_host as Time * STAGGER_MS) % period);
        let peers = vec![Peer::default(); hosts];
        let (period, timeout) = (Duration::from_millis(period), Duration::from_millis(timeout));
        Heartbeats { own_host, period, timeout, next_heartbeat, peers }
    }
}

/// Returns the event that reports a new state of the member on a host.
fn state_changed(now: Timestamp, host: usize, state: MemberState) -> Output {
    let record = MemberRecord {
        name: format!("n{host:04}").into(),
        start: 0,
        address: host_address(host),
        state,
        incarnation: 0,
        since: now,
    };
    Output::MembershipEvent(MembershipEvent::MemberChanged { record, previous: None })
}

impl Member for Heartbeats {
    fn next_timeout(&self) -> Option<Timestamp> {
        Some(self.next_heartbeat)
    }

    fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + self.period;
        let others = (0..self.peers.len()).filter(|host| *host != self.own_host);
        out.extend(others.map(|to| Output::Send(host_address(to), vec![0; HEARTBEAT_BYTES])));
        for (host, peer) in self.peers.iter_mut().enumerate() {
            let is_silent = peer.last_seen.is_some_and(|last| last + self.timeout < now);
            if is_silent && !peer.has_failed {
                peer.has_failed = true;
                out.push(state_changed(now, host, MemberState::Failed));
            }
        }
    }

    fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, _bytes: &[u8], out: &mut Vec<Output>) {
        let SocketAddr::V4(address) = from else { return };
        let [_, _, high, low] = address.ip().octets();
        let host = usize::from(high) << 8 | usize::from(low);
        let Some(peer) = self.peers.get_mut(host) else { return };
        peer.last_seen = Some(now);
        if peer.has_failed {
            peer.has_failed = false;
            out.push(state_changed(now, host, MemberState::Alive));
        }
    }
}
