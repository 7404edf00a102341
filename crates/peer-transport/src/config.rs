//! What a transport is configured with ([`TransportConfig`]) and whom it is to dial ([`Peer`]).

use crate::process::Process;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The longest frame in bytes, without its length.
pub const MAX_FRAME_LENGTH: usize = 1 << 20;

/// Timeouts and intervals of all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Limits the connect, and then the wait for the peer's handshake.
    pub handshake_timeout: Duration,
    /// A heartbeat is written when nothing else was for this long.
    pub heartbeat_interval: Duration,
    /// A connection on which nothing arrives, or nothing can be written, for this long ends.
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

/// What a transport is told at its start.
#[derive(Clone, Debug)]
pub struct TransportConfig {
    /// The fleet's name; connections with processes of another fleet are refused.
    pub fleet: String,
    /// This process.
    pub process: Process,
    /// The address of this machine from which peers are dialled; any, if it is unspecified.
    pub local_address: IpAddr,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// Seeds the jitter between attempts to dial.
    pub seed: u64,
}

/// A process that is to be dialled.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Which process is expected there.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
}
