//! The interface that receives messages of peers and events of connections: [`MessageHandler`].

use crate::error::ConnectionError;
use crate::process::Process;

/// Receives the messages of peers and the events of connections.
///
/// The tasks of the connections call the handler on the runtime's thread, so it must not block.
pub trait MessageHandler: Send + Sync + 'static {
    /// Handles a message or a request of a peer, and returns the response to a request. The
    /// response is dropped if the peer sent a message.
    fn on_message(&self, from: &Process, body: &[u8]) -> Option<Vec<u8>>;
    /// Called when a connection with a peer is established, with the peer's voter id, if any.
    fn on_connected(&self, peer: &Process, voter_id: Option<u8>);
    /// Called when the connection with a peer has ended and no other has replaced it.
    fn on_disconnected(&self, peer: &Process);
    /// Called when a peer has dropped messages for this process, which must request the peer's
    /// present state.
    fn on_resync_needed(&self, peer: &Process);
    /// Called when a connection that this process dialled has ended, or was not established.
    fn on_connection_failed(&self, peer: &Process, error: &ConnectionError);
}
