//! The task that dials a peer as long as it is in the list of peers.

use crate::config::Peer;
use crate::error::ConnectionError;
use crate::network::Network;
use crate::session;
use crate::shared::Shared;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The backoff after the first failure; doubled after each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The maximum backoff between two attempts, before the jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(1000);

/// Keeps a connection with a peer: dials the peer, runs the connection, and after its end waits and
/// dials again. The task ends when the peer is removed from the list of peers.
pub(crate) async fn keep_connected<N: Network>(shared: Arc<Shared<N>>, peer: Peer) {
    let mut backoff = MIN_BACKOFF;
    while shared.is_peer(&peer) {
        // If the peer has dialled this process, that connection serves both directions.
        if !shared.is_connected(&peer.process) {
            let error = match connect(&shared, &peer).await {
                Ok(stream) => {
                    backoff = MIN_BACKOFF;
                    session::run(&shared, stream).await
                }
                Err(error) => error,
            };
            shared.handler().on_connection_failed(&peer.process, &error);
        }
        sleep(backoff.mul_f64(shared.jitter_factor())).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    shared.remove_dialing(&peer);
}

async fn connect<N: Network>(shared: &Shared<N>, peer: &Peer) -> Result<N::Stream, ConnectionError> {
    let limit = shared.timing().handshake_timeout;
    let connecting = shared.network.connect(shared.config.local_address, peer.address);
    match timeout(limit, connecting).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(ConnectionError::Connect(error)),
        Err(_) => Err(ConnectionError::ConnectTimeout { limit }),
    }
}
