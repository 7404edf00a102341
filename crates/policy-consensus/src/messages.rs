//! The messages of policy consensus and their encoding. Read [`Message`] first.
//!
//! The order of variants and of their fields is part of the format (postcard). The golden tests
//! hold recorded bytes of messages of other versions of this program.

use crate::{
    AcceptorReply, AcceptorSnapshot, Ballot, LeaseHolder, LeaseRequest, ReplicatedState, StateSummary,
    StorageId, VoterId,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A message to another process. Requests are answered by a [`Reply`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Requests a promise from a voter (phase 1 of Paxos).
    Prepare(Ballot),
    /// Requests a vote from a voter (phase 2 of Paxos).
    Accept {
        ballot: Ballot,
        state: Box<ReplicatedState>,
        /// The storages of the voters on whose promises the state rests.
        storage_ids: BTreeMap<VoterId, StorageId>,
    },
    /// Registers the storage of the sender, a recovering voter, with another voter.
    RegisterStorage { voter: VoterId, storage_id: StorageId },
    /// Requests an admission lease from a voter.
    RequestLease(LeaseRequest),
    /// Requests from a voter the processes that may hold a lease, and their readiness for the
    /// change with this id.
    ListHolders { change_id: String },
    /// Requests the state from any process that has this revision or a later one.
    FetchState { min_revision: u64 },
    /// Announces to all processes that this state is agreed.
    Decided(StateSummary),
    /// Carries a message of another part of the program, identified by the channel, to all
    /// processes.
    Application { channel: u8, body: Vec<u8> },
    /// Announces to all processes, from the leader, for which processes the open change waits.
    WaitingFor { change_id: String, names: Vec<String> },
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The reply to a ballot message.
    Acceptor(AcceptorReply),
    /// The reply to the registration of a storage.
    StorageRegistered(AcceptorSnapshot),
    /// The reply to a request for a lease: whether the lease is granted, and the agreed state.
    Lease { is_granted: bool, summary: StateSummary },
    /// The processes that may hold a lease.
    Holders(Vec<LeaseHolder>),
    /// The requested state.
    State(Box<ReplicatedState>),
}

/// Encodes a message or a reply.
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Cannot fail: postcard encodes every value of these types.
    postcard::to_allocvec(message).unwrap_or_default()
}

/// Decodes a message or a reply; returns `None` if the bytes are not exactly one of them.
pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Some(message),
        _ => None,
    }
}
