//! The join task: recovers the vote of this process's voter, and settles the state that the voter
//! accepted.
//!
//! A recovering voter registers its storage with the other voters, which reply with their states. A
//! voter that has learnt no agreed state, or that accepted a state without learning that it was
//! agreed, has the state agreed again.

use super::proposer::Transition;
use super::ConsensusNode;
use crate::messages::{Message, Reply};
use crate::{Ballot, ReplicatedState, StorageId, VoterId, VotingStatus};
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The pause between two checks of the voter.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// The next step of this process's voter.
enum JoinStep {
    /// No step now: this process has no voter, or the voter votes and its accepted state is settled
    /// or is not due to be settled yet.
    Wait,
    /// Register the storage of the voter with the other voters.
    RegisterStorage { voter: VoterId, storage_id: StorageId },
    /// Have the accepted state agreed again, or create the first state.
    ProposeState(StateCreation),
}

/// Whether a voter may create the first state of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StateCreation {
    Allowed,
    Forbidden,
}

impl<N: Network> ConsensusNode<N> {
    /// Runs the join task. The task ends with the runtime of the node.
    pub(super) async fn join(self: Arc<Self>) {
        let mut unsettled_ballot = None;
        loop {
            match self.next_join_step(&mut unsettled_ballot) {
                JoinStep::Wait => {}
                JoinStep::RegisterStorage { voter, storage_id } => {
                    self.register_with_others(voter, storage_id).await;
                    self.recover_vote();
                }
                JoinStep::ProposeState(creation) => self.propose_state(creation).await,
            }
            sleep(self.jittered(CHECK_INTERVAL)).await;
        }
    }

    /// Returns the next step of this process's voter.
    ///
    /// Inputs: the durable state of the voter, the revision of the agreed state, and
    /// `unsettled_ballot`: the ballot of the last accepted state, if that state was not known to be
    /// agreed at the last check.
    /// Reason: a state that a voter accepted may have been chosen although its proposer crashed. A
    /// state that is not known to be agreed in two checks is proposed again.
    /// Source: Lamport, "Paxos Made Simple" (2001), section 2.3: learning a chosen value by a
    /// further proposal.
    ///
    /// Invariant: the first state is created only when all voters have registered their storages,
    /// because a voter that did not may hold another first state.
    fn next_join_step(&self, unsettled_ballot: &mut Option<Ballot>) -> JoinStep {
        let state = self.state();
        let Some(voter) = &state.voter else {
            return JoinStep::Wait;
        };
        let durable = voter.acceptor.durable();
        if durable.voting == VotingStatus::Recovering {
            return JoinStep::RegisterStorage { voter: voter.id, storage_id: durable.storage_id };
        }
        let accepted = durable.accepted.as_ref();
        let unsettled = accepted.filter(|accepted| accepted.state.revision > state.agreed.revision);
        let ballot = unsettled.map(|accepted| accepted.ballot);
        let previous_ballot = std::mem::replace(unsettled_ballot, ballot);
        let is_still_unsettled = ballot.is_some() && previous_ballot == ballot;
        if state.agreed.revision > 0 && !is_still_unsettled {
            return JoinStep::Wait;
        }
        let are_all_registered = durable.storage_ids.len() == self.settings.voters.size();
        JoinStep::ProposeState(if are_all_registered {
            StateCreation::Allowed
        } else {
            StateCreation::Forbidden
        })
    }

    async fn propose_state(self: &Arc<Self>, creation: StateCreation) {
        let initial = ReplicatedState::initial(&self.settings.initial_policy);
        let transition = |state: Option<&ReplicatedState>| {
            if state.is_none() && creation == StateCreation::Allowed {
                Transition::Next(initial.clone())
            } else {
                Transition::Keep
            }
        };
        // Without a majority the step is repeated at the next check.
        let _ = self.step(self.settings.timing.request_timeout, transition).await;
    }

    async fn register_with_others(&self, own: VoterId, storage_id: StorageId) {
        let message = Message::RegisterStorage { voter: own, storage_id };
        for voter in self.settings.voters.ids().filter(|voter| *voter != own) {
            if let Some(Reply::StorageRegistered(snapshot)) = self.request_from_voter(voter, &message).await {
                if let Some(own_voter) = self.state().voter.as_mut() {
                    own_voter.snapshots.insert(voter, snapshot);
                }
            }
        }
    }

    /// Lets the voter begin to vote, if the snapshots of the other voters suffice.
    fn recover_vote(&self) {
        let recovered = {
            let state = self.state();
            let Some(voter) = &state.voter else {
                return;
            };
            voter.acceptor.recover(&voter.snapshots, self.settings.voters)
        };
        if recovered.is_some_and(|durable| self.store_voter_state(durable)) {
            self.applier.log("this founder votes");
            self.notify_changed();
        }
    }
}
