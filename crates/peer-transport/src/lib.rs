//! One TCP connection for each pair of processes of a fleet, on tokio. Read [`PeerTransport`]
//! first, which sends messages and requests to other processes, and then [`MessageHandler`], which
//! receives theirs.
//!
//! Each connection has one task that reads and one that writes. Each peer in the list of peers has
//! one task that dials, runs the connection, waits and dials again. A slow peer does not delay
//! others: its send queue is bounded. A frame that does not fit is dropped, and the peer gets one
//! request to resynchronise ([`MessageHandler::on_resync_needed`]). A connection that is silent,
//! stalled, half open or corrupt ends within [`Timing::silence_timeout`].
//!
//! Modules, from the bottom up: `process`, `network` and `config` (identities, addresses and
//! durations), `frame` (the format), `send_queue` and `connection` (the state of one connection),
//! `shared` (the state of all connections), `session`, `accept` and `dial` (the tasks), `transport`
//! (the interface, which starts the tasks).

mod accept;
mod config;
mod connection;
mod dial;
mod error;
mod frame;
#[cfg(test)]
mod golden_tests;
mod handler;
mod network;
mod process;
mod send_queue;
mod session;
mod shared;
mod transport;

pub use config::{Peer, Timing, TransportConfig, MAX_FRAME_BYTES};
pub use error::{ConnectionError, DecodeError, EncodeError, HandshakeError};
pub use frame::Handshake;
pub use handler::MessageHandler;
pub use network::{Network, TcpNetwork};
pub use process::Process;
pub use transport::PeerTransport;
