//! What processes of a fleet say to each other about the book.

use crate::lease_table::LeaseRequest;
use crate::{AcceptorReply, AcceptorSnapshot, Ballot, ReplicatedState, StateSummary};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A word; those that are questions are answered by a [`Reply`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// To a founder: promise.
    Prepare(Ballot),
    /// To a founder: vote.
    Accept(Ballot, Box<ReplicatedState>, BTreeMap<u8, u64>),
    /// To a founder, by one that has no memory of before: this seat's memory.
    RegisterStorage(u8, u64),
    /// To a founder: may this process admit?
    RequestLease(LeaseRequest),
    /// To a founder: who may admit, and is not ready for this change?
    ListHolders(String),
    /// To anybody: the whole book, if it is at this step at the least.
    FetchState(u64),
    /// This is agreed.
    Decided(StateSummary),
    /// Of another floor, by its number: what it says is no concern of the book.
    Application(u8, Vec<u8>),
    /// For whom an open change waits, as its steward sees it.
    WaitingFor(String, Vec<String>),
}

/// What a question is answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// To a ballot.
    Acceptor(AcceptorReply),
    /// To a memory.
    StorageRegistered(AcceptorSnapshot),
    /// Whether it may, and what is agreed.
    Lease(bool, StateSummary),
    /// Those who may admit: who, whether it is ready, and for how many ms at the most it may.
    Holders(Vec<(String, bool, u64)>),
    /// The book.
    State(Box<ReplicatedState>),
}

/// As bytes.
pub(crate) fn encode<T: Serialize>(said: &T) -> Vec<u8> {
    // The types above are all representable.
    postcard::to_allocvec(said).unwrap_or_default()
}

/// What the bytes say; none if they are none.
pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((said, [])) => Some(said),
        _ => None,
    }
}
