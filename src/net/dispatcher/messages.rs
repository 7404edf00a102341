//! What clients and backends hand to the dispatcher and get from it, independent of any wire
//! protocol. Read [`ClientRequest`] first, then [`AttemptRequest`], which is made of it.

use crate::interface::{RequestId, ServerId, Time};
use crate::net::body_stream::BodyReceiver;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Whether a client is still there.
pub trait ClientPresence: std::fmt::Debug + Send + Sync {
    /// Whether it has closed its connection or its sending direction, as of this moment, though
    /// nobody may have read that yet. It does not wait.
    fn is_gone(&self) -> bool;
}

/// A client's request, independent of its wire protocol.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The client that asked.
    pub client: Arc<dyn ClientPresence>,
    /// Its id as the client gave it.
    pub opaque: String,
    /// Its key as the client gave it.
    pub key: String,
    /// Index of its class in the settings of `version`.
    pub class: u8,
    /// Index of its tenant there.
    pub tenant: u32,
    /// The version of the names ([`Names::version`](crate::net::config::Names)) it was parsed with.
    pub version: u64,
    /// How long the client waits, in ms.
    pub budget: Time,
    /// Expected work in ms.
    pub hint: Option<f64>,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
    /// Names and values that came along, in their order.
    pub labels: Vec<(String, String)>,
    /// The value of a write.
    pub value: Option<Vec<u8>>,
}

/// What a backend returned for a request.
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
    /// Served, with all that the backend returned.
    Complete(Payload),
    /// Served, with a long value that arrives in pieces from here on.
    Stream {
        /// Its length in bytes.
        length: usize,
        /// Where its pieces are taken from.
        body: BodyReceiver,
    },
    /// Rejected: sending it again does no harm.
    Rejected {
        /// After which time, in whole ms; none if no time is advised.
        retry_after: Option<Duration>,
    },
    /// Failed; nothing is promised.
    Failed,
}

/// Identifies one attempt: its request, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request's id at this proxy.
    pub request: RequestId,
    /// Counted from 0 in the order in which the decision module asked for them.
    pub attempt: u8,
}

/// An attempt to make at a backend.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Its id.
    pub id: AttemptId,
    /// The backend.
    pub server: ServerId,
    /// Where the backend is reached.
    pub address: Arc<str>,
    /// Whether the backend is the origin.
    pub is_origin: bool,
    /// The client's request.
    pub request: Arc<ClientRequest>,
    /// The start time of the backend process that is meant, in Unix ms.
    pub server_started: Time,
    /// When to stop waiting.
    pub deadline: Instant,
    /// Its last byte is sent by then or never.
    pub send_by: Instant,
}

/// What the backend service is to do.
#[derive(Clone, Debug)]
pub enum BackendCommand {
    /// Make an attempt. Its outcome must be reported to
    /// [`Dispatcher::attempt_finished`](super::Dispatcher::attempt_finished).
    Attempt(AttemptRequest),
    /// A backend takes no new attempts, or is a new process: idle connections to it are useless.
    Forget(ServerId),
}

/// Takes the response to one request. It may be called while the dispatcher's lock is held, so it
/// may store the response and wake whoever writes it, but never wait or call the dispatcher.
pub type ResponseCallback = Box<dyn FnOnce(Response) + Send>;

/// Why a request is not accepted. Where it may be submitted again, it is handed back.
pub enum SubmitError {
    /// No two requests may be open under one id.
    IdInUse,
    /// Other settings have become active since it was parsed: it must be parsed by those.
    Outdated {
        /// The request.
        request: Box<ClientRequest>,
        /// Who takes its response.
        respond: ResponseCallback,
    },
    /// A change of the fleet's policy is being decided: submit it again within moments.
    PolicyChanging {
        /// The request.
        request: Box<ClientRequest>,
        /// Who takes its response.
        respond: ResponseCallback,
    },
    /// This process holds no admission lease and may not admit requests.
    Fenced {
        /// When to come back.
        retry_after: Duration,
    },
}
