//! The task that dials one peer, again and again, for as long as the peer is to be dialled.

use crate::config::Peer;
use crate::error::ConnectionError;
use crate::network::Network;
use crate::session;
use crate::shared::Shared;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The pause after the first failure; it doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest pause between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);

/// Keeps a connection with a peer: dials it, runs the connection, and after its end waits and
/// dials again. The task ends when the peer is not to be dialled any more.
pub(crate) async fn keep_connected<N: Network>(shared: Arc<Shared<N>>, peer: Peer) {
    let mut retry_delay = MIN_RETRY_DELAY;
    while shared.is_wanted(&peer) {
        // The peer may have dialled this process.
        if !shared.is_connected(&peer.process) {
            let error = match connect(&shared, &peer).await {
                Ok(stream) => {
                    retry_delay = MIN_RETRY_DELAY;
                    session::run(&shared, stream).await
                }
                Err(error) => error,
            };
            shared.handler().on_connection_failed(&peer.process, &error);
        }
        sleep(retry_delay.mul_f64(shared.jitter())).await;
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
    shared.dialing_ended(&peer);
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
