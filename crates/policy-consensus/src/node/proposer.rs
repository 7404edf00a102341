//! The proposer: one step of the replicated state, compared and set (CASPaxos). Read
//! [`ConsensusNode::step`] first.
//!
//! A majority promises a ballot, the next state is made of the one that they accepted last, and a
//! majority accepts it.

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

/// The pause before the second ballot of a step; it doubles from ballot to ballot.
const FIRST_PAUSE: Duration = Duration::from_millis(8);
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// What is to become of the state.
pub(super) enum Transition {
    /// It stays, and is agreed once more.
    Keep,
    /// This one follows.
    Next(ReplicatedState),
    /// It stays; the caller gets this conflict.
    Reject(Conflict),
}

impl Transition {
    /// The next state, if there is one; otherwise the state stays.
    pub(super) fn next_or_keep(next: Option<ReplicatedState>) -> Transition {
        next.map_or(Transition::Keep, Transition::Next)
    }
}

/// Why no step was made, as far as is known.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(super) enum StepError {
    /// What was wanted does not follow from what is agreed.
    #[error(transparent)]
    Conflict(#[from] Conflict),
    /// Leases for the version before have not ended.
    #[error("leases for the version before have not ended")]
    Blocked(Vec<BlockingLease>),
    /// No majority answered in time.
    #[error("no majority of founders answered in time")]
    NoMajority,
}

/// What a majority promised.
struct Promises {
    /// The state of the latest ballot among those that they accepted.
    last_state: Option<ReplicatedState>,
    /// The storages on which the promises are kept.
    storage_ids: BTreeMap<VoterId, StorageId>,
}

/// The state that a ballot puts to the vote.
struct Proposal {
    state: ReplicatedState,
    /// Why it is not what the caller wanted.
    conflict: Option<Conflict>,
}

impl<N: Network> ConsensusNode<N> {
    /// Makes one step: runs ballots until one succeeds or fails for good, or the time is over.
    pub(super) async fn step(
        self: &Arc<Self>,
        time_limit: Duration,
        transition: impl Fn(Option<&ReplicatedState>) -> Transition,
    ) -> Result<ReplicatedState, StepError> {
        let deadline = Instant::now() + time_limit;
        let mut pause = FIRST_PAUSE;
        loop {
            let result = self.run_ballot(&transition).await;
            let is_retried =
                matches!(result, Err(StepError::NoMajority)) && Instant::now() + pause < deadline;
            if !is_retried {
                return result;
            }
            sleep(self.jittered(pause)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn run_ballot(
        self: &Arc<Self>,
        transition: impl Fn(Option<&ReplicatedState>) -> Transition,
    ) -> Result<ReplicatedState, StepError> {
        let ballot = self.next_ballot();
        let promises = self.collect_promises(ballot).await?;
        let wanted = transition(promises.last_state.as_ref());
        let Proposal { state, conflict } = proposal(wanted, promises.last_state)?;
        self.collect_votes(ballot, &state, promises.storage_ids).await?;
        self.decided(state.clone());
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

    /// Phase 1 of Paxos.
    async fn collect_promises(self: &Arc<Self>, ballot: Ballot) -> Result<Promises, StepError> {
        let majority = self.settings.voters.majority();
        let mut last: Option<AcceptedState> = None;
        let mut storage_ids = BTreeMap::new();
        let mut replies = self.ask_acceptors(&Message::Prepare(ballot));
        while storage_ids.len() < majority {
            let Some(answer) = replies.recv().await else {
                return Err(StepError::NoMajority);
            };
            match answer.reply {
                AcceptorReply::Promised { accepted, storage_id } => {
                    storage_ids.insert(answer.voter, storage_id);
                    last = later_of(last, accepted);
                }
                AcceptorReply::Preempted(later) => self.state().observe_ballot(later),
                _ => {}
            }
        }
        Ok(Promises { last_state: last.map(|accepted| accepted.state), storage_ids })
    }

    /// Phase 2 of Paxos.
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
        let mut replies = self.ask_acceptors(&message);
        while votes < majority {
            let Some(answer) = replies.recv().await else {
                return Err(if blocking.is_empty() {
                    StepError::NoMajority
                } else {
                    StepError::Blocked(blocking)
                });
            };
            match answer.reply {
                AcceptorReply::Accepted => votes += 1,
                AcceptorReply::Preempted(later) => self.state().observe_ballot(later),
                AcceptorReply::Blocked(leases) => blocking.extend(leases),
                _ => {}
            }
        }
        Ok(())
    }

    /// A state is agreed: takes note of it, and tells all.
    fn decided(&self, state: ReplicatedState) {
        let summary = state.summary();
        self.state().learn_state(state);
        self.transport.broadcast(&encode(&Message::Decided(summary)));
        self.notify_changed();
    }
}

/// What a ballot puts to the vote, given what the caller wants and the state that was accepted
/// last.
fn proposal(wanted: Transition, last_state: Option<ReplicatedState>) -> Result<Proposal, StepError> {
    match (wanted, last_state) {
        (Transition::Next(state), _) | (Transition::Keep, Some(state)) => {
            Ok(Proposal { state, conflict: None })
        }
        // Danger: what only a few accepted may never be agreed. The conflict is reported once the
        // state that causes it is agreed.
        (Transition::Reject(conflict), Some(state)) => Ok(Proposal { state, conflict: Some(conflict) }),
        (Transition::Reject(conflict), None) => Err(StepError::Conflict(conflict)),
        (Transition::Keep, None) => Err(StepError::NoMajority),
    }
}

fn later_of(first: Option<AcceptedState>, second: Option<AcceptedState>) -> Option<AcceptedState> {
    match (first, second) {
        (Some(first), Some(second)) if second.ballot > first.ballot => Some(second),
        (first, second) => first.or(second),
    }
}
