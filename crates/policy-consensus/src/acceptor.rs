//! A founder's votes for books: a register that is compared and set, after CASPaxos (Rystsov 2018). There is no log and no
//! leader: each step is one round of promises and one of votes by a majority of all seats. What is kept is what a
//! disk must have before it is said; nothing here waits.

use crate::{Ballot, ReplicatedState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a founder owes its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// Which memory this is: a founder that lost its disk has another one.
    pub storage_id: u64,
    /// Whether it may vote: enough others know of this memory.
    pub votes: bool,
    /// No earlier ballot gets a promise or a vote any more.
    pub promised: Ballot,
    /// The last vote.
    pub accepted: Option<(Ballot, ReplicatedState)>,
    /// The memories of founders, by their seats, as far as they are known here.
    pub storage_ids: BTreeMap<u8, u64>,
}

/// What a founder says to a ballot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptorReply {
    /// It promises; its last vote, and its memory.
    Promised(Option<(Ballot, ReplicatedState)>, u64),
    /// It votes for the book.
    Accepted,
    /// It promised a later ballot.
    Preempted(Ballot),
    /// Its memory, or one that was counted on, is another now.
    StorageReplaced,
    /// Permits of another version are out: who holds them, and for how many ms at the most.
    Blocked(Vec<(String, u64)>),
    /// It may not vote yet, or its disk does not take it.
    Unavailable,
}

/// What a founder knows when another one tells it of its memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorSnapshot {
    /// Whether it may vote itself.
    pub votes: bool,
    /// Its last vote.
    pub accepted: Option<(Ballot, ReplicatedState)>,
    /// Its last promise.
    pub promised: Ballot,
}

/// The votes of one seat.
#[derive(Clone, Debug)]
pub struct Acceptor {
    seat: u8,
    durable: DurableState,
}

impl Acceptor {
    /// With what its disk has.
    pub fn new(seat: u8, mut durable: DurableState) -> Acceptor {
        durable.storage_ids.insert(seat, durable.storage_id);
        Acceptor { seat, durable }
    }

    /// What is owed to the disk now.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// Asked for a promise. What comes second must be on the disk before the first is said.
    pub fn promise(&self, ballot: Ballot) -> (AcceptorReply, Option<DurableState>) {
        let kept = &self.durable;
        if !kept.votes {
            return (AcceptorReply::Unavailable, None);
        }
        if ballot <= kept.promised {
            return (AcceptorReply::Preempted(kept.promised), None);
        }
        let vote = AcceptorReply::Promised(kept.accepted.clone(), kept.storage_id);
        (vote, Some(DurableState { promised: ballot, ..kept.clone() }))
    }

    /// Asked to vote. `memories` are those of the founders whose promises the book rests on.
    pub fn accept(
        &self,
        ballot: Ballot,
        book: &ReplicatedState,
        storage_ids: &BTreeMap<u8, u64>,
    ) -> (AcceptorReply, Option<DurableState>) {
        let kept = &self.durable;
        if !kept.votes {
            return (AcceptorReply::Unavailable, None);
        }
        if ballot < kept.promised {
            return (AcceptorReply::Preempted(kept.promised), None);
        }
        // Danger: a promise of before a lost disk is no promise any more.
        let other = |(seat, storage_id): (&u8, &u64)| {
            kept.storage_ids.get(seat).is_some_and(|known| known != storage_id)
        };
        if storage_ids.iter().any(other) {
            return (AcceptorReply::StorageReplaced, None);
        }
        let accepted = Some((ballot, book.clone()));
        (AcceptorReply::Accepted, Some(DurableState { promised: ballot, accepted, ..kept.clone() }))
    }

    /// A founder tells of its memory. What comes second must be on the disk before the first is said.
    pub fn register(&self, seat: u8, storage_id: u64) -> (AcceptorSnapshot, Option<DurableState>) {
        let kept = &self.durable;
        let known =
            AcceptorSnapshot { votes: kept.votes, accepted: kept.accepted.clone(), promised: kept.promised };
        if kept.storage_ids.get(&seat) == Some(&storage_id) {
            return (known, None);
        }
        let mut newer = kept.clone();
        newer.storage_ids.insert(seat, storage_id);
        (known, Some(newer))
    }

    /// What this founder has once others told it what they know; none if that is not enough to vote by. `blocking` others must
    /// have votes of their own, or all others none at all and no book.
    pub fn joined(
        &self,
        told: &BTreeMap<u8, AcceptorSnapshot>,
        seats: u8,
        blocking: usize,
    ) -> Option<DurableState> {
        let others = told.iter().filter(|(seat, _)| **seat != self.seat);
        let voters = others.clone().filter(|(_, told)| told.votes).count();
        let no_book = others.clone().all(|(_, told)| told.accepted.is_none());
        let all = others.clone().count() + 1 == usize::from(seats);
        if voters < blocking && !(all && no_book) {
            return None;
        }
        let accepted = others.clone().filter_map(|(_, told)| told.accepted.clone()).max_by_key(|a| a.0);
        let promised = others.map(|(_, told)| told.promised).max().unwrap_or_default();
        let promised = promised.max(self.durable.promised);
        Some(DurableState { votes: true, promised, accepted, ..self.durable.clone() })
    }

    /// The disk has this now.
    pub fn synced(&mut self, durable: DurableState) {
        self.durable = durable;
    }
}

#[cfg(test)]
mod tests;
