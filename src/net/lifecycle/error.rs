//! [`StartError`]: why a start fails.

use crate::net::config::ConfigError;
use crate::net::fleet::FleetError;
use crate::net::hot_restart::HandoverError;
use crate::net::request_log::RequestLogError;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The error of the module that owns a service; that module says what it can be.
type ServiceError = Box<dyn Error + Send + Sync>;

/// Why a start fails. Its text is the program's last line in the log.
#[derive(Debug, Error)]
pub(super) enum StartError {
    /// The signal handlers cannot be registered.
    #[error("{0}")]
    Signals(#[source] io::Error),
    /// The configuration cannot be read, or holds no legal value somewhere.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The request log is asked for in a form that is none.
    #[error(transparent)]
    RequestLog(#[from] RequestLogError),
    /// The running process of this proxy does not hand over.
    #[error(transparent)]
    Handover(#[from] HandoverError),
    /// The address of the operators' endpoint cannot be listened on.
    #[error("door at {address}: {source}")]
    AdminListen {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        source: io::Error,
    },
    /// The fleet's socket cannot be opened.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The common policy cannot be started.
    #[error("policy: {0}")]
    Policy(#[source] ServiceError),
    /// The clients' address cannot be listened on.
    #[error("listen on {address}: {source}")]
    ClientListen {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        source: io::Error,
    },
    /// A socket that is open already cannot be used.
    #[error("{0}")]
    Socket(#[source] io::Error),
}
