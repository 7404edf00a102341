//! The messages of the processes of a fleet about the policy, and their encoding. Read [`Message`]
//! first.
//!
//! The order of variants and of their fields is the format (postcard). Messages of other versions
//! of this program are recorded in the golden tests.

use crate::{
    AcceptorReply, AcceptorSnapshot, Ballot, LeaseHolder, LeaseRequest, ReplicatedState, StateSummary,
    StorageId, VoterId,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A message; those that ask something are answered by a [`Reply`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// To a voter, phase 1 of Paxos: asks for a promise.
    Prepare(Ballot),
    /// To a voter, phase 2 of Paxos: asks for a vote.
    Accept {
        ballot: Ballot,
        state: Box<ReplicatedState>,
        /// The storages of the voters on whose promises the state rests.
        storage_ids: BTreeMap<VoterId, StorageId>,
    },
    /// To a voter, from one that has no vote yet: the storage that it has.
    RegisterStorage { voter: VoterId, storage_id: StorageId },
    /// To a voter: asks for an admission lease.
    RequestLease(LeaseRequest),
    /// To a voter: asks who may hold a lease, and is ready for the change with this id.
    ListHolders { change_id: String },
    /// To any process: asks for the state, if it has this revision or a later one.
    FetchState { min_revision: u64 },
    /// To all: this is agreed.
    Decided(StateSummary),
    /// To all: something of another part of the program, which the number names.
    Application { channel: u8, body: Vec<u8> },
    /// To all: for whom the open change waits, as its leader sees it.
    WaitingFor { change_id: String, names: Vec<String> },
}

/// The answer to a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// To a message of a ballot.
    Acceptor(AcceptorReply),
    /// To the registration of a storage.
    StorageRegistered(AcceptorSnapshot),
    /// Whether the lease is granted, and what is agreed.
    Lease { is_granted: bool, summary: StateSummary },
    /// The processes that may hold a lease.
    Holders(Vec<LeaseHolder>),
    /// The state.
    State(Box<ReplicatedState>),
}

/// Encodes a message or a reply.
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Every value of these types can be encoded.
    postcard::to_allocvec(message).unwrap_or_default()
}

/// Decodes a message or a reply; `None` if the bytes are not exactly one.
pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Some(message),
        _ => None,
    }
}
