//! What the sides of the proxy hand to the exchange and get from it, in no protocol's form.

use crate::interface::{RequestId, ServerId, Time};
use crate::net::body_stream::BodyWriter;
use std::sync::Arc;
use std::time::Instant;

/// A consumer's request, in no protocol's form.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its id as the consumer gave it.
    pub opaque: String,
    /// Its key as the consumer gave it.
    pub key: String,
    /// Place of its class in the settings of `version`.
    pub class: u8,
    /// Place of its tenant there.
    pub tenant: u32,
    /// By which version of the settings it was read.
    pub version: u64,
    /// How long the consumer waits, in ms.
    pub budget: Time,
    /// Expected work in ms.
    pub hint: Option<f64>,
    /// Whether the consumer marked it as a repeat.
    pub repeat: bool,
    /// Names and values that came along, in their order.
    pub labels: Vec<(String, String)>,
    /// The value of a write.
    pub value: Option<Vec<u8>>,
}

/// What a provider gave for an invocation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// The value of a read.
    Value(Vec<u8>),
    /// The receipt of a write.
    Receipt(String),
}

/// The one final answer of an invocation.
#[derive(Debug)]
pub enum Response {
    /// Served.
    Complete(Payload),
    /// Served with a value of this length, which flows from here on.
    Stream(usize, BodyWriter),
    /// A rejection, with the time in ms after which to come back, if any is advised.
    Rejected(Option<u64>),
    /// Failed; nothing is promised.
    Failed,
}

/// Names one invoker call: its invocation, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The invocation's number at this proxy.
    pub request: RequestId,
    /// Counted from 0 in the order of the module's sends.
    pub attempt: u8,
}

/// An invoker call to make.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Its name.
    pub id: AttemptId,
    /// The provider.
    pub server: ServerId,
    /// Where the provider is reached.
    pub address: Arc<str>,
    /// Whether the provider is the origin.
    pub is_origin: bool,
    /// What to ask.
    pub request: Arc<ClientRequest>,
    /// The start of the provider's process that is meant.
    pub server_started: Time,
    /// When to stop waiting.
    pub deadline: Instant,
    /// Its last byte goes out by then or never.
    pub send_by: Instant,
}

/// What the provider side is to do.
#[derive(Clone, Debug)]
pub enum BackendCommand {
    /// Make an invoker call; its end is owed to [`Dispatcher::attempt_finished`].
    Attempt(AttemptRequest),
    /// A provider takes nothing new, or is a new process: what stands idle for it is of no more use.
    Forget(ServerId),
}

/// Takes the answer of one invocation. It is called with the exchange locked, so it may store the answer
/// and wake whoever writes it, but never wait nor call the exchange.
pub type ResponseCallback = Box<dyn FnOnce(Response) + Send>;

/// Why an invocation is not taken in.
pub enum SubmitError {
    /// No two invocations may be open under one id.
    IdInUse,
    /// Other settings have come into force since it was read: it must be read by those.
    Outdated(Box<ClientRequest>, ResponseCallback),
    /// A change of the fleet's policy is being decided: it is to be handed in again within moments.
    PolicyChanging(Box<ClientRequest>, ResponseCallback),
    /// This process may not admit requests; in how many ms to come back.
    Fenced(u64),
}
