//! The messages between clients, the dispatcher and backends, independent of any wire protocol.
//! Read [`ClientRequest`] first, then [`AttemptRequest`], which is created from a client's request.

use super::value_delivery::ValueDelivery;
use crate::interface::BackendId;
use crate::net::attempt_id::AttemptId;
use crate::net::body_stream::BodyReceiver;
use crate::time::{TimeSpan, Timestamp};
use pinetrail_codec::memcache::Labels;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The connection state of a client.
pub trait ClientPresence: std::fmt::Debug + Send + Sync {
    /// Returns whether the client has closed its connection or its sending direction by now, even
    /// if input that the client sent earlier is still unread. Does not wait.
    fn is_disconnected(&self) -> bool;
}

/// A client's request, independent of its wire protocol.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The client that sent the request.
    pub client: Arc<dyn ClientPresence>,
    /// The request's id as the client sent it.
    pub opaque: String,
    /// The key as the client sent it.
    pub key: String,
    /// The index of the request's class in the settings of `version`.
    pub class: u8,
    /// The index of the request's tenant in the settings of `version`.
    pub tenant: u32,
    /// The version of the names ([`Names::version`](pinetrail_config::Names)) that were active when
    /// the request was parsed.
    pub version: u64,
    /// The time for which the client still waits for the response.
    pub budget: TimeSpan,
    /// The expected work of the request, if the client sent a hint.
    pub hint: Option<TimeSpan>,
    /// Whether the client marked the request as a repeat.
    pub repeat: bool,
    /// The labels of the command.
    pub labels: Labels,
    /// The value to store, for a write.
    pub value: Option<Vec<u8>>,
    /// How a long value of the response reaches the client.
    pub delivery: Arc<ValueDelivery>,
    /// The time of the earliest SIGKILL, if it would lose an incomplete response to this request.
    pub lost_at: Option<Instant>,
}

/// The content of a backend's response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// The value of a read.
    Value(Vec<u8>),
    /// The receipt of a write.
    Receipt(String),
}

/// The one final response to a request.
#[derive(Debug)]
pub enum Response {
    /// The request was served, and the payload is complete.
    Complete(Payload),
    /// The request was served with a long value, which arrives in pieces or has arrived.
    Stream {
        /// The length of the value in bytes.
        length: usize,
        /// The receiving end of the stream of pieces.
        body: BodyReceiver,
    },
    /// The request was rejected. The client may safely send it again.
    Rejected {
        /// The time that the client should wait before it sends the request again, in whole ms;
        /// `None` for no advice.
        retry_after: Option<Duration>,
    },
    /// The request failed. Whether a backend executed it is unknown.
    Failed,
}

/// An attempt that the backend service is to make.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The backend to which the attempt is sent.
    pub backend: BackendId,
    /// The address of the backend.
    pub address: Arc<str>,
    /// Whether the backend is the origin.
    pub is_origin: bool,
    /// The client's request.
    pub request: Arc<ClientRequest>,
    /// The start time of the backend process that was selected, in Unix ms.
    pub backend_started: Timestamp,
    /// The time at which the attempt times out.
    pub deadline: Instant,
    /// The time by which the attempt's last byte must be written. After that the attempt is not
    /// sent.
    pub send_by: Instant,
}

/// A command for the backend service.
#[derive(Clone, Debug)]
pub enum BackendCommand {
    /// Make an attempt, and report its outcome to
    /// [`Dispatcher::attempt_finished`](super::Dispatcher::attempt_finished).
    Attempt(AttemptRequest),
    /// Close the idle connections to a backend that takes no new attempts or is a new process.
    CloseIdleConnections(BackendId),
}

/// A callback that receives the response to one request.
///
/// Invariant: the callback may be called while the dispatcher's lock is held. It stores the
/// response and wakes the coroutine that writes it, but never waits and never calls the dispatcher.
pub type ResponseCallback = Box<dyn FnOnce(Response) + Send>;

/// The reason why a request is not accepted. A request that the caller may submit again is
/// returned.
pub enum SubmitError {
    /// The id of the request is that of another open request, or of a request that may have been
    /// executed and may not be repeated.
    IdInUse,
    /// The request may not be repeated, and there is no room to remember its id.
    NoRoomForId {
        /// The time that the client should wait before it sends the request again.
        retry_after: Duration,
    },
    /// Other settings have become active since the request was parsed, so the caller must parse it
    /// again.
    Outdated {
        /// The request that was submitted.
        request: Box<ClientRequest>,
        /// The callback that was submitted with the request.
        respond: ResponseCallback,
    },
    /// A change of the fleet's policy is being decided. The caller should submit the request again
    /// shortly.
    PolicyChanging {
        /// The request that was submitted.
        request: Box<ClientRequest>,
        /// The callback that was submitted with the request.
        respond: ResponseCallback,
    },
    /// The process stops, and has already ended its open requests.
    Stopping,
    /// This process holds no admission lease and may not admit requests.
    Fenced {
        /// The time that the client should wait before it sends the request again.
        retry_after: Duration,
    },
}
