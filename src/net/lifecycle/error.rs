//! The reasons why a start fails: [`StartError`].

use crate::net::fleet::FleetError;
use crate::net::hot_restart::HandoverError;
use crate::net::request_log::RequestLogError;
use pinetrail_config::ConfigError;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The error of a service, whose module defines the variants.
type ServiceError = Box<dyn Error + Send + Sync>;

/// The reason why a start fails. The text is the last line that the program logs.
#[derive(Debug, Error)]
pub(super) enum StartError {
    /// The signal handlers cannot be registered.
    #[error("cannot register the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The configuration cannot be read, or a value in it is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The environment variable that enables the request log has an invalid value.
    #[error(transparent)]
    RequestLog(#[from] RequestLogError),
    /// The running process of this proxy did not hand over.
    #[error(transparent)]
    Handover(#[from] HandoverError),
    /// The operators' endpoint cannot listen on its address.
    #[error("admin endpoint: cannot listen on {address}: {source}")]
    AdminListen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// The fleet's socket cannot be opened.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The common policy cannot be started.
    #[error("policy: {0}")]
    Policy(#[source] ServiceError),
    /// The proxy cannot listen on the clients' address.
    #[error("cannot listen for clients on {address}: {source}")]
    ClientListen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// A socket that is already open cannot be used.
    #[error("cannot use an open socket: {0}")]
    Socket(#[source] io::Error),
}
