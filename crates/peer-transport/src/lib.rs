//! One TCP link for each pair of processes of a fleet, on tokio. The two types to read first are [`PeerTransport`], by which one
//! process tells and asks others, and [`MessageHandler`], which answers them.
//!
//! Each connection has one task that reads and one that writes; each peer that is to be dialled has one task that dials, runs
//! the link, waits and dials again. A peer that is slow costs only itself: what is owed to it is bounded, and what does not fit is
//! dropped and made up for by one word that it is behind ([`MessageHandler::behind`]). A link that is silent, stalled, half open or spoilt ends within
//! [`Timing::silence`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accept;
mod connection;
mod dial;
mod frame;
#[cfg(test)]
mod golden_tests;
mod network;
mod process;
mod send_queue;
mod transport;

pub use frame::{Handshake, MAX_FRAME_LENGTH};
pub use network::{Network, TcpNetwork};
pub use process::Process;
pub use transport::{MessageHandler, Peer, PeerTransport, Timing, TransportConfig};
