//! What a history is made of.

use std::collections::BTreeMap;

/// A time in ms, from any beginning.
pub type Time = f64;

/// A history: what was seen, in the order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// How far a recorder's times may be off: so much is added to each limit. 0 on a clock of the history's own.
    pub clock_error: Time,
    /// When each thing was seen, and what.
    pub events: Vec<(Time, HistoryEvent)>,
}

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A configuration was put in force at a proxy.
    InForce {
        /// The proxy.
        proxy: String,
        /// The figures in it.
        figures: Figures,
    },
    /// A proxy was told of nodes, by discovery or by the list in its configuration.
    Told {
        /// The proxy.
        proxy: String,
        /// Whether this is all there are: who is not named is gone.
        whole: bool,
        /// The nodes.
        nodes: Vec<Node>,
    },
    /// A provider's process started; its capacity in work a ms once it is warm.
    Started {
        /// Where it is reached.
        place: String,
        /// Its capacity.
        capacity: f64,
    },
    /// A proxy's process ended.
    Ended {
        /// The proxy.
        proxy: String,
        /// How.
        how: Process,
    },
    /// The last byte of a consumer's request was written.
    Asked {
        /// The proxy.
        proxy: String,
        /// Its id, unique in the history.
        request: String,
        /// Its class by name.
        class: String,
        /// How long the consumer waits.
        budget: Time,
    },
    /// A value so long that it flows began to come in answer; from then on no deadline runs.
    Began {
        /// The request.
        request: String,
    },
    /// The last byte of an answer came to the consumer.
    Answered {
        /// The request.
        request: String,
        /// What it said.
        answer: Answer,
    },
    /// The consumer closed its connection: nothing is owed any more.
    Left {
        /// The request.
        request: String,
    },
    /// The last byte of a call came to a provider.
    Received {
        /// The proxy that made it.
        proxy: String,
        /// The request that it is for.
        request: String,
        /// The call, by a number unique in the history.
        call: u64,
        /// Where the provider is reached.
        place: String,
        /// When its first byte came.
        first: Time,
        /// The work that it is.
        work: f64,
    },
    /// A proxy said what its share of the whole is, which is 1. What it gives up is in use for as long as its calls run.
    Share {
        /// The proxy; each process of one is a proxy of its own here.
        proxy: String,
        /// Its part.
        part: f64,
        /// How long calls may run.
        calls: Time,
    },
    /// All proxies together may have so many calls at once before a provider.
    Bound {
        /// Where it is reached.
        place: String,
        /// How many.
        calls: usize,
    },
    /// A call ended, at the provider or by its connection.
    Closed {
        /// The call.
        call: u64,
        /// How.
        end: End,
    },
}

/// How a proxy's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// It was killed: what it held is left to its consumers.
    Killed,
    /// By itself, with a clean exit: it had to answer all that it took.
    Left,
}

/// The final answer of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served, with this value or receipt.
    Served(String),
    /// Refused: to ask again does no harm.
    Refused,
    /// Failed; nothing is promised.
    Failed,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Served, with this value or receipt.
    Served(String),
    /// The provider does not hold the key; nothing ran.
    Missed,
    /// Turned away; nothing ran.
    TurnedAway,
    /// It failed; it may have run.
    Failed,
    /// Its connection ended with no whole answer; it may have run.
    Broken,
}

/// Whether a node takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// Nothing new.
    Draining,
    /// It is no longer there.
    Gone,
}

/// A node as a proxy was told of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub place: String,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: State,
    /// When it last started, by the history's clock; before its beginning for long ago.
    pub started: Time,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// As often as wanted.
    Safe,
    /// A group of providers drops repeats for some time.
    Keyed,
    /// Once.
    Unsafe,
}

/// Which providers drop the repeats of a keyed request.
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
    /// Which providers drop its repeats.
    pub scope: Scope,
    /// For how long they do.
    pub window: Time,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// The classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Most calls for one request.
    pub attempts: usize,
    /// Whether two calls of a request may be out at once.
    pub second_copies: bool,
    /// So long after its time an answer still counts.
    pub answer_slack: Time,
    /// So long after a proxy is told of a drain something new may still go there.
    pub stop_within: Time,
    /// A node starts with this share of its capacity.
    pub start_capacity: f64,
    /// And is warm after this time.
    pub cold: Time,
    /// It falls if sent more than this multiple of its present capacity.
    pub fall_multiple: f64,
    /// For this long.
    pub tip_after: Time,
}
