//! The public interface of the transport: [`PeerTransport`].

use crate::accept;
use crate::config::{Peer, TransportConfig};
use crate::dial;
use crate::frame::Frame;
use crate::handler::MessageHandler;
use crate::network::Network;
use crate::process::Process;
use crate::shared::Shared;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The connections of one process with the other processes of its fleet.
///
/// [`PeerTransport::listen`] and [`PeerTransport::set_peers`] spawn tasks, so they must be called
/// inside a tokio runtime. They must be called after [`PeerTransport::set_handler`].
pub struct PeerTransport<N: Network> {
    shared: Arc<Shared<N>>,
}

impl<N: Network> PeerTransport<N> {
    /// Creates a transport without connections. Call [`PeerTransport::set_handler`], then
    /// [`PeerTransport::listen`] and [`PeerTransport::set_peers`].
    pub fn new(network: N, config: TransportConfig) -> Arc<PeerTransport<N>> {
        Arc::new(PeerTransport { shared: Arc::new(Shared::new(network, config)) })
    }

    /// Sets the handler of messages and events; only the first call has an effect.
    pub fn set_handler(&self, handler: Arc<dyn MessageHandler>) {
        self.shared.set_handler(handler);
    }

    /// Accepts connections at an address until the returned task is aborted. Established
    /// connections stay open after that.
    ///
    /// # Errors
    ///
    /// If this process cannot listen at the address.
    pub async fn listen(&self, address: SocketAddr) -> io::Result<JoinHandle<()>> {
        let listener = self.shared.network.bind(address).await?;
        Ok(tokio::spawn(accept::accept_connections(Arc::clone(&self.shared), listener)))
    }

    /// Sets the peers to dial; this process itself is skipped. Established connections stay open.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        for peer in self.shared.set_peers(peers) {
            // The task ends after a later call whose peers do not include this one.
            tokio::spawn(dial::keep_connected(Arc::clone(&self.shared), peer));
        }
    }

    /// Sets the voter id that this process holds, if any. If the voter id changes, all connections
    /// are closed and established again, since only the handshake announces a voter id.
    pub fn set_voter_id(&self, voter_id: Option<u8>) {
        self.shared.set_voter_id(voter_id);
    }

    /// Sends a message to a process. Returns false if the message is dropped, because no connection
    /// with the process is established or the send queue has no capacity.
    pub fn send(&self, to: &Process, body: Vec<u8>) -> bool {
        match self.shared.connection(to) {
            Some(connection) => connection.send_queue.push(&Frame::OneWay(body)),
            None => false,
        }
    }

    /// Sends a message to all connected processes.
    pub fn broadcast(&self, body: &[u8]) {
        for connection in self.shared.connections() {
            // A peer for which the message is dropped gets a request to resynchronise.
            connection.send_queue.push(&Frame::OneWay(body.to_vec()));
        }
    }

    /// Sends a request to a process and waits for the response. Returns `None` if no connection is
    /// established, if the peer has no response, or if none arrives within the limit.
    pub async fn request(&self, to: &Process, body: Vec<u8>, limit: Duration) -> Option<Vec<u8>> {
        let connection = self.shared.connection(to)?;
        let sent = connection.request(body);
        match timeout(limit, sent.response).await {
            Ok(response) => response.ok().flatten(),
            Err(_) => {
                connection.cancel_request(sent.id);
                None
            }
        }
    }

    /// Returns the connected process that holds a voter id; of several processes with the same
    /// voter id, the one that started last.
    pub fn voter_process(&self, voter_id: u8) -> Option<Process> {
        let connections = self.shared.connections();
        let holders = connections.iter().filter(|connection| connection.voter_id() == Some(voter_id));
        holders.map(|connection| connection.peer()).max_by_key(|process| process.start).cloned()
    }

    /// Returns all connected processes.
    pub fn connected_peers(&self) -> Vec<Process> {
        self.shared.connected_peers()
    }

    /// Returns whether a connection with a process is established.
    pub fn is_connected(&self, process: &Process) -> bool {
        self.shared.is_connected(process)
    }

    /// Returns the shared state of the tasks, for the tests of this crate.
    #[cfg(test)]
    pub(crate) fn shared(&self) -> &Arc<Shared<N>> {
        &self.shared
    }
}
