//! One TCP connection for each pair of processes of a fleet, on tokio. Read [`PeerTransport`]
//! first, by which one process sends messages and requests to others, and then
//! [`MessageHandler`], which receives theirs.
//!
//! Each connection has one task that reads and one that writes. Each peer that is to be dialled
//! has one task that dials, runs the connection, waits and dials again. A slow peer costs only
//! itself: its send queue is bounded; what does not fit is dropped, and the peer is told once that
//! it has to resynchronise ([`MessageHandler::on_resync_needed`]). A connection that is silent,
//! stalled, half open or corrupt ends within [`Timing::silence_timeout`].
//!
//! Modules, from the bottom up: `process`, `network` and `config` (who and where), `frame` (the
//! format), `send_queue` and `connection` (one connection's state), `shared` (the state of all
//! connections), `session`, `accept` and `dial` (the tasks), `transport` (what starts them).

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

pub use config::{Peer, Timing, TransportConfig, MAX_FRAME_LENGTH};
pub use error::{ConnectionError, DecodeError, EncodeError, HandshakeError};
pub use frame::Handshake;
pub use handler::MessageHandler;
pub use network::{Network, TcpNetwork};
pub use process::Process;
pub use transport::PeerTransport;
