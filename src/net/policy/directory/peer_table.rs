//! [`PeerTable`]: the peers whose listener addresses are known.

use super::message::DirectoryMessage;
use crate::net::dispatcher::PeerAddress;
use crate::net::fleet::LivePeer;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A peer that has sent the address of its listener.
struct PeerRecord {
    /// The start by which membership identified the member when its message arrived. It differs
    /// from the start in `address`, since membership and policy consensus each take their own.
    membership_start: u64,
    address: PeerAddress,
}

/// The known peers of this process.
#[derive(Default)]
pub(super) struct PeerTable {
    by_name: BTreeMap<String, PeerRecord>,
    /// The members that were alive at the last update of this process as an active member.
    live: Vec<LivePeer>,
    /// The peers that another process of this proxy handed over and that have not departed since.
    handed_over: Vec<PeerAddress>,
}

impl PeerTable {
    /// Creates a table with the peers that another process of this proxy handed over.
    pub(super) fn new(handed_over: Vec<PeerAddress>) -> PeerTable {
        PeerTable { handed_over, ..PeerTable::default() }
    }

    /// Returns the addresses of the peers that have sent their own.
    pub(super) fn addresses(&self) -> Vec<PeerAddress> {
        self.by_name.values().map(|peer| peer.address.clone()).collect()
    }

    /// Returns the handed-over peers.
    pub(super) fn handed_over(&self) -> &[PeerAddress] {
        &self.handed_over
    }

    /// Sets the live members and removes the peers that are not among them. Returns the membership
    /// addresses of the live members that have not sent their listener addresses.
    pub(super) fn set_live(&mut self, live: Vec<LivePeer>) -> Vec<SocketAddr> {
        self.by_name.retain(|name, peer| {
            live.iter().any(|member| *member.name == **name && member.start == peer.membership_start)
        });
        let missing = live.iter().filter(|member| !self.by_name.contains_key(&*member.name));
        let addresses = missing.map(|member| member.address).collect();
        self.live = live;
        addresses
    }

    /// Removes the handed-over peers whose names no live member has.
    pub(super) fn remove_departed_handed_over(&mut self) {
        let live = &self.live;
        self.handed_over.retain(|peer| live.iter().any(|member| *member.name == *peer.name));
    }

    /// Records the listener address in the message of the live member at `from`. A message from a
    /// member that membership does not list yet is ignored, since the member is asked again once it
    /// is listed.
    pub(super) fn record(&mut self, from: SocketAddr, message: DirectoryMessage) {
        let mut live = self.live.iter();
        let sender = live.find(|member| *member.name == *message.name && member.address == from);
        let Some(sender) = sender else { return };
        let membership_start = sender.start;
        let address =
            PeerAddress { name: message.name.clone(), start: message.start, address: message.address };
        self.by_name.insert(message.name, PeerRecord { membership_start, address });
    }
}

#[cfg(test)]
#[path = "peer_table_tests.rs"]
mod tests;
