//! [`WatchError`]: the reason why a watch ended or could not begin.

use super::lists::ListError;
use pinetrail_codec::http::HttpError;
use std::io;
use thiserror::Error;

/// The reason why a watch ended or could not begin. The text is logged.
#[derive(Debug, Error)]
pub(super) enum WatchError {
    /// Discovery did not accept the connection in time.
    #[error("connecting to discovery timed out")]
    ConnectTimeout(#[source] io::Error),
    /// Discovery did not accept the connection.
    #[error("connecting to discovery failed: {0}")]
    Connect(#[source] io::Error),
    /// The address of discovery has changed.
    #[error("the address of discovery has changed")]
    AddressChanged,
    /// The request could not be written in time.
    #[error("the request could not be written: {0}")]
    RequestNotWritten(#[source] io::Error),
    /// The response does not have status 200 and a chunked body.
    #[error("the response does not have status 200 and a chunked body")]
    Rejected,
    /// The response is not HTTP.
    #[error(transparent)]
    MalformedHttp(#[from] HttpError),
    /// The response does not contain a valid list.
    #[error(transparent)]
    List(#[from] ListError),
    /// The generation of the list is older than that of the last list: discovery has restarted its
    /// count of generations.
    #[error("the generation of the list is older than that of the last list")]
    OldGeneration,
    /// Discovery ended the response.
    #[error("discovery ended the response")]
    ResponseEnded,
    /// Discovery closed the connection.
    #[error("discovery closed the connection")]
    ConnectionEnded,
    /// No complete response head, list or heartbeat was received in time.
    #[error("discovery sent no complete response head, list or heartbeat in time")]
    Silent(#[source] io::Error),
    /// The connection failed.
    #[error("the connection to discovery failed: {0}")]
    ConnectionBroken(#[source] io::Error),
}

impl WatchError {
    /// Returns whether discovery did not respond in time.
    pub(super) fn is_timeout(&self) -> bool {
        matches!(self, WatchError::ConnectTimeout(_) | WatchError::Silent(_))
    }
}
