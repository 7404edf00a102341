//! [`PeerDirectory`]: the processes of the fleet and the addresses of their peer listeners.
//!
//! Active members of the fleet exchange these addresses by datagrams. Of two members, the one whose
//! name sorts first dials the other. An inactive process (one of the two processes of a hot
//! restart) dials all peers that it knows and does not vote.

mod message;
mod peer_table;

use super::presence::{Activity, Presence};
use crate::net::dispatcher::PeerAddress;
use crate::net::fleet::{Fleet, LivePeer};
use message::DirectoryMessage;
use peer_table::PeerTable;
use pinetrail_config::PolicyConfig;
use pinetrail_peer_transport::{Peer, Process, TcpNetwork};
use pinetrail_policy_consensus::ConsensusNode;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// The pause between two updates from the membership.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Whether a message requests the address of its receiver.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReplyRequest {
    Wanted,
    NotWanted,
}

/// Keeps the transport's list of peers and the [`Presence`] of this process up to date with the
/// fleet's membership.
pub(super) struct PeerDirectory {
    config: PolicyConfig,
    fleet: Arc<Fleet>,
    node: Arc<ConsensusNode<TcpNetwork>>,
    process: Process,
    /// The known peers. The lock is not held while the fleet is called, since the fleet calls
    /// [`PeerDirectory::on_message`], which takes it.
    peers: Mutex<PeerTable>,
}

impl PeerDirectory {
    /// Creates a directory that knows the peers handed over by another process of this proxy.
    pub(super) fn new(
        config: PolicyConfig,
        fleet: Arc<Fleet>,
        node: Arc<ConsensusNode<TcpNetwork>>,
        handed_over: Vec<PeerAddress>,
    ) -> PeerDirectory {
        let process = node.process().clone();
        let peers = Mutex::new(PeerTable::new(handed_over));
        PeerDirectory { config, fleet, node, process, peers }
    }

    /// Updates the transport's peers and the listener and voter of this process, until the sender
    /// of `stop` is dropped.
    pub(super) async fn run(self: Arc<Self>, stop: &Receiver<()>) {
        let receiver = Arc::clone(&self);
        self.fleet.set_directory_handler(Box::new(move |from, body| receiver.on_message(from, body)));
        let mut presence = Presence::new(self.config.clone(), Arc::clone(&self.node));
        while stop.try_recv() != Err(TryRecvError::Disconnected) {
            let live = self.fleet.live_peers();
            match live {
                Some(live) => {
                    presence.update(Activity::Active).await;
                    self.update_as_active_member(live);
                }
                None => {
                    presence.update(Activity::Inactive).await;
                    self.dial_all_peers();
                }
            }
            sleep(UPDATE_INTERVAL).await;
        }
        presence.update(Activity::Inactive).await;
    }

    /// Returns the addresses of the peers and of this process, to hand over to the next process of
    /// this proxy.
    pub(super) fn peer_addresses(&self) -> Vec<PeerAddress> {
        let mut addresses = self.peers().addresses();
        addresses.push(PeerAddress {
            name: self.process.name.to_string(),
            start: self.process.start,
            address: self.config.advertise,
        });
        addresses
    }

    /// Requests the addresses of live members that have not sent theirs, and dials the handed-over
    /// peers and those whose names sort after the name of this process.
    fn update_as_active_member(&self, live: Vec<LivePeer>) {
        let unresolved = self.peers().set_live(live);
        for address in unresolved {
            self.fleet.send_directory_message(address, &self.own_message(ReplyRequest::Wanted));
        }
        let peers = {
            let mut table = self.peers();
            let mut peers = table.handed_over().to_vec();
            let is_dialled = |peer: &PeerAddress| *self.process.name < *peer.name;
            peers.extend(table.addresses().into_iter().filter(is_dialled));
            table.remove_departed_handed_over();
            peers
        };
        self.dial(peers);
    }

    fn dial_all_peers(&self) {
        let peers = {
            let table = self.peers();
            let mut peers = table.handed_over().to_vec();
            peers.extend(table.addresses());
            peers
        };
        self.dial(peers);
    }

    /// Sets the peers that the transport dials. If a later process has replaced a handed-over peer,
    /// the handshake identifies the later process, and the connection counts for it.
    fn dial(&self, peers: Vec<PeerAddress>) {
        let peers = peers.into_iter().map(|peer| Peer {
            process: Process { name: peer.name.into(), start: peer.start },
            address: peer.address,
        });
        self.node.transport().set_peers(peers.collect());
    }

    /// Records the address in a member's message, and replies to it if the message requests that.
    /// Called by the fleet.
    fn on_message(&self, from: SocketAddr, body: &[u8]) {
        let Some(message) = DirectoryMessage::decode(body) else { return };
        let wants_reply = message.wants_reply;
        self.peers().record(from, message);
        if wants_reply {
            let fleet = Arc::clone(&self.fleet);
            let reply = self.own_message(ReplyRequest::NotWanted);
            // Called by the fleet, so this function must not call the fleet itself: a coroutine
            // sends the reply and ends.
            may::go!(move || fleet.send_directory_message(from, &reply));
        }
    }

    fn own_message(&self, reply: ReplyRequest) -> Vec<u8> {
        let message = DirectoryMessage {
            wants_reply: reply == ReplyRequest::Wanted,
            name: self.process.name.to_string(),
            start: self.process.start,
            address: self.config.advertise,
        };
        message.encode()
    }

    fn peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod golden_tests;
