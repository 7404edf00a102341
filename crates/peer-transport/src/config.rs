//! The configuration of a transport ([`TransportConfig`]) and the peers to dial ([`Peer`]).

use crate::process::Process;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The maximum length of a frame in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Timeouts and intervals of all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The timeout of connecting, and then the timeout of the peer's handshake. Default: 1 s.
    pub handshake_timeout: Duration,
    /// The time without an outgoing frame after which a heartbeat is written. Default: 400 ms.
    pub heartbeat_interval: Duration,
    /// The time after which a connection ends if nothing arrives, or if a frame cannot be written.
    /// Default: 1.6 s.
    pub silence_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            handshake_timeout: Duration::from_millis(1000),
            heartbeat_interval: Duration::from_millis(400),
            silence_timeout: Duration::from_millis(1600),
        }
    }
}

/// The configuration of a transport.
#[derive(Clone, Debug)]
pub struct TransportConfig {
    /// The name of the fleet; connections with processes of another fleet are rejected.
    pub fleet: String,
    /// The identity of this process, which its handshakes announce.
    pub process: Process,
    /// The local address from which peers are dialled; the system chooses one if it is unspecified.
    pub local_address: IpAddr,
    /// Timeouts and intervals of all connections.
    pub timing: Timing,
    /// The seed of the jitter of the backoff between attempts to dial.
    pub seed: u64,
}

/// A process to dial, with its address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// The process that is expected at the address.
    pub process: Process,
    /// The address at which the process listens.
    pub address: SocketAddr,
}
