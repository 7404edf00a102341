//! [`FleetError`]: why a member cannot become active, or keeps its peers.

use pinetrail_membership::SettingsError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// What went wrong with this process's part in a fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The socket cannot be opened; the other process of this proxy may still have it.
    #[error("fleet at {address}: {source}")]
    Socket {
        /// Where it was to be opened.
        address: SocketAddr,
        /// Why it cannot be.
        source: io::Error,
    },
    /// The settings do not fit the address at which the socket was opened.
    #[error("fleet at {address}: {source}")]
    Settings {
        /// Where the socket was to be opened.
        address: SocketAddr,
        /// What is wrong.
        source: SettingsError,
    },
    /// The new list of peers is invalid.
    #[error(transparent)]
    Peers(SettingsError),
}
