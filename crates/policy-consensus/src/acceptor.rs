//! The acceptor of one voter: a register that is compared and set, after CASPaxos (Rystsov, 2018).
//! Read [`Acceptor`] first.
//!
//! There is no log and no stable leader: each step is one round of promises and one of votes by a
//! majority of the voters. Every answer that changes the state comes with what must be durable
//! before the answer is sent; nothing here waits.

use crate::{Ballot, BlockingLease, ReplicatedState, VoterId, VoterSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Identifies the storage of a voter: a voter that lost its disk has another one from then on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorageId(pub u64);

/// The last state that a voter accepted, and in which ballot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedState {
    /// The ballot.
    pub ballot: Ballot,
    /// The state.
    pub state: ReplicatedState,
}

/// What a voter keeps on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// The identity of this storage.
    pub storage_id: StorageId,
    /// Whether this voter may vote: enough others know of this storage.
    pub may_vote: bool,
    /// Earlier ballots get no promise and no vote any more.
    pub promised: Ballot,
    /// What it accepted last.
    pub accepted: Option<AcceptedState>,
    /// The storages of all voters, as far as they are known here.
    pub storage_ids: BTreeMap<VoterId, StorageId>,
}

/// The answer of a voter to a message of a ballot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptorReply {
    /// It promises to take part in no earlier ballot.
    Promised {
        /// What it accepted last.
        accepted: Option<AcceptedState>,
        /// The storage on which this promise is kept.
        storage_id: StorageId,
    },
    /// It accepted the state.
    Accepted,
    /// It has promised a later ballot, which is this one.
    Preempted(Ballot),
    /// A promise that the state rests on was made on a storage that has been replaced.
    StorageReplaced,
    /// These leases for another version have not ended.
    Blocked(Vec<BlockingLease>),
    /// It may not vote yet, or its disk does not take the vote.
    Unavailable,
}

/// What a voter knows at the moment when another one registers its storage with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorSnapshot {
    /// Whether it may vote itself.
    pub may_vote: bool,
    /// What it accepted last.
    pub accepted: Option<AcceptedState>,
    /// The last ballot that it promised.
    pub promised: Ballot,
}

/// An answer, and what must be durable before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptorDecision<R> {
    /// The answer.
    pub reply: R,
    /// What is to be stored first; `None` if nothing changed.
    pub store_first: Option<DurableState>,
}

impl<R> AcceptorDecision<R> {
    fn unchanged(reply: R) -> AcceptorDecision<R> {
        AcceptorDecision { reply, store_first: None }
    }

    fn once_stored(reply: R, durable: DurableState) -> AcceptorDecision<R> {
        AcceptorDecision { reply, store_first: Some(durable) }
    }
}

/// The acceptor of one voter.
#[derive(Clone, Debug)]
pub struct Acceptor {
    voter: VoterId,
    durable: DurableState,
}

impl Acceptor {
    /// An acceptor with the state that was loaded from its disk.
    #[must_use]
    pub fn new(voter: VoterId, mut durable: DurableState) -> Acceptor {
        durable.storage_ids.insert(voter, durable.storage_id);
        Acceptor { voter, durable }
    }

    /// The state that its disk has.
    #[must_use]
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// Its disk has this state now.
    pub fn mark_durable(&mut self, durable: DurableState) {
        self.durable = durable;
    }

    /// Phase 1 of Paxos: promises a ballot if it is later than every one promised before.
    #[must_use]
    pub fn prepare(&self, ballot: Ballot) -> AcceptorDecision<AcceptorReply> {
        let durable = &self.durable;
        if !durable.may_vote {
            return AcceptorDecision::unchanged(AcceptorReply::Unavailable);
        }
        if ballot <= durable.promised {
            return AcceptorDecision::unchanged(AcceptorReply::Preempted(durable.promised));
        }
        let reply =
            AcceptorReply::Promised { accepted: durable.accepted.clone(), storage_id: durable.storage_id };
        AcceptorDecision::once_stored(reply, DurableState { promised: ballot, ..durable.clone() })
    }

    /// Phase 2 of Paxos: accepts a state unless a later ballot was promised. `storage_ids` are the
    /// storages of the voters on whose promises the state rests.
    #[must_use]
    pub fn accept(
        &self,
        ballot: Ballot,
        state: &ReplicatedState,
        storage_ids: &BTreeMap<VoterId, StorageId>,
    ) -> AcceptorDecision<AcceptorReply> {
        let durable = &self.durable;
        if !durable.may_vote {
            return AcceptorDecision::unchanged(AcceptorReply::Unavailable);
        }
        if ballot < durable.promised {
            return AcceptorDecision::unchanged(AcceptorReply::Preempted(durable.promised));
        }
        // Danger: a promise that was made before a disk was lost is no promise any more.
        let is_replaced = |(voter, storage_id): (&VoterId, &StorageId)| {
            durable.storage_ids.get(voter).is_some_and(|known| known != storage_id)
        };
        if storage_ids.iter().any(is_replaced) {
            return AcceptorDecision::unchanged(AcceptorReply::StorageReplaced);
        }
        let accepted = Some(AcceptedState { ballot, state: state.clone() });
        let next = DurableState { promised: ballot, accepted, ..durable.clone() };
        AcceptorDecision::once_stored(AcceptorReply::Accepted, next)
    }

    /// Takes note of the storage of another voter, and tells it what this one knows.
    #[must_use]
    pub fn register_storage(
        &self,
        voter: VoterId,
        storage_id: StorageId,
    ) -> AcceptorDecision<AcceptorSnapshot> {
        let durable = &self.durable;
        let snapshot = AcceptorSnapshot {
            may_vote: durable.may_vote,
            accepted: durable.accepted.clone(),
            promised: durable.promised,
        };
        if durable.storage_ids.get(&voter) == Some(&storage_id) {
            return AcceptorDecision::unchanged(snapshot);
        }
        let mut next = durable.clone();
        next.storage_ids.insert(voter, storage_id);
        AcceptorDecision::once_stored(snapshot, next)
    }

    /// The state with which a voter without a vote may vote, given what others told it when it
    /// registered its storage; `None` if that is not enough.
    ///
    /// Enough is a blocking set of others that may vote; or all others, if none of them has
    /// accepted anything.
    #[must_use]
    pub fn recover(
        &self,
        snapshots: &BTreeMap<VoterId, AcceptorSnapshot>,
        voters: VoterSet,
    ) -> Option<DurableState> {
        let others: Vec<&AcceptorSnapshot> = snapshots
            .iter()
            .filter(|(voter, _)| **voter != self.voter)
            .map(|(_, snapshot)| snapshot)
            .collect();
        let voting = others.iter().filter(|snapshot| snapshot.may_vote).count();
        let is_complete = others.len() + 1 == voters.size();
        let is_new_fleet = is_complete && others.iter().all(|snapshot| snapshot.accepted.is_none());
        if voting < voters.blocking() && !is_new_fleet {
            return None;
        }
        let accepted = others.iter().filter_map(|snapshot| snapshot.accepted.as_ref());
        let last_accepted = accepted.max_by_key(|accepted| accepted.ballot).cloned();
        let promised = others.iter().map(|snapshot| snapshot.promised).max().unwrap_or_default();
        Some(DurableState {
            may_vote: true,
            promised: promised.max(self.durable.promised),
            accepted: last_accepted,
            ..self.durable.clone()
        })
    }
}

#[cfg(test)]
mod tests;
