//! [`ActiveMember`]: a member with an open socket.

use super::quota::{LocalQuota, QuotaDriver};
use crate::net::polled_socket::PolledSocket;
use pinetrail_clock::Timestamp;
use pinetrail_membership::{Membership, Output, State};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// Which activation of this process a coroutine belongs to: each is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ActivationId(pub u64);

/// Another member that is alive, as the peer transport needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LivePeer {
    /// Its name.
    pub name: Arc<str>,
    /// When its process started, in Unix microseconds.
    pub start: u64,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
}

/// A member with its socket, its view of the fleet, and its quota.
pub(super) struct ActiveMember {
    pub activation: ActivationId,
    pub socket: Arc<PolledSocket<UdpSocket>>,
    pub membership: Membership,
    /// None if the fleet has no quota.
    pub quota: Option<QuotaDriver>,
}

impl ActiveMember {
    /// Passes the messages of the quota, which it takes from `out`, to the quota, and does what is
    /// due; returns the new quota if it has changed.
    pub(super) fn drive_quota(&mut self, now: Timestamp, out: &mut Vec<Output>) -> Option<LocalQuota> {
        let quota = self.quota.as_mut()?;
        // Most datagrams are not about the quota.
        if !out.iter().any(is_quota_message) && now < quota.next_timeout() {
            return None;
        }
        let mut changed = None;
        let (messages, others): (Vec<Output>, Vec<Output>) =
            std::mem::take(out).into_iter().partition(is_quota_message);
        *out = others;
        for message in messages {
            if let Output::QuotaMessage(bytes) = message {
                changed = quota.handle_message(now, &bytes, &mut self.membership, out).or(changed);
            }
        }
        if self.membership.is_name_holder() && now >= quota.next_timeout() {
            changed = quota.handle_timeout(now, &mut self.membership, out).or(changed);
        }
        changed
    }

    /// When something is due next, if anything is.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        let quota = self.quota.as_ref().filter(|_| self.membership.is_name_holder());
        let quota_timeout = quota.map(QuotaDriver::next_timeout);
        self.membership.next_timeout().into_iter().chain(quota_timeout).min()
    }

    /// The other members that are alive, suspected ones included.
    pub(super) fn live_peers(&self) -> Vec<LivePeer> {
        let own_name = &self.membership.local_id().name;
        let mut peers = Vec::new();
        for record in self.membership.members() {
            if record.name != *own_name && matches!(record.state, State::Alive | State::Suspect) {
                peers.push(LivePeer { name: record.name, start: record.start, address: record.address });
            }
        }
        peers
    }
}

fn is_quota_message(output: &Output) -> bool {
    matches!(output, Output::QuotaMessage(_))
}
