//! What processes say to each other about shares.

use crate::view::{Ballot, Process, View};
use crate::{Parts, Time};
use serde::{Deserialize, Serialize};

/// What one process says to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A steward, or who wants to become one, asks for a vote, and what is wanted.
    VoteRequest(Box<VoteRequest>),
    /// The answer.
    VoteResponse(Box<VoteResponse>),
    /// A steward leases.
    LeaseGrant(LeaseGrant),
}

/// See [`Message::VoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// In which ballot; its process asks.
    pub ballot: Ballot,
    /// When it was sent, by the clock of who asks.
    pub at: Time,
    /// Whether it asks to found a fleet, not as one of a view.
    pub founds: bool,
    /// Whether it holds the votes that it needs.
    pub in_office: bool,
    /// The view that it knows.
    pub view: Option<View>,
    /// The view that it proposes.
    pub next: Option<View>,
}

/// See [`Message::VoteResponse`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoteResponse {
    /// Whose answer.
    pub from: Process,
    /// To which ballot.
    pub ballot: Ballot,
    /// The time in what it answers.
    pub asked_at: Time,
    /// Whether it is a vote.
    pub yes: bool,
    /// Whether it takes the view that was proposed in this ballot.
    pub takes: Option<Ballot>,
    /// A proposal that it took, and in which ballot; not beside `newer`.
    pub pending: Option<(Ballot, View)>,
    /// The latest ballot that it heard of.
    pub promised: Ballot,
    /// The view that it knows, if that is later than the one in what it answers.
    pub newer: Option<View>,
    /// The highest number of a view that it has heard of.
    pub number: u64,
    /// Whether it ends soon: it is to be in no council any more.
    pub leaves: bool,
    /// What it holds, and wants to go on holding.
    pub want: LeaseRequest,
}

/// What a holder has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// When this was sent, by its own clock: a lease counts from here.
    pub at: Time,
    /// What it holds by lease.
    pub holds: Parts,
    /// The time in the want by which it holds that. What was leased for earlier ones counts no more.
    pub since: Time,
}

/// See [`Message::LeaseGrant`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Who leases.
    pub from: Process,
    /// To whom.
    pub to: Process,
    /// The time in the want that it answers.
    pub want_at: Time,
    /// How much.
    pub part: Parts,
    /// For how long from that time on.
    pub lasts: Time,
    /// The number of the view.
    pub view: u64,
}
