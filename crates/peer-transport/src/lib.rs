//! Connections between the processes of a fleet: one TCP connection for each pair, on tokio. Read
//! [`PeerTransport`] first, which sends messages and requests to other processes, and then
//! [`MessageHandler`], which receives messages of other processes.
//!
//! Each connection has one task that reads and one that writes. Each peer in the list of peers has
//! one task that dials, runs the connection, waits and dials again. Each connection has its own
//! bounded send queue, so a slow peer neither delays others nor exhausts the memory. Frames that do
//! not fit into the queue are dropped, and the peer gets one request to resynchronise for all of
//! them ([`MessageHandler::on_resync_needed`]). A connection that is silent, stalled, half open or
//! corrupt ends within [`Timing::silence_timeout`].
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
