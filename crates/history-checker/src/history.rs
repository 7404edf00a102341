//! The data types of a history. Read [`History`] first, then [`HistoryEvent`].

use std::collections::BTreeMap;

/// A point in time in ms since an arbitrary start, or a duration in ms.
pub type Time = f64;

/// The events of a fleet as they are visible from outside, in the order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The largest error of recorded times, in ms, which is added to each time limit. 0 if the
    /// history was recorded in simulated time, which has no error.
    pub clock_error: Time,
    /// The events, each with its time.
    pub events: Vec<(Time, HistoryEvent)>,
}

/// An event of a fleet that is visible from outside.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A configuration became active at a proxy.
    ConfigActivated {
        /// The name of the proxy.
        proxy: String,
        /// The limits in the configuration.
        limits: Limits,
    },
    /// A proxy received a list of nodes, from discovery or from its configuration.
    EndpointsListed {
        /// The name of the proxy.
        proxy: String,
        /// Whether the list is the full list, so that a node that is not in it has left. Otherwise
        /// the list may have only the nodes that changed.
        is_full: bool,
        /// The nodes in the list.
        nodes: Vec<Node>,
    },
    /// A backend's process started.
    BackendStarted {
        /// The address of the backend.
        address: String,
        /// The capacity of the backend after its warm-up, in units of work per ms.
        capacity: f64,
    },
    /// A proxy's process ended.
    ProxyEnded {
        /// The name of the proxy.
        proxy: String,
        /// Whether the process was killed or exited by itself.
        how: ProxyEnd,
    },
    /// The last byte of a client's request was written.
    RequestSent {
        /// The name of the proxy.
        proxy: String,
        /// The id of the request, unique in the history.
        request: String,
        /// The name of the request's class.
        class: String,
        /// The time for which the client waits for the response, in ms.
        budget: Time,
    },
    /// A body stream began to arrive in response. From then on the request has no deadline.
    BodyStarted {
        /// The id of the request.
        request: String,
    },
    /// The last byte of a response arrived at the client.
    ResponseReceived {
        /// The id of the request.
        request: String,
        /// The outcome that the response states.
        outcome: ResponseOutcome,
    },
    /// The client closed its connection, so that a response is no longer due.
    ClientDisconnected {
        /// The id of the request.
        request: String,
    },
    /// The last byte of an attempt arrived at a backend.
    AttemptReceived {
        /// The name of the proxy that made the attempt.
        proxy: String,
        /// The id of the request that the attempt is for.
        request: String,
        /// The number of the attempt, unique in the history.
        attempt: u64,
        /// The address of the backend.
        address: String,
        /// When the first byte of the attempt arrived, in ms.
        first_byte_at: Time,
        /// The work that the attempt causes at the backend, in the unit of the capacity.
        work: f64,
    },
    /// A proxy stated its quota; the total is 1. A quota that the proxy gives up stays in use until
    /// the attempts under it have ended.
    QuotaStated {
        /// The name of the proxy. Each process of a proxy counts as a proxy of its own here.
        proxy: String,
        /// The quota, as a fraction of the total from 0 to 1.
        fraction: f64,
        /// The longest duration of an attempt, in ms.
        longest_attempt: Time,
    },
    /// A limit was set on the attempts that all proxies together may have in flight at a backend.
    AttemptLimitSet {
        /// The address of the backend.
        address: String,
        /// The maximum number of attempts in flight.
        limit: usize,
    },
    /// An attempt ended, because the backend responded or because its connection ended.
    AttemptEnded {
        /// The number of the attempt.
        attempt: u64,
        /// The response of the backend, or the loss of the connection.
        end: AttemptEnd,
    },
}

/// The end of a proxy's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyEnd {
    /// The process was killed, so that its open requests need no response.
    Killed,
    /// The process exited on its own, before which it had to respond to all accepted requests.
    Exited,
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// The request was served, with this value or receipt.
    Served(String),
    /// The request was rejected, which promises that a retry does no harm.
    Rejected,
    /// The request failed, which promises nothing.
    Failed,
}

/// The end of an attempt, which tells whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The backend served the attempt, with this value or receipt.
    Served(String),
    /// The backend does not hold the key, so that nothing ran.
    Missed,
    /// The backend rejected the attempt, so that nothing ran.
    Rejected,
    /// The attempt failed; the request may have run.
    Failed,
    /// The connection ended without a complete response; the request may have run.
    Broken,
}

/// The state of a node, which decides whether the node may get new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// The node may get new attempts.
    Ready,
    /// The node completes the attempts that it has, and gets no new ones.
    Draining,
    /// The node has left.
    Gone,
}

/// A node as an endpoint list describes it to a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The name of the node.
    pub name: String,
    /// The address of the node.
    pub address: String,
    /// The number of the node's zone.
    pub zone: u16,
    /// The number of the node's cell.
    pub cell: u16,
    /// The state in which the node is listed.
    pub state: NodeState,
    /// When the node last started, on the clock of the history. The time may lie before the first
    /// event.
    pub started: Time,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A request may run any number of times.
    Idempotent,
    /// A request may be sent any number of times to one group of backends within the deduplication
    /// window, because the group drops repeats during that time.
    Keyed,
    /// A request may run at most once.
    NotIdempotent,
}

/// The group of backends that drops the repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Whether a request of the class may run more than once.
    pub idempotency: Idempotency,
    /// The group of backends that drops repeats.
    pub scope: DeduplicationScope,
    /// The deduplication window: the time for which the group drops repeats, in ms.
    pub window: Time,
}

/// The limits in a configuration that the rules apply.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The request classes by name.
    pub classes: BTreeMap<String, Class>,
    /// The maximum number of attempts of one request.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at once.
    pub allows_hedging: bool,
    /// The time after the deadline of a request within which the response still counts as in time,
    /// in ms.
    pub response_slack: Time,
    /// The time after the listing of a drain within which new attempts may still go to the node,
    /// in ms.
    pub drain_grace: Time,
    /// The fraction of its capacity that a node has when it starts.
    pub start_capacity: f64,
    /// The time from the start of a node until it has its full capacity, in ms.
    pub warm_up_time: Time,
    /// The multiple of its present capacity beyond which the work sent to a node within any
    /// `overload_time` is an overload.
    pub overload_multiple: f64,
    /// The length of the interval over which work is added up to find an overload, in ms.
    pub overload_time: Time,
}
