//! What a history is made of. Read [`History`] first, then [`HistoryEvent`].

use std::collections::BTreeMap;

/// A time in ms from any beginning, or a duration in ms.
pub type Time = f64;

/// What was seen of a fleet from outside, in the order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// How far a recorder's times may be off: so much is added to each limit. 0 if the history has
    /// a clock of its own.
    pub clock_error: Time,
    /// When each thing was seen, and what.
    pub events: Vec<(Time, HistoryEvent)>,
}

/// Something that was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A configuration became active at a proxy.
    ConfigActivated {
        /// The proxy.
        proxy: String,
        /// The figures in it.
        figures: Figures,
    },
    /// A proxy was told of nodes, by discovery or by the list in its configuration.
    EndpointsListed {
        /// The proxy.
        proxy: String,
        /// Whether the list is whole: a node that is not in it is gone.
        whole: bool,
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
    /// A body stream began to arrive in response; from then on no deadline runs.
    BodyStarted {
        /// The request.
        request: String,
    },
    /// The last byte of a response arrived at the client.
    ResponseReceived {
        /// The request.
        request: String,
        /// The response.
        answer: Answer,
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
        first: Time,
        /// How much work it is.
        work: f64,
    },
    /// A proxy said what its quota is; the whole is 1. What it gives up stays in use for as long as
    /// its attempts run.
    QuotaStated {
        /// The proxy; each process of one is a proxy of its own here.
        proxy: String,
        /// Its quota, from 0 to 1.
        part: f64,
        /// How long attempts may run.
        longest_attempt: Time,
    },
    /// All proxies together may have so many attempts in flight at a backend.
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
        end: End,
    },
}

/// How a proxy's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyEnd {
    /// It was killed: its clients have to deal with the requests that it held.
    Killed,
    /// It exited cleanly by itself: it had to respond to all requests that it took.
    Exited,
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served, with this value or receipt.
    Served(String),
    /// Rejected: to send the request again does no harm.
    Rejected,
    /// Failed; nothing is promised.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Served, with this value or receipt.
    Served(String),
    /// The backend does not hold the key; nothing ran.
    Missed,
    /// The backend rejected it; nothing ran.
    Rejected,
    /// It failed; it may have run.
    Failed,
    /// Its connection ended without a whole response; it may have run.
    Broken,
}

/// Whether a node may be sent something new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It may.
    Ready,
    /// It completes what it has, and gets nothing new.
    Draining,
    /// It is no longer there.
    Gone,
}

/// A node as a proxy was told of it.
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
    pub state: State,
    /// When it last started, on the history's clock; before the history's beginning if long ago.
    pub started: Time,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Any number of times at a group of backends within the deduplication window, since they drop
    /// repeats.
    Keyed,
    /// Once.
    Unsafe,
}

/// Which backends drop the repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
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
    pub effect: Effect,
    /// Which backends drop its repeats.
    pub scope: Scope,
    /// For how long they do.
    pub window: Time,
}

/// The figures by which the rules judge.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// The classes by name.
    pub classes: BTreeMap<String, Class>,
    /// The most attempts of one request.
    pub attempts: usize,
    /// Whether two attempts of a request may be in flight at once.
    pub second_copies: bool,
    /// So long after its time a response still counts.
    pub answer_slack: Time,
    /// So long after a proxy is told of a drain something new may still go there.
    pub stop_within: Time,
    /// A node starts with this share of its capacity.
    pub start_capacity: f64,
    /// It is warm after this time.
    pub cold: Time,
    /// It is overloaded by work beyond this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over a span of this length.
    pub tip_after: Time,
}
