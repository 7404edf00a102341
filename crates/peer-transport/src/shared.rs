//! The state of all connections of one process: [`Shared`]. The tasks in `accept`, `dial` and
//! `session` use this state, which spawns no tasks itself. [`PeerTransport`](crate::PeerTransport)
//! is its public interface.

use crate::config::{Peer, Timing, TransportConfig};
use crate::connection::PeerConnection;
use crate::frame::{Handshake, PROTOCOL_VERSION};
use crate::handler::MessageHandler;
use crate::network::Network;
use crate::process::Process;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

/// The range of the factor by which a backoff is multiplied, so that the peers of a restarted
/// process do not all dial it at the same time.
const JITTER_FACTORS: Range<f64> = 0.5..1.5;

/// The state that changes while the transport runs.
#[derive(Default)]
struct State {
    /// The voter id that this process announces, if it holds one.
    voter_id: Option<u8>,
    connections: BTreeMap<Process, Arc<PeerConnection>>,
    /// The peers to dial, with their addresses.
    peers: BTreeMap<Process, SocketAddr>,
    /// The peers for which a task of `dial` runs.
    dialing: BTreeSet<Peer>,
}

/// The state that the tasks of one transport share.
pub(crate) struct Shared<N: Network> {
    pub(crate) network: N,
    pub(crate) config: TransportConfig,
    handler: OnceLock<Arc<dyn MessageHandler>>,
    /// The connections and the peers. While the lock is held, no connection is closed and the
    /// handler is not called.
    state: Mutex<State>,
    /// The random numbers of the jitter. The lock is held for single draws only.
    rng: Mutex<StdRng>,
}

impl<N: Network> Shared<N> {
    pub(crate) fn new(network: N, config: TransportConfig) -> Shared<N> {
        let rng = StdRng::seed_from_u64(config.seed);
        Shared { network, config, handler: OnceLock::new(), state: Mutex::default(), rng: Mutex::new(rng) }
    }

    pub(crate) fn timing(&self) -> Timing {
        self.config.timing
    }

    /// Sets the handler; only the first call has an effect.
    pub(crate) fn set_handler(&self, handler: Arc<dyn MessageHandler>) {
        let _ = self.handler.set(handler);
    }

    /// Returns the handler.
    ///
    /// # Panics
    ///
    /// If no handler was set; a handler must be set before the transport listens or dials.
    pub(crate) fn handler(&self) -> &dyn MessageHandler {
        &**self.handler.get().expect("set_handler is called before listen and set_peers")
    }

    /// Returns the handshake of this process.
    pub(crate) fn handshake(&self) -> Handshake {
        Handshake {
            version: PROTOCOL_VERSION,
            fleet: self.config.fleet.clone(),
            sender: self.config.process.clone(),
            voter_id: self.state().voter_id,
        }
    }

    /// Sets the voter id that handshakes announce. If the voter id changes, all connections are
    /// closed, since peers learn of it only by a new handshake.
    pub(crate) fn set_voter_id(&self, voter_id: Option<u8>) {
        let connections = {
            let mut state = self.state();
            if state.voter_id == voter_id {
                return;
            }
            state.voter_id = voter_id;
            state.connections()
        };
        for connection in &connections {
            connection.close();
        }
    }

    /// Adds an established connection, and closes an earlier one with the same peer.
    pub(crate) fn add_connection(&self, connection: &Arc<PeerConnection>) {
        let peer = connection.peer();
        let replaced = self.state().connections.insert(peer.clone(), Arc::clone(connection));
        if let Some(replaced) = replaced {
            replaced.close();
        }
        self.handler().on_connected(peer, connection.voter_id());
    }

    /// Removes an ended connection, unless another connection has replaced it.
    pub(crate) fn remove_connection(&self, connection: &Arc<PeerConnection>) {
        let peer = connection.peer();
        let is_removed = {
            let mut state = self.state();
            let is_current =
                state.connections.get(peer).is_some_and(|current| Arc::ptr_eq(current, connection));
            if is_current {
                state.connections.remove(peer);
            }
            is_current
        };
        if is_removed {
            self.handler().on_disconnected(peer);
        }
    }

    pub(crate) fn connection(&self, peer: &Process) -> Option<Arc<PeerConnection>> {
        self.state().connections.get(peer).cloned()
    }

    pub(crate) fn connections(&self) -> Vec<Arc<PeerConnection>> {
        self.state().connections()
    }

    pub(crate) fn connected_peers(&self) -> Vec<Process> {
        self.state().connections.keys().cloned().collect()
    }

    pub(crate) fn is_connected(&self, peer: &Process) -> bool {
        self.state().connections.contains_key(peer)
    }

    /// Sets the peers to dial, and returns the peers for which the caller must start a task.
    pub(crate) fn set_peers(&self, peers: Vec<Peer>) -> Vec<Peer> {
        let mut state = self.state();
        state.peers = peers.iter().map(|peer| (peer.process.clone(), peer.address)).collect();
        let mut to_start = Vec::new();
        for peer in peers {
            if peer.process != self.config.process && state.dialing.insert(peer.clone()) {
                to_start.push(peer);
            }
        }
        to_start
    }

    /// Returns whether a peer is in the list of peers with the same address.
    pub(crate) fn is_peer(&self, peer: &Peer) -> bool {
        self.state().peers.get(&peer.process) == Some(&peer.address)
    }

    /// Records that the task that dialled a peer has ended.
    pub(crate) fn remove_dialing(&self, peer: &Peer) {
        self.state().dialing.remove(peer);
    }

    /// Returns a random factor in [`JITTER_FACTORS`].
    pub(crate) fn jitter_factor(&self) -> f64 {
        lock(&self.rng).random_range(JITTER_FACTORS)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    fn connections(&self) -> Vec<Arc<PeerConnection>> {
        self.connections.values().cloned().collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
