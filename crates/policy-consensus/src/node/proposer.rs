//! The proposer: makes one step of the replicated state by a compare-and-set operation (CASPaxos).
//! Read [`ConsensusNode::step`] first.
//!
//! A majority promises a ballot, the next state is derived from the state with the highest ballot
//! that any voter of this majority has accepted, and a majority accepts the next state.

use super::ConsensusNode;
use crate::messages::{encode, Message};
use crate::{
    AcceptedState, AcceptorReply, Ballot, BlockingLease, Conflict, ReplicatedState, StorageId, VoterId,
};
use pinetrail_peer_transport::Network;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{sleep, Instant};

/// The pause before the second ballot of a step. The pause doubles from ballot to ballot.
const MIN_BACKOFF: Duration = Duration::from_millis(8);
/// The longest pause between two ballots of a step.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// The transition that a step applies to the state.
pub(super) enum Transition {
    /// The state stays the same and is agreed again.
    Keep,
    /// The given state becomes the next one.
    Next(ReplicatedState),
    /// The state stays the same, and the caller gets this conflict.
    Reject(Conflict),
}

impl From<Option<ReplicatedState>> for Transition {
    /// Returns the transition to the given state, or [`Transition::Keep`] without one.
    fn from(next: Option<ReplicatedState>) -> Transition {
        next.map_or(Transition::Keep, Transition::Next)
    }
}

/// The reason why a step failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(super) enum StepError {
    /// The requested transition does not follow from the agreed state.
    #[error(transparent)]
    Conflict(#[from] Conflict),
    /// Leases for the previous version have not expired.
    #[error("leases for the version before have not ended")]
    Blocked(Vec<BlockingLease>),
    /// No majority replied in time. The step may have been agreed.
    #[error("no majority of founders answered in time")]
    NoMajority,
}

/// The promises of a majority.
struct Promises {
    /// The state with the highest ballot that any voter of the majority has accepted.
    last_state: Option<ReplicatedState>,
    /// The storages that keep the promises.
    storage_ids: BTreeMap<VoterId, StorageId>,
}

/// The state that a ballot puts to the vote.
struct Proposal {
    state: ReplicatedState,
    /// The reason why the state is not the result of the transition that the caller requested.
    conflict: Option<Conflict>,
}

impl<N: Network> ConsensusNode<N> {
    /// Makes one step: runs ballots until one succeeds, one fails with another error than
    /// [`StepError::NoMajority`], or the time limit is reached.
    pub(super) async fn step(
        self: &Arc<Self>,
        time_limit: Duration,
        transition: impl Fn(Option<&ReplicatedState>) -> Transition,
    ) -> Result<ReplicatedState, StepError> {
        let deadline = Instant::now() + time_limit;
        let mut backoff = MIN_BACKOFF;
        loop {
            let result = self.run_ballot(&transition).await;
            let is_retried =
                matches!(result, Err(StepError::NoMajority)) && Instant::now() + backoff < deadline;
            if !is_retried {
                return result;
            }
            sleep(self.jittered(backoff)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn run_ballot(
        self: &Arc<Self>,
        transition: impl Fn(Option<&ReplicatedState>) -> Transition,
    ) -> Result<ReplicatedState, StepError> {
        let ballot = self.next_ballot();
        let promises = self.collect_promises(ballot).await?;
        let requested = transition(promises.last_state.as_ref());
        let Proposal { state, conflict } = proposal(requested, promises.last_state)?;
        self.collect_votes(ballot, &state, promises.storage_ids).await?;
        self.announce_decided(state.clone());
        match conflict {
            None => Ok(state),
            Some(conflict) => Err(StepError::Conflict(conflict)),
        }
    }

    fn next_ballot(&self) -> Ballot {
        let mut state = self.state();
        state.highest_ballot = Ballot::next_after(state.highest_ballot, self.proposer);
        state.highest_ballot
    }

    /// Collects the promises of a majority (phase 1 of Paxos).
    async fn collect_promises(self: &Arc<Self>, ballot: Ballot) -> Result<Promises, StepError> {
        let majority = self.settings.voters.majority();
        let mut last: Option<AcceptedState> = None;
        let mut storage_ids = BTreeMap::new();
        let mut replies = self.send_to_acceptors(&Message::Prepare(ballot));
        while storage_ids.len() < majority {
            let Some(received) = replies.recv().await else {
                return Err(StepError::NoMajority);
            };
            match received.reply {
                AcceptorReply::Promised { accepted, storage_id } => {
                    storage_ids.insert(received.voter, storage_id);
                    last = with_higher_ballot(last, accepted);
                }
                AcceptorReply::Preempted(later) => self.state().observe_ballot(later),
                _ => {}
            }
        }
        Ok(Promises { last_state: last.map(|accepted| accepted.state), storage_ids })
    }

    /// Collects the votes of a majority (phase 2 of Paxos).
    async fn collect_votes(
        self: &Arc<Self>,
        ballot: Ballot,
        state: &ReplicatedState,
        storage_ids: BTreeMap<VoterId, StorageId>,
    ) -> Result<(), StepError> {
        let majority = self.settings.voters.majority();
        let mut votes = 0;
        let mut blocking = Vec::new();
        let message = Message::Accept { ballot, state: Box::new(state.clone()), storage_ids };
        let mut replies = self.send_to_acceptors(&message);
        while votes < majority {
            let Some(received) = replies.recv().await else {
                return Err(if blocking.is_empty() {
                    StepError::NoMajority
                } else {
                    StepError::Blocked(blocking)
                });
            };
            match received.reply {
                AcceptorReply::Accepted => votes += 1,
                AcceptorReply::Preempted(later) => self.state().observe_ballot(later),
                AcceptorReply::Blocked(leases) => blocking.extend(leases),
                _ => {}
            }
        }
        Ok(())
    }

    /// Records an agreed state and broadcasts its summary.
    fn announce_decided(&self, state: ReplicatedState) {
        let summary = state.summary();
        self.state().learn_state(state);
        self.transport.broadcast(&encode(&Message::Decided(summary)));
        self.notify_changed();
    }
}

/// Returns the state that a ballot puts to the vote.
///
/// Inputs: the transition that the caller requests, and the state with the highest ballot that any
/// voter of the promising majority has accepted.
/// Reason: a state that only a minority accepted may never be agreed. A conflict with such a state
/// is therefore reported only after that state itself has been agreed.
/// Source: Rystsov, "CASPaxos" (2018): the new value is a function of the accepted one.
fn proposal(requested: Transition, last_state: Option<ReplicatedState>) -> Result<Proposal, StepError> {
    match (requested, last_state) {
        (Transition::Next(state), _) | (Transition::Keep, Some(state)) => {
            Ok(Proposal { state, conflict: None })
        }
        (Transition::Reject(conflict), Some(state)) => Ok(Proposal { state, conflict: Some(conflict) }),
        (Transition::Reject(conflict), None) => Err(StepError::Conflict(conflict)),
        (Transition::Keep, None) => Err(StepError::NoMajority),
    }
}

/// Returns the accepted state that a ballot continues: of two, the one with the higher ballot.
///
/// Inputs: the accepted states of two acceptors, if any.
/// Reason: a chosen state is accepted in every later ballot, so that the highest ballot has it.
/// Source: Lamport, "Paxos Made Simple" (2001), section 2.2, condition P2c.
fn with_higher_ballot(first: Option<AcceptedState>, second: Option<AcceptedState>) -> Option<AcceptedState> {
    match (first, second) {
        (Some(first), Some(second)) if second.ballot > first.ballot => Some(second),
        (first, second) => first.or(second),
    }
}
