//! Who receives what peers send: [`MessageHandler`].

use crate::error::ConnectionError;
use crate::process::Process;

/// Receives the messages of peers and the events of connections.
///
/// It is called by the connections' tasks, on the runtime's thread, and must not block.
pub trait MessageHandler: Send + Sync + 'static {
    /// A peer has sent a message or a request; what is returned is the response to a request, and
    /// is dropped where the peer sent a message that has none.
    fn on_message(&self, from: &Process, body: &[u8]) -> Option<Vec<u8>>;
    /// A connection with a peer is up; the peer holds this voter id, if any.
    fn on_connected(&self, peer: &Process, voter_id: Option<u8>);
    /// There is no connection with the peer any more.
    fn on_disconnected(&self, peer: &Process);
    /// The peer dropped messages for this process: ask it for its present state.
    fn on_resync_needed(&self, peer: &Process);
    /// A connection that this process dialled ended, or never came to be.
    fn on_connection_failed(&self, peer: &Process, error: &ConnectionError);
}
