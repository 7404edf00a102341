//! [`ActiveMember`]: the state of this process while it is its proxy's member of the fleet.

use super::quota::{LocalQuota, QuotaDriver};
use crate::net::polled_socket::PolledSocket;
use pinetrail_clock::Timestamp;
use pinetrail_membership::{MemberState, Membership, Output};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// The identifier of one activation of this process. A coroutine ends when its own activation is
/// over, even if the process has become active again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ActivationId(pub u64);

/// A live member other than this process, with the data that the peer directory needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LivePeer {
    /// The name of the member.
    pub name: Arc<str>,
    /// The time at which the member's process started, in Unix microseconds.
    pub start: u64,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
}

/// A member with its socket, its view of the fleet, and its quota.
pub(super) struct ActiveMember {
    pub activation: ActivationId,
    pub socket: Arc<PolledSocket<UdpSocket>>,
    pub membership: Membership,
    /// The quota of this process; `None` if the fleet has no quota.
    pub quota: Option<QuotaDriver>,
}

impl ActiveMember {
    /// Moves the quota messages from `out` to the quota driver and handles the driver's timeouts
    /// that are due. Returns the new quota if it has changed.
    ///
    /// Timeouts are handled only while this process holds its name in the fleet.
    pub(super) fn drive_quota(&mut self, now: Timestamp, out: &mut Vec<Output>) -> Option<LocalQuota> {
        let quota = self.quota.as_mut()?;
        // The common case: most datagrams carry no quota message.
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

    /// Returns the time of the earliest timeout of the membership and the quota, if there is one.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        let quota = self.quota.as_ref().filter(|_| self.membership.is_name_holder());
        let quota_timeout = quota.map(QuotaDriver::next_timeout);
        self.membership.next_timeout().into_iter().chain(quota_timeout).min()
    }

    /// Returns the other members that are alive, including suspected ones.
    pub(super) fn live_peers(&self) -> Vec<LivePeer> {
        let own_name = &self.membership.local_id().name;
        let mut peers = Vec::new();
        for record in self.membership.members() {
            if record.name != *own_name && matches!(record.state, MemberState::Alive | MemberState::Suspect) {
                peers.push(LivePeer { name: record.name, start: record.start, address: record.address });
            }
        }
        peers
    }
}

fn is_quota_message(output: &Output) -> bool {
    matches!(output, Output::QuotaMessage(_))
}
