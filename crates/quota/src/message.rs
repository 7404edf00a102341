//! [`Message`]: what processes send each other about the quota. The order of variants and of
//! fields is the format on the wire.

use crate::view::{Ballot, Process, View};
use crate::{Parts, Time};
use serde::{Deserialize, Serialize};

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The leader, or a candidate, asks for a vote and for a lease request.
    VoteRequest(Box<VoteRequest>),
    /// The response to a vote request.
    VoteResponse(Box<VoteResponse>),
    /// The leader grants a lease.
    LeaseGrant(LeaseGrant),
}

/// See [`Message::VoteRequest`]. It is prepare, accept and heartbeat in one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// In which ballot; its proposer sends the request.
    pub ballot: Ballot,
    /// When it was sent, in ms of the sender's clock.
    pub sent_at: Time,
    /// Whether the sender asks as a founder of a new fleet, and not as a voter of a view.
    pub founding: bool,
    /// Whether the sender is the leader: it holds the votes of a quorum.
    pub is_leader: bool,
    /// The latest decided view that the sender knows.
    pub view: Option<View>,
    /// The view that it proposes as the next one.
    pub proposed_view: Option<View>,
}

/// A view that a voter has accepted, and in which ballot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptedView {
    /// The ballot in which it was proposed and accepted.
    pub ballot: Ballot,
    /// The view.
    pub view: View,
}

/// See [`Message::VoteResponse`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoteResponse {
    /// Who responds.
    pub from: Process,
    /// The ballot of the request.
    pub ballot: Ballot,
    /// The time in the request.
    pub request_sent_at: Time,
    /// Whether the vote is granted.
    pub vote_granted: bool,
    /// The ballot of the proposed view, if the voter has accepted that.
    pub accepts: Option<Ballot>,
    /// The view that the voter has accepted last and that may be decided; none beside `newer_view`.
    pub accepted: Option<AcceptedView>,
    /// The latest ballot that the voter has seen.
    pub highest_ballot: Ballot,
    /// The latest decided view that it knows, if that is later than the one in the request.
    pub newer_view: Option<View>,
    /// The highest number of a view that it has seen.
    pub highest_view_number: u64,
    /// Whether it ends soon: it is to be a voter in no further view.
    pub leaving: bool,
    /// What it holds by lease, and wants to go on holding.
    pub lease_request: LeaseRequest,
}

/// What a process holds by lease, as it asks for the next lease. Times are in ms of its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// When this request was sent: a lease counts from here.
    pub sent_at: Time,
    /// The parts that it holds by lease.
    pub held_parts: Parts,
    /// When it sent the request by which it holds them. Leases for earlier requests no longer
    /// count.
    pub held_since: Time,
}

/// See [`Message::LeaseGrant`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The leader.
    pub from: Process,
    /// Who may use the parts.
    pub to: Process,
    /// When the holder sent the request, in ms of the holder's clock.
    pub request_sent_at: Time,
    /// The leased parts.
    pub parts: Parts,
    /// For how long from the sending of the request on, in ms.
    pub duration: Time,
    /// The number of the view in which the leader was elected.
    pub view_number: u64,
}
