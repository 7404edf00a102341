//! The form of a history. Read [`History`] first, then [`HistoryEvent`].

use std::collections::BTreeMap;

/// A point in time in ms since an arbitrary start, or a duration in ms.
pub type Time = f64;

/// The events of a fleet as they are visible from outside, in the order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The largest error of recorded times, which is added to each time limit. 0 if the history has
    /// a clock of its own.
    pub clock_error: Time,
    /// The events, each with its time.
    pub events: Vec<(Time, HistoryEvent)>,
}

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A configuration became active at a proxy.
    ConfigActivated {
        /// The proxy.
        proxy: String,
        /// The figures in it.
        limits: Limits,
    },
    /// A proxy received a list of nodes, from discovery or from its configuration.
    EndpointsListed {
        /// The proxy.
        proxy: String,
        /// Whether the list is complete: a node that is not in it has left.
        is_complete: bool,
        /// The nodes.
        nodes: Vec<Node>,
    },
    /// A backend's process started.
    BackendStarted {
        /// Its address.
        address: String,
        /// Its capacity once it is warm, in work a ms.
        capacity: f64,
    },
    /// A proxy's process ended.
    ProxyEnded {
        /// The proxy.
        proxy: String,
        /// How.
        how: ProxyEnd,
    },
    /// The last byte of a client's request was written.
    RequestSent {
        /// The proxy.
        proxy: String,
        /// The request's id, unique in the history.
        request: String,
        /// The name of its class.
        class: String,
        /// How long the client waits.
        budget: Time,
    },
    /// A body stream began to arrive in response; from then on there is no deadline.
    BodyStarted {
        /// The request.
        request: String,
    },
    /// The last byte of a response arrived at the client.
    ResponseReceived {
        /// The request.
        request: String,
        /// The response.
        outcome: ResponseOutcome,
    },
    /// The client closed its connection: no response is due any more.
    ClientDisconnected {
        /// The request.
        request: String,
    },
    /// The last byte of an attempt arrived at a backend.
    AttemptReceived {
        /// The proxy that made it.
        proxy: String,
        /// The request that it is for.
        request: String,
        /// The attempt, by a number unique in the history.
        attempt: u64,
        /// The backend's address.
        address: String,
        /// When its first byte arrived.
        first_byte_at: Time,
        /// How much work it is.
        work: f64,
    },
    /// A proxy stated its quota; the total is 1. A quota that it gives up stays in use until the
    /// attempts under it have ended.
    QuotaStated {
        /// The proxy; each process of one is a proxy of its own here.
        proxy: String,
        /// Its quota, from 0 to 1.
        fraction: f64,
        /// How long attempts may run.
        longest_attempt: Time,
    },
    /// All proxies together may have at most `limit` attempts in flight at a backend.
    AttemptLimitSet {
        /// The backend's address.
        address: String,
        /// How many attempts.
        limit: usize,
    },
    /// An attempt ended, at the backend or by its connection.
    AttemptEnded {
        /// The attempt.
        attempt: u64,
        /// How.
        outcome: AttemptOutcome,
    },
}

/// How a proxy's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyEnd {
    /// It was killed: its open requests need no response.
    Killed,
    /// It exited cleanly by itself: it had to respond to all requests that it accepted.
    Exited,
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// Served, with this value or receipt.
    Served(String),
    /// Rejected: sending the request again does no harm.
    Rejected,
    /// Failed; nothing is promised.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served, with this value or receipt.
    Served(String),
    /// The backend does not hold the key; nothing ran.
    Missed,
    /// The backend rejected it; nothing ran.
    Rejected,
    /// It failed; it may have run.
    Failed,
    /// Its connection ended without a complete response; it may have run.
    Broken,
}

/// Whether a node may get new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It may.
    Ready,
    /// It completes the attempts that it has, and gets no new ones.
    Draining,
    /// It has left.
    Gone,
}

/// A node in the form in which it was listed to a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: NodeState,
    /// When it last started, on the history's clock; before the history's beginning if long ago.
    pub started: Time,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Any number of times at a group of backends within the deduplication window, in which they
    /// drop repeats.
    IdempotencyKey,
    /// Once.
    NotIdempotent,
}

/// Which backends drop the repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// How often it may run.
    pub idempotency: Idempotency,
    /// Which backends drop its repeats.
    pub scope: DeduplicationScope,
    /// For how long they do.
    pub window: Time,
}

/// The limits that the rules check.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The classes by name.
    pub classes: BTreeMap<String, Class>,
    /// The most attempts of one request.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at once.
    pub allows_hedging: bool,
    /// A response counts as in time for this long after its deadline.
    pub response_slack: Time,
    /// New attempts may still go to a draining node for this long after the drain was listed.
    pub drain_grace: Time,
    /// A node starts with this share of its capacity.
    pub start_capacity: f64,
    /// The duration of its warm-up.
    pub warm_up_time: Time,
    /// It is overloaded by work beyond this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over a span of this length.
    pub overload_time: Time,
}
