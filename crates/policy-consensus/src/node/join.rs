//! Gives a voter its vote, and settles what it accepted.
//!
//! A voter that has no vote yet asks the others what they know. One that knows of no agreed state,
//! or that accepted a state and never heard that it was agreed, has the state agreed once more.

use super::proposer::Transition;
use super::ConsensusNode;
use crate::messages::{Message, Reply};
use crate::{Ballot, ReplicatedState, StorageId, VoterId};
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const INTERVAL: Duration = Duration::from_millis(60);

/// What a voter has to do next.
enum JoinStep {
    Nothing,
    /// To register its storage with the other voters.
    RegisterStorage {
        voter: VoterId,
        storage_id: StorageId,
    },
    /// To have the state agreed once more.
    SettleState(Founding),
}

/// Whether a voter may make the first state of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Founding {
    Allowed,
    Forbidden,
}

impl<N: Network> ConsensusNode<N> {
    /// The task of joining. It ends with the runtime of the node.
    pub(super) async fn join(self: Arc<Self>) {
        let mut unsettled_ballot = None;
        loop {
            match self.next_join_step(&mut unsettled_ballot) {
                JoinStep::Nothing => {}
                JoinStep::RegisterStorage { voter, storage_id } => {
                    self.register_with_others(voter, storage_id).await;
                    self.recover_vote();
                }
                JoinStep::SettleState(founding) => self.settle_state(founding).await,
            }
            sleep(self.jittered(INTERVAL)).await;
        }
    }

    /// `unsettled_ballot` is the ballot of the last accepted state, if at the last examination it
    /// was not known to be agreed.
    fn next_join_step(&self, unsettled_ballot: &mut Option<Ballot>) -> JoinStep {
        let state = self.state();
        let Some(voter) = &state.voter else {
            return JoinStep::Nothing;
        };
        let durable = voter.acceptor.durable();
        if !durable.may_vote {
            return JoinStep::RegisterStorage { voter: voter.id, storage_id: durable.storage_id };
        }
        let accepted = durable.accepted.as_ref();
        let unsettled = accepted.filter(|accepted| accepted.state.revision > state.agreed.revision);
        let ballot = unsettled.map(|accepted| accepted.ballot);
        let previous_ballot = std::mem::replace(unsettled_ballot, ballot);
        let is_left_unsettled = ballot.is_some() && previous_ballot == ballot;
        if state.agreed.revision > 0 && !is_left_unsettled {
            return JoinStep::Nothing;
        }
        // Danger: a first state while a voter is away might be a second one: it may have the first.
        let knows_all_voters = durable.storage_ids.len() == self.settings.voters.size();
        JoinStep::SettleState(if knows_all_voters { Founding::Allowed } else { Founding::Forbidden })
    }

    async fn settle_state(self: &Arc<Self>, founding: Founding) {
        let initial = ReplicatedState::initial(&self.settings.initial_policy);
        let transition = |state: Option<&ReplicatedState>| {
            if state.is_none() && founding == Founding::Allowed {
                Transition::Next(initial.clone())
            } else {
                Transition::Keep
            }
        };
        // Without a majority it is tried again at the next interval.
        let _ = self.step(self.settings.timing.answer, transition).await;
    }

    async fn register_with_others(&self, own: VoterId, storage_id: StorageId) {
        let message = Message::RegisterStorage { voter: own, storage_id };
        for voter in self.settings.voters.ids().filter(|voter| *voter != own) {
            if let Some(Reply::StorageRegistered(snapshot)) = self.ask_voter(voter, &message).await {
                if let Some(own_voter) = self.state().voter.as_mut() {
                    own_voter.snapshots.insert(voter, snapshot);
                }
            }
        }
    }

    /// Takes its vote, if the others told enough.
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
