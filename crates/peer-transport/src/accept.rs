//! The task that accepts connections of peers.

use crate::network::Network;
use crate::session;
use crate::shared::Shared;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The delay after a failed accept, for example if no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the task is aborted.
pub(crate) async fn accept_connections<N: Network>(shared: Arc<Shared<N>>, listener: N::Listener) {
    loop {
        match N::accept(&listener).await {
            Ok(stream) => {
                let shared = Arc::clone(&shared);
                // The task ends with its connection.
                tokio::spawn(async move {
                    // The process that dialled passes its own error to its handler.
                    let _ = session::run(&shared, stream).await;
                });
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
