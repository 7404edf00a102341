//! Dials one peer, again and again, for as long as it is to be dialled.

use crate::connection;
use crate::network::Network;
use crate::transport::{Peer, PeerTransport};
use rand::RngExt;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const FIRST_REST: Duration = Duration::from_millis(50);
const LONGEST_REST: Duration = Duration::from_millis(1000);

/// Keeps a link with a peer: dial, greet, carry; on failure wait and dial again.
pub(crate) async fn dial<N: Network>(links: Arc<PeerTransport<N>>, peer: Peer) {
    let mut rest = FIRST_REST;
    while links.wants(&peer) {
        if !links.is_connected(&peer.process) {
            let connected =
                timeout(links.times.handshake_timeout, links.net.connect(links.from, peer.address)).await;
            let why = match connected {
                Ok(Ok(stream)) => {
                    rest = FIRST_REST;
                    connection::run(&links, stream).await
                }
                Ok(Err(error)) => error,
                Err(_) => ErrorKind::TimedOut.into(),
            };
            links.heard().on_connection_failed(&peer.process, &why);
        }
        // Not all at once, where one that many dial was away.
        let jitter = links.with_rng(|rng| rng.random_range(0.5..1.5));
        sleep(rest.mul_f64(jitter)).await;
        rest = (rest * 2).min(LONGEST_REST);
    }
    links.dials_no_more(&peer);
}
