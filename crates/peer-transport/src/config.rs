//! The configuration of a transport ([`TransportConfig`]) and the peers that it dials ([`Peer`]).

use crate::process::Process;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The longest frame in bytes, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Timeouts and intervals of all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The timeout of the connect, and then of the peer's handshake. Default: 1 s.
    pub handshake_timeout: Duration,
    /// The time without another frame after which a heartbeat is written. Default: 400 ms.
    pub heartbeat_interval: Duration,
    /// The time in which nothing arrives, or nothing can be written, after which a connection ends.
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
    /// The fleet's name; connections with processes of another fleet are rejected.
    pub fleet: String,
    /// This process.
    pub process: Process,
    /// The address of this machine from which peers are dialled; any address if it is unspecified.
    pub local_address: IpAddr,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// Seeds the jitter of the backoff between attempts to dial.
    pub seed: u64,
}

/// A process that the transport dials.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// The process that is expected at the address.
    pub process: Process,
    /// The address at which it listens.
    pub address: SocketAddr,
}
