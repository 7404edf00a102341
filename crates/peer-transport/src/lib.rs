//! One TCP link for each pair of processes of a fleet, on tokio. The two types to read first are [`Links`], by which one
//! process tells and asks others, and [`Heard`], which answers them.
//!
//! Each connection has one task that reads and one that writes; each peer that is to be dialled has one task that dials, runs
//! the link, waits and dials again. A peer that is slow costs only itself: what is owed to it is bounded, and what does not fit is
//! dropped and made up for by one word that it is behind ([`Heard::behind`]). A link that is silent, stalled, half open or spoilt ends within
//! [`Times::silence`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accept;
mod dial;
mod frame;
#[cfg(test)]
mod golden_tests;
mod connection;
mod transport;
mod send_queue;
mod network;
mod process;

pub use frame::{Hello, MAX_FRAME};
pub use transport::{Heard, Links, Peer, Times};
pub use network::{Net, Sockets};
pub use process::Process;
