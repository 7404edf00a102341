//! [`FleetError`]: why this process cannot become an active member, or cannot replace its peers.

use pinetrail_membership::SettingsError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// An error in the activation or the reconfiguration of a fleet member.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The socket cannot be opened; the other process of this proxy may still have it open.
    #[error("fleet at {address}: the socket cannot be opened: {source}")]
    Socket {
        /// The configured address of the socket.
        address: SocketAddr,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The settings are invalid for the address to which the socket was bound.
    #[error("fleet at {address}: invalid settings: {source}")]
    Settings {
        /// The configured address of the socket.
        address: SocketAddr,
        /// The invalid setting.
        source: SettingsError,
    },
    /// The new list of peers is invalid; the previous peers are kept.
    #[error(transparent)]
    Peers(SettingsError),
}
