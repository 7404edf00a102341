//! Which processes there are, and where their connections are accepted: [`PeerDirectory`].
//!
//! Active members of the fleet tell each other by datagrams. Of two processes the one with the
//! lower name dials. A process that is not an active member (it is being upgraded, or is the
//! newcomer of an upgrade) dials all that it knows, and does not vote.

use super::presence::Presence;
use crate::net::config::PolicyConfig;
use crate::net::dispatcher::PeerAddress;
use crate::net::fleet::{Fleet, LivePeer};
use pinetrail_peer_transport::{Peer, Process, TcpNetwork};
use pinetrail_policy_consensus::ConsensusNode;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// The pause between two looks at who is alive.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// What a process tells another one of itself.
///
/// The order of the fields is the datagram's format (postcard).
#[derive(Serialize, Deserialize)]
struct DirectoryMessage {
    /// Whether the receiver is to send the same of itself.
    wants_reply: bool,
    name: String,
    /// When the process started, in Unix microseconds.
    start: u64,
    /// Where it accepts connections of peers.
    address: SocketAddr,
}

/// A process that has told where it accepts connections.
struct KnownPeer {
    /// The start by which membership knew it at that time. It is not the one in `address`: each of
    /// the two counts its own.
    membership_start: u64,
    address: PeerAddress,
}

#[derive(Default)]
struct State {
    /// By name.
    known: BTreeMap<String, KnownPeer>,
    /// The members that were alive when this process last looked as an active member.
    live: Vec<LivePeer>,
    /// Those of whom another process of this proxy told at the start, and who are not known to be
    /// gone.
    handed_over: Vec<PeerAddress>,
}

/// Keeps the transport's list of peers up to date.
pub(super) struct PeerDirectory {
    config: PolicyConfig,
    fleet: Arc<Fleet>,
    node: Arc<ConsensusNode<TcpNetwork>>,
    process: Process,
    /// Who is known. It is not locked while the fleet is called, which calls
    /// [`PeerDirectory::on_message`] with its own lock held.
    state: Mutex<State>,
}

impl PeerDirectory {
    /// A directory that knows those of whom another process of this proxy told.
    pub(super) fn new(
        config: PolicyConfig,
        fleet: Arc<Fleet>,
        node: Arc<ConsensusNode<TcpNetwork>>,
        handed_over: Vec<PeerAddress>,
    ) -> PeerDirectory {
        let process = node.process().clone();
        let state = Mutex::new(State { handed_over, ..State::default() });
        PeerDirectory { config, fleet, node, process, state }
    }

    /// Keeps the transport's peers, listener and voter id as they should be, until the sender of
    /// `stop` is dropped.
    pub(super) async fn run(self: Arc<Self>, stop: &Receiver<()>) {
        let receiver = Arc::clone(&self);
        self.fleet.set_directory_handler(Box::new(move |from, body| receiver.on_message(from, body)));
        let mut presence = Presence::new(self.config.clone(), Arc::clone(&self.node));
        while stop.try_recv() != Err(TryRecvError::Disconnected) {
            let live = self.fleet.live_peers();
            presence.update(live.is_some()).await;
            match live {
                Some(live) => self.update_as_active_member(live),
                None => self.dial_all_known(),
            }
            sleep(UPDATE_INTERVAL).await;
        }
    }

    /// All that are known, this process included, for a newcomer of this proxy.
    pub(super) fn peer_addresses(&self) -> Vec<PeerAddress> {
        let mut addresses = self.state().known_addresses();
        addresses.push(PeerAddress {
            name: self.process.name.to_string(),
            start: self.process.start,
            address: self.config.advertise,
        });
        addresses
    }

    /// Asks live members that are not known yet where they accept connections, and dials those
    /// with a higher name.
    fn update_as_active_member(&self, live: Vec<LivePeer>) {
        let unknown = self.state().set_live(live);
        for address in unknown {
            self.fleet.send_directory_message(address, &self.own_message(true));
        }
        let peers = {
            let mut state = self.state();
            let mut peers = state.handed_over.clone();
            let known = state.known_addresses();
            peers.extend(known.into_iter().filter(|peer| *self.process.name < *peer.name));
            state.forget_gone_handed_over();
            peers
        };
        self.dial(peers);
    }

    fn dial_all_known(&self) {
        let peers = {
            let state = self.state();
            let mut peers = state.handed_over.clone();
            peers.extend(state.known_addresses());
            peers
        };
        self.dial(peers);
    }

    /// Has the transport dial these, and no others. Where one that was handed over is a later
    /// process by now, its handshake says so, and the connection counts as that process's.
    fn dial(&self, peers: Vec<PeerAddress>) {
        let peers = peers.into_iter().map(|peer| Peer {
            process: Process { name: peer.name.into(), start: peer.start },
            address: peer.address,
        });
        self.node.transport().set_peers(peers.collect());
    }

    /// A member has sent where it accepts connections. It is called with the fleet locked.
    fn on_message(&self, from: SocketAddr, body: &[u8]) {
        let Ok(message) = postcard::from_bytes::<DirectoryMessage>(body) else { return };
        let wants_reply = message.wants_reply;
        self.state().record(from, message);
        if wants_reply {
            let fleet = Arc::clone(&self.fleet);
            let reply = self.own_message(false);
            // In a coroutine, since the fleet is locked here; it ends once the reply is sent.
            may::go!(move || fleet.send_directory_message(from, &reply));
        }
    }

    fn own_message(&self, wants_reply: bool) -> Vec<u8> {
        let message = DirectoryMessage {
            wants_reply,
            name: self.process.name.to_string(),
            start: self.process.start,
            address: self.config.advertise,
        };
        // It cannot fail: postcard represents all of the fields.
        postcard::to_allocvec(&message).unwrap_or_default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn known_addresses(&self) -> Vec<PeerAddress> {
        self.known.values().map(|peer| peer.address.clone()).collect()
    }

    /// Sets who is alive and forgets who is not; the addresses of those that are not known yet.
    fn set_live(&mut self, live: Vec<LivePeer>) -> Vec<SocketAddr> {
        self.known.retain(|known_name, peer| {
            live.iter().any(|member| *member.name == **known_name && member.start == peer.membership_start)
        });
        let unknown = live.iter().filter(|member| !self.known.contains_key(&*member.name));
        let addresses = unknown.map(|member| member.address).collect();
        self.live = live;
        addresses
    }

    fn forget_gone_handed_over(&mut self) {
        let live = &self.live;
        self.handed_over.retain(|peer| live.iter().any(|member| *member.name == *peer.name));
    }

    /// Takes what the member at an address sent. If membership does not know it yet, it is ignored:
    /// it will be asked once membership does.
    fn record(&mut self, from: SocketAddr, message: DirectoryMessage) {
        let mut live = self.live.iter();
        let sender = live.find(|member| *member.name == *message.name && member.address == from);
        let Some(sender) = sender else { return };
        let membership_start = sender.start;
        let address =
            PeerAddress { name: message.name.clone(), start: message.start, address: message.address };
        self.known.insert(message.name, KnownPeer { membership_start, address });
    }
}

#[cfg(test)]
#[path = "directory_golden_tests.rs"]
mod golden_tests;
#[cfg(test)]
mod tests;
