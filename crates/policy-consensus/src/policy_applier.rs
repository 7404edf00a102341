//! The interface of this crate to the program that contains it. See [`PolicyApplier`].

use pinetrail_peer_transport::Process;
use thiserror::Error;

/// The reason why a process cannot make a policy active. The displayed text is the path of the
/// invalid setting, with the fault of that setting.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{reason}")]
pub struct PolicyRejected {
    /// The path of the invalid setting, and the reason why the setting is invalid.
    pub reason: String,
}

impl PolicyRejected {
    /// Creates a rejection with this reason.
    pub fn new(reason: impl Into<String>) -> PolicyRejected {
        PolicyRejected { reason: reason.into() }
    }
}

/// Makes versions of the policy active at this process. The methods are called on the thread of the
/// transport and must not wait.
pub trait PolicyApplier: Send + Sync + 'static {
    /// Checks whether this process can make a policy active after the currently active one.
    ///
    /// # Errors
    ///
    /// The reason why this process cannot make the policy active.
    fn validate(&self, text: &str) -> Result<(), PolicyRejected>;

    /// Makes a validated policy active.
    fn apply(&self, version: u64, text: &str);

    /// Handles a message of another process to the part of the program that the channel identifies.
    fn on_peer_message(&self, _from: &Process, _channel: u8, _body: &[u8]) {}

    /// Writes a line to the log.
    fn log(&self, line: &str);
}
