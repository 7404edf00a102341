//! [`Message`]: what processes send each other about the quota. The order of variants and of
//! fields is the format on the wire; times are sent as whole milliseconds.

use crate::view::{Ballot, Process, View};
use crate::Parts;
use pinetrail_clock::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// When a process sent a request, by the clock of that process.
///
/// Invariant: only the process that sent the request may convert this to a [`Timestamp`], when it
/// is returned in a response or a grant. Any other process compares it with request times of the
/// same process, and never with its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestTime(Timestamp);

impl RequestTime {
    /// The time of a request that this process sends, or sent, at this point of its own clock.
    pub fn at(sent_at: Timestamp) -> RequestTime {
        RequestTime(sent_at)
    }

    /// The point in time by the clock of this process, which must have sent the request.
    pub(crate) fn local_timestamp(self) -> Timestamp {
        self.0
    }
}

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
    /// The ballot; its proposer sends the request.
    pub ballot: Ballot,
    /// When it was sent.
    pub sent_at: RequestTime,
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
    /// The process that responds.
    pub from: Process,
    /// The ballot of the request.
    pub ballot: Ballot,
    /// When the request was sent.
    pub request_sent_at: RequestTime,
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
    /// Whether it shuts down soon, and must be a voter in no further view.
    pub leaving: bool,
    /// Its request for a lease.
    pub lease_request: LeaseRequest,
}

/// What a process holds by lease, as it requests the next one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// When this request was sent: a lease lasts from here.
    pub sent_at: RequestTime,
    /// The parts that it holds by lease.
    pub held_parts: Parts,
    /// When it sent the request by which it holds them. Leases for earlier requests are replaced.
    pub held_since: RequestTime,
}

/// See [`Message::LeaseGrant`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The leader.
    pub from: Process,
    /// The holder.
    pub to: Process,
    /// When the holder sent the request.
    pub request_sent_at: RequestTime,
    /// The leased parts.
    pub parts: Parts,
    /// How long the lease lasts from the sending of the request.
    #[serde(with = "duration_as_millis")]
    pub duration: Duration,
    /// The number of the view in which the leader was elected.
    pub view_number: u64,
}

/// A duration on the wire: a `u64` of whole milliseconds.
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
