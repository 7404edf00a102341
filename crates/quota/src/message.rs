//! The messages that processes exchange about the quota: [`Message`]. The order of variants and of
//! fields is the format on the wire; times are sent as whole milliseconds.

use crate::view::{Ballot, Process, View};
use crate::Parts;
use pinetrail_clock::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The time at which a process sent a request, by the clock of that process.
///
/// Invariant: only the process that sent the request may convert its time to a [`Timestamp`], after
/// a response or a grant has returned it. Any other process compares request times of the same
/// sender with each other, and never with its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestTime(Timestamp);

impl RequestTime {
    /// Returns the time of a request that this process sends, or sent, at `sent_at` by its own
    /// clock.
    pub fn at(sent_at: Timestamp) -> RequestTime {
        RequestTime(sent_at)
    }

    /// Returns the time by the clock of this process, which must have sent the request.
    pub(crate) fn local_timestamp(self) -> Timestamp {
        self.0
    }
}

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A request of the leader, or of a candidate, for a vote and for the receiver's lease request.
    VoteRequest(Box<VoteRequest>),
    /// The response to a vote request, with a lease request.
    VoteResponse(Box<VoteResponse>),
    /// A lease that the leader grants.
    LeaseGrant(LeaseGrant),
}

/// The body of [`Message::VoteRequest`], which is the prepare request and the accept request of
/// Paxos and the heartbeat of the leader in one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The ballot, whose proposer sends the request.
    pub ballot: Ballot,
    /// The time at which the request was sent.
    pub sent_at: RequestTime,
    /// Whether the sender asks for a vote as a founder of a new fleet, not as a voter of a view.
    pub founding: bool,
    /// Whether the sender is the leader, which holds the votes of a quorum.
    pub is_leader: bool,
    /// The latest decided view that the sender knows.
    pub view: Option<View>,
    /// The view that the sender proposes as the next one.
    pub proposed_view: Option<View>,
}

/// A view that a voter has accepted, with the ballot of the proposal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptedView {
    /// The ballot in which the view was proposed and accepted.
    pub ballot: Ballot,
    /// The accepted view.
    pub view: View,
}

/// The body of [`Message::VoteResponse`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoteResponse {
    /// The process that responds.
    pub from: Process,
    /// The ballot of the request.
    pub ballot: Ballot,
    /// The time at which the vote request was sent.
    pub request_sent_at: RequestTime,
    /// Whether the vote is granted.
    pub vote_granted: bool,
    /// The ballot of the proposed view, if the voter has accepted that view.
    pub accepts: Option<Ballot>,
    /// The last view that the voter has accepted and that may be decided; `None` if `newer_view` is
    /// given.
    pub accepted: Option<AcceptedView>,
    /// The latest ballot that the voter has seen.
    pub highest_ballot: Ballot,
    /// The latest decided view that the voter knows, if that is later than the view in the request.
    pub newer_view: Option<View>,
    /// The highest view number that the voter has seen.
    pub highest_view_number: u64,
    /// Whether the voter shuts down soon, so that no later view may include it.
    pub leaving: bool,
    /// The voter's request for a lease.
    pub lease_request: LeaseRequest,
}

/// The lease request of a process, with the parts that it holds by its present lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The time at which the request was sent, from which a granted lease lasts.
    pub sent_at: RequestTime,
    /// The parts that the process holds by its present lease.
    pub held_parts: Parts,
    /// The time of the request for which the present lease was granted. Leases for earlier requests
    /// are replaced.
    pub held_since: RequestTime,
}

/// The body of [`Message::LeaseGrant`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The leader, which grants the lease.
    pub from: Process,
    /// The holder of the lease.
    pub to: Process,
    /// The time at which the holder sent its lease request.
    pub request_sent_at: RequestTime,
    /// The leased parts.
    pub parts: Parts,
    /// The duration of the lease, which starts when the holder sends the request.
    #[serde(with = "duration_as_millis")]
    pub duration: Duration,
    /// The number of the leader's view.
    pub view_number: u64,
}

/// Encodes a duration as a `u64` of whole milliseconds.
mod duration_as_millis {
    use pinetrail_clock::whole_millis;
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    pub(super) fn serialize<S: Serializer>(duration: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(whole_millis(*duration))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_millis)
    }
}
