//! The errors of a hot restart: [`HandoverError`] ends the start of the newer process, operators
//! read [`CommandError`] and [`RelayError`].

use super::messages::MessageError;
use crate::net::dispatcher::MaintenanceError;
use std::io::{self, ErrorKind};
use thiserror::Error;

/// An error that prevents this process from taking over from the running one.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// The running process did not answer in time.
    #[error("hot restart: the running process does not answer in time")]
    NoAnswer(#[source] io::Error),
    /// The running process cannot be reached.
    #[error("hot restart: the connection to the running process failed: {0}")]
    Connection(#[source] io::Error),
    /// The running process belongs to another user.
    #[error("hot restart: the running process belongs to another user")]
    OtherUser,
    /// The running process ended before it answered.
    #[error("hot restart: the running process ended before it answered")]
    Ended,
    /// The running process rejects the handover.
    #[error("hot restart: the running process refuses the handover: {0}")]
    Rejected(String),
    /// The running process abandoned the handover while this process was starting.
    #[error("hot restart: the running process abandoned the handover while this one was starting")]
    RejectedLate,
    /// The running process sent a message that does not answer the request.
    #[error("hot restart: the running process sent a message that does not answer the request")]
    UnexpectedMessage,
    /// The running process sent a malformed message.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The connection cannot be used by coroutines.
    #[error("hot restart: the connection cannot be used by coroutines: {0}")]
    Coroutine(#[source] io::Error),
}

impl From<io::Error> for HandoverError {
    fn from(error: io::Error) -> HandoverError {
        match error.kind() {
            ErrorKind::WouldBlock => HandoverError::NoAnswer(error),
            _ => HandoverError::Connection(error),
        }
    }
}

/// The reason why a process does not apply a command of the operators. The other process reads the
/// text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The process is starting, and has no services yet.
    #[error("it starts")]
    Starting,
    /// The node cannot enter or leave maintenance.
    #[error(transparent)]
    Maintenance(#[from] MaintenanceError),
}

/// The reason why the other process has not applied, or may not have applied, a relayed command of
/// the operators.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RelayError {
    /// The other process rejected the command, for this reason.
    #[error("{0}")]
    Rejected(String),
    /// The other process did not confirm the command in time.
    #[error("the other process of this proxy has not confirmed it")]
    NotConfirmed,
}
