//! Takes connections of peers in.

use crate::connection;
use crate::network::Network;
use crate::transport::PeerTransport;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Between attempts to accept, when that fails.
const REST: Duration = Duration::from_millis(20);

/// Accepts for as long as this process runs.
pub(crate) async fn accept<N: Network>(links: Arc<PeerTransport<N>>, listener: N::Listener) {
    loop {
        match N::accept(&listener).await {
            Ok(stream) => {
                let links = Arc::clone(&links);
                tokio::spawn(async move {
                    // Why it ended is said by who dialled.
                    let _ = connection::run(&links, stream).await;
                });
            }
            Err(_) => sleep(REST).await,
        }
    }
}
