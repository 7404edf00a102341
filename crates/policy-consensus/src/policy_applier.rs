//! What this crate needs of the process that it is part of. See [`PolicyApplier`].

use pinetrail_peer_transport::Process;
use thiserror::Error;

/// Why a process cannot make a policy active. It displays as the path of what is wrong, and why.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{reason}")]
pub struct PolicyRejected {
    /// The path of what is wrong, and why.
    pub reason: String,
}

impl PolicyRejected {
    /// A rejection for this reason.
    pub fn new(reason: impl Into<String>) -> PolicyRejected {
        PolicyRejected { reason: reason.into() }
    }
}

/// The process that makes versions of the policy active. Its methods are called on the thread of
/// the transport, and must not wait.
pub trait PolicyApplier: Send + Sync + 'static {
    /// Checks whether this process could make a policy active after the one that is.
    ///
    /// # Errors
    ///
    /// Why it could not.
    fn validate(&self, text: &str) -> Result<(), PolicyRejected>;

    /// Makes a policy active that was validated before.
    fn apply(&self, version: u64, text: &str);

    /// Another process sent a message for another part of the program, which the channel names.
    fn on_peer_message(&self, _from: &Process, _channel: u8, _body: &[u8]) {}

    /// Writes a line to the log.
    fn log(&self, line: &str);
}
