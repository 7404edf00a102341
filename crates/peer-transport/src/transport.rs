//! All connections of one process, as its users see them: [`PeerTransport`].

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

/// The connections of one process with others of its fleet.
///
/// [`PeerTransport::listen`] and [`PeerTransport::set_peers`] spawn tasks, so that they are to be
/// called inside a tokio runtime, and after [`PeerTransport::set_handler`].
pub struct PeerTransport<N: Network> {
    shared: Arc<Shared<N>>,
}

impl<N: Network> PeerTransport<N> {
    /// A transport without connections: [`PeerTransport::listen`] and [`PeerTransport::set_peers`]
    /// bring them, once [`PeerTransport::set_handler`] was called.
    pub fn new(network: N, config: TransportConfig) -> Arc<PeerTransport<N>> {
        Arc::new(PeerTransport { shared: Arc::new(Shared::new(network, config)) })
    }

    /// Sets who receives messages from now on; only the first one that is set counts.
    pub fn set_handler(&self, handler: Arc<dyn MessageHandler>) {
        self.shared.set_handler(handler);
    }

    /// Accepts connections at this address, until the task that is returned is aborted.
    /// Connections that are up then stay.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened at.
    pub async fn listen(&self, address: SocketAddr) -> io::Result<JoinHandle<()>> {
        let listener = self.shared.network.bind(address).await?;
        Ok(tokio::spawn(accept::accept_connections(Arc::clone(&self.shared), listener)))
    }

    /// Sets who is dialled from now on: these peers and no others. This process itself is left
    /// out. Connections that are up stay.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        for peer in self.shared.set_peers(peers) {
            // The task ends once the peer is not among those set any more.
            tokio::spawn(dial::keep_connected(Arc::clone(&self.shared), peer));
        }
    }

    /// Sets the voter id that this process holds, if any. If that is a change, connections that
    /// are up end, since the handshake announces it; they come up again with it.
    pub fn set_voter_id(&self, voter_id: Option<u8>) {
        self.shared.set_voter_id(voter_id);
    }

    /// Sends a message to a process. False if it is dropped: there is no connection, or no room in
    /// the queue.
    pub fn send(&self, to: &Process, body: Vec<u8>) -> bool {
        match self.shared.connection(to) {
            Some(connection) => connection.send_queue.push(&Frame::OneWay(body)),
            None => false,
        }
    }

    /// Sends a message to all processes that are connected.
    pub fn broadcast(&self, body: &[u8]) {
        for connection in self.shared.connections() {
            // A peer for which it does not fit is told to resynchronise.
            connection.send_queue.push(&Frame::OneWay(body.to_vec()));
        }
    }

    /// Sends a request to a process and waits for the response. None if there is no connection, the
    /// peer has no response, or none came within the limit.
    pub async fn request(&self, to: &Process, body: Vec<u8>, limit: Duration) -> Option<Vec<u8>> {
        let connection = self.shared.connection(to)?;
        let sent = connection.request(body);
        match timeout(limit, sent.response).await {
            Ok(response) => response.ok().flatten(),
            Err(_) => {
                connection.forget_request(sent.id);
                None
            }
        }
    }

    /// The connected process that holds this voter id; of several, the one that started last.
    pub fn voter_process(&self, voter_id: u8) -> Option<Process> {
        let connections = self.shared.connections();
        let holders = connections.iter().filter(|connection| connection.voter_id() == Some(voter_id));
        holders.map(|connection| connection.peer()).max_by_key(|process| process.start).cloned()
    }

    /// All processes that are connected.
    pub fn connected_peers(&self) -> Vec<Process> {
        self.shared.connected_peers()
    }

    /// Whether there is a connection with a process.
    pub fn is_connected(&self, process: &Process) -> bool {
        self.shared.is_connected(process)
    }

    /// The state that the tasks share, for tests of the crate.
    #[cfg(test)]
    pub(crate) fn shared(&self) -> &Arc<Shared<N>> {
        &self.shared
    }
}
