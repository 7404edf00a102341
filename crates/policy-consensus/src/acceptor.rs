//! The acceptor of one voter: a compare-and-set register, after CASPaxos (Rystsov, 2018). Read
//! [`Acceptor`] first.
//!
//! CASPaxos has no log and no stable leader: each step takes one round of promises and one round of
//! votes by a majority of the voters. Each decision comes with the state that must be durable
//! before the reply is sent. No function here waits.

use crate::{Ballot, BlockingLease, ReplicatedState, VoterId, VoterSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The identity of a voter's storage. A voter that lost its disk gets a storage with a new
/// identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorageId(pub u64);

/// The state that a voter accepted last, with its ballot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedState {
    /// The ballot in which the state was accepted.
    pub ballot: Ballot,
    /// The accepted state.
    pub state: ReplicatedState,
}

/// Whether an acceptor takes part in ballots.
///
/// Messages and state files encode the status as one byte, 0 or 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum VotingStatus {
    /// The acceptor takes no part in ballots: its storage is new, and too few other voters have
    /// registered that storage.
    #[default]
    Recovering,
    /// The acceptor promises and accepts.
    Voting,
}

/// The state of a voter that is kept on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// The identity of the storage that keeps this state.
    pub storage_id: StorageId,
    /// Whether the voter takes part in ballots.
    pub voting: VotingStatus,
    /// The highest ballot that the voter promised. Earlier ballots get no promise and no vote.
    pub promised: Ballot,
    /// The state that the voter accepted last.
    pub accepted: Option<AcceptedState>,
    /// The storages of the voters that registered with this voter, including its own.
    pub storage_ids: BTreeMap<VoterId, StorageId>,
}

/// The reply of a voter to a ballot message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptorReply {
    /// The voter promises to take part in no earlier ballot.
    Promised {
        /// The state that the voter accepted last.
        accepted: Option<AcceptedState>,
        /// The storage that keeps this promise.
        storage_id: StorageId,
    },
    /// The voter accepted the state.
    Accepted,
    /// The voter has promised the given ballot, which is not earlier than the ballot of the
    /// message.
    Preempted(Ballot),
    /// The state rests on a promise made by a storage that has been replaced since.
    StorageReplaced,
    /// The given leases for other versions have not expired.
    Blocked(Vec<BlockingLease>),
    /// The voter is recovering, or its disk rejects the write.
    Unavailable,
}

/// The state of a voter when another voter registers its storage with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorSnapshot {
    /// Whether the voter takes part in ballots.
    pub voting: VotingStatus,
    /// The state that the voter accepted last.
    pub accepted: Option<AcceptedState>,
    /// The highest ballot that the voter promised.
    pub promised: Ballot,
}

/// A reply, with the state that must be durable before the reply is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptorDecision<R> {
    /// The reply to send.
    pub reply: R,
    /// The state to store before the reply is sent; `None` if nothing changed.
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

/// A state that a proposer asks acceptors to accept.
#[derive(Clone, Copy, Debug)]
pub struct AcceptRequest<'a> {
    /// The ballot of the proposal.
    pub ballot: Ballot,
    /// The proposed state.
    pub state: &'a ReplicatedState,
    /// The storages of the voters on whose promises the state rests.
    pub storage_ids: &'a BTreeMap<VoterId, StorageId>,
}

/// The acceptor of one voter.
#[derive(Clone, Debug)]
pub struct Acceptor {
    voter: VoterId,
    durable: DurableState,
}

impl Acceptor {
    /// Creates an acceptor from the state that was loaded from the voter's disk.
    #[must_use]
    pub fn new(voter: VoterId, mut durable: DurableState) -> Acceptor {
        durable.storage_ids.insert(voter, durable.storage_id);
        Acceptor { voter, durable }
    }

    /// Returns the state that is on the voter's disk.
    #[must_use]
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// Records that this state is on the voter's disk.
    pub fn mark_durable(&mut self, durable: DurableState) {
        self.durable = durable;
    }

    /// Decides whether to promise a ballot (phase 1 of Paxos).
    ///
    /// Inputs: the ballot; the ballot promised last and the voting status, from the disk.
    /// Reason: after a promise no earlier ballot can succeed with this voter, so that the proposer
    /// sees every state that may have been chosen before.
    /// Source: Lamport, "Paxos Made Simple" (2001), section 2.2, phase 1b; Rystsov, "CASPaxos"
    /// (2018).
    #[must_use]
    pub fn prepare(&self, ballot: Ballot) -> AcceptorDecision<AcceptorReply> {
        let durable = &self.durable;
        if durable.voting == VotingStatus::Recovering {
            return AcceptorDecision::unchanged(AcceptorReply::Unavailable);
        }
        if ballot <= durable.promised {
            return AcceptorDecision::unchanged(AcceptorReply::Preempted(durable.promised));
        }
        let reply =
            AcceptorReply::Promised { accepted: durable.accepted.clone(), storage_id: durable.storage_id };
        AcceptorDecision::once_stored(reply, DurableState { promised: ballot, ..durable.clone() })
    }

    /// Decides whether to vote for a proposed state (phase 2 of Paxos).
    ///
    /// Inputs: the request; the leases for other versions that may be held now, each with its
    /// remaining time; the ballot promised last, the voting status and the registered storages,
    /// from the disk.
    /// Reason: a vote in an earlier ballot than the promised one could undo a chosen state, and a
    /// vote while a lease for another version is held would let two versions admit requests.
    /// Source: Lamport, "Paxos Made Simple" (2001), section 2.2, phase 2b; Gray and Cheriton,
    /// "Leases" (1989), for the leases.
    ///
    /// Invariant: a promise that a voter made before it lost its disk does not count, because the
    /// voter may have promised another ballot since.
    #[must_use]
    pub fn accept(
        &self,
        request: &AcceptRequest<'_>,
        blocking_leases: Vec<BlockingLease>,
    ) -> AcceptorDecision<AcceptorReply> {
        let durable = &self.durable;
        if durable.voting == VotingStatus::Recovering {
            return AcceptorDecision::unchanged(AcceptorReply::Unavailable);
        }
        if request.ballot < durable.promised {
            return AcceptorDecision::unchanged(AcceptorReply::Preempted(durable.promised));
        }
        if request.storage_ids.iter().any(|(voter, id)| self.is_replaced(*voter, *id)) {
            return AcceptorDecision::unchanged(AcceptorReply::StorageReplaced);
        }
        if !blocking_leases.is_empty() {
            return AcceptorDecision::unchanged(AcceptorReply::Blocked(blocking_leases));
        }
        let accepted = Some(AcceptedState { ballot: request.ballot, state: request.state.clone() });
        let next = DurableState { promised: request.ballot, accepted, ..durable.clone() };
        AcceptorDecision::once_stored(AcceptorReply::Accepted, next)
    }

    /// Returns whether a voter has registered a storage other than the given one.
    fn is_replaced(&self, voter: VoterId, storage_id: StorageId) -> bool {
        self.durable.storage_ids.get(&voter).is_some_and(|registered| *registered != storage_id)
    }

    /// Registers the storage of another voter. The reply is the snapshot of this acceptor.
    #[must_use]
    pub fn register_storage(
        &self,
        voter: VoterId,
        storage_id: StorageId,
    ) -> AcceptorDecision<AcceptorSnapshot> {
        let durable = &self.durable;
        let snapshot = AcceptorSnapshot {
            voting: durable.voting,
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

    /// Returns the state with which a recovering voter begins to vote, or `None` if it must not
    /// vote yet.
    ///
    /// Inputs: the snapshots of the voters with which this voter registered its storage, and all
    /// voters of the fleet.
    /// Reason: a blocking set of voting voters has a member in every majority, so that one of its
    /// members has accepted any state that was chosen. In a new fleet, replies from all other
    /// voters without an accepted state show that none was chosen.
    /// Source: Lamport, "Paxos Made Simple" (2001), section 2.2: majorities intersect.
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
        let voting = others.iter().filter(|snapshot| snapshot.voting == VotingStatus::Voting).count();
        let is_complete = others.len() + 1 == voters.size();
        let is_new_fleet = is_complete && others.iter().all(|snapshot| snapshot.accepted.is_none());
        if voting < voters.blocking() && !is_new_fleet {
            return None;
        }
        let accepted = others.iter().filter_map(|snapshot| snapshot.accepted.as_ref());
        let last_accepted = accepted.max_by_key(|accepted| accepted.ballot).cloned();
        let promised = others.iter().map(|snapshot| snapshot.promised).max().unwrap_or_default();
        Some(DurableState {
            voting: VotingStatus::Voting,
            promised: promised.max(self.durable.promised),
            accepted: last_accepted,
            ..self.durable.clone()
        })
    }
}

#[cfg(test)]
mod tests;
