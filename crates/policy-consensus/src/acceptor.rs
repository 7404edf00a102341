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
    pub memory: u64,
    /// Whether it may vote: enough others know of this memory.
    pub votes: bool,
    /// No earlier ballot gets a promise or a vote any more.
    pub promised: Ballot,
    /// The last vote.
    pub accepted: Option<(Ballot, ReplicatedState)>,
    /// The memories of founders, by their seats, as far as they are known here.
    pub memories: BTreeMap<u8, u64>,
}

/// What a founder says to a ballot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// It promises; its last vote, and its memory.
    Promised(Option<(Ballot, ReplicatedState)>, u64),
    /// It votes for the book.
    Accepted,
    /// It promised a later ballot.
    Late(Ballot),
    /// Its memory, or one that was counted on, is another now.
    OtherMemory,
    /// Permits of another version are out: who holds them, and for how many ms at the most.
    Blocked(Vec<(String, u64)>),
    /// It may not vote yet, or its disk does not take it.
    Unable,
}

/// What a founder knows when another one tells it of its memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registered {
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
        durable.memories.insert(seat, durable.memory);
        Acceptor { seat, durable }
    }

    /// What is owed to the disk now.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// Asked for a promise. What comes second must be on the disk before the first is said.
    pub fn promise(&self, ballot: Ballot) -> (Vote, Option<DurableState>) {
        let kept = &self.durable;
        if !kept.votes {
            return (Vote::Unable, None);
        }
        if ballot <= kept.promised {
            return (Vote::Late(kept.promised), None);
        }
        let vote = Vote::Promised(kept.accepted.clone(), kept.memory);
        (vote, Some(DurableState { promised: ballot, ..kept.clone() }))
    }

    /// Asked to vote. `memories` are those of the founders whose promises the book rests on.
    pub fn accept(
        &self,
        ballot: Ballot,
        book: &ReplicatedState,
        memories: &BTreeMap<u8, u64>,
    ) -> (Vote, Option<DurableState>) {
        let kept = &self.durable;
        if !kept.votes {
            return (Vote::Unable, None);
        }
        if ballot < kept.promised {
            return (Vote::Late(kept.promised), None);
        }
        // Danger: a promise of before a lost disk is no promise any more.
        let other =
            |(seat, memory): (&u8, &u64)| kept.memories.get(seat).is_some_and(|known| known != memory);
        if memories.iter().any(other) {
            return (Vote::OtherMemory, None);
        }
        let accepted = Some((ballot, book.clone()));
        (Vote::Accepted, Some(DurableState { promised: ballot, accepted, ..kept.clone() }))
    }

    /// A founder tells of its memory. What comes second must be on the disk before the first is said.
    pub fn register(&self, seat: u8, memory: u64) -> (Registered, Option<DurableState>) {
        let kept = &self.durable;
        let known =
            Registered { votes: kept.votes, accepted: kept.accepted.clone(), promised: kept.promised };
        if kept.memories.get(&seat) == Some(&memory) {
            return (known, None);
        }
        let mut newer = kept.clone();
        newer.memories.insert(seat, memory);
        (known, Some(newer))
    }

    /// What this founder has once others told it what they know; none if that is not enough to vote by. `blocking` others must
    /// have votes of their own, or all others none at all and no book.
    pub fn joined(
        &self,
        told: &BTreeMap<u8, Registered>,
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
