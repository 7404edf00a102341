//! Handles the requests of operators about changes of the policy, and broadcasts messages of other
//! parts of the program.

use super::proposer::{StepError, Transition};
use super::state::WaitingFor;
use super::ConsensusNode;
use crate::messages::{encode, Message, Reply};
use crate::{Conflict, Outcome, PolicyRejected, ReplicatedState};
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// The reason why a change was not opened.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ProposalError {
    /// This process cannot make the proposed policy active.
    #[error(transparent)]
    Rejected(#[from] PolicyRejected),
    /// The change does not follow from the agreed state.
    #[error(transparent)]
    Conflict(#[from] Conflict),
    /// No majority of voters replied in time. The change may have been opened.
    #[error(
        "no majority of founders answers: whether it was proposed is not known; \
         the same id may be sent again"
    )]
    NoMajority,
}

impl From<StepError> for ProposalError {
    fn from(error: StepError) -> ProposalError {
        match error {
            StepError::Conflict(conflict) => ProposalError::Conflict(conflict),
            StepError::Blocked(_) | StepError::NoMajority => ProposalError::NoMajority,
        }
    }
}

/// The status of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeStatus {
    /// The outcome of the change; `None` while the change is open.
    pub outcome: Option<Outcome>,
    /// The reason for the outcome; may be empty.
    pub reason: String,
    /// The processes for which the open change waits.
    pub waiting_for: Vec<String>,
}

impl ChangeStatus {
    /// Returns the status of a change in a state, or `None` if the state does not have the change.
    fn of(change_id: &str, state: &ReplicatedState, waiting: &WaitingFor) -> Option<ChangeStatus> {
        if state.open_change_with_id(change_id).is_some() {
            let is_waiting = waiting.change_id == change_id;
            let waiting_for = if is_waiting { waiting.names.clone() } else { Vec::new() };
            return Some(ChangeStatus { outcome: None, reason: String::new(), waiting_for });
        }
        let finished = state.finished_change(change_id)?;
        Some(ChangeStatus {
            outcome: Some(finished.outcome),
            reason: finished.reason.clone(),
            waiting_for: Vec::new(),
        })
    }
}

impl<N: Network> ConsensusNode<N> {
    /// Proposes a change that is based on `base_version`. Returns the version that the change makes
    /// active if it is committed.
    ///
    /// # Errors
    ///
    /// The reason why the change was not opened. After [`ProposalError::NoMajority`] the change may
    /// be open.
    pub async fn propose(
        self: &Arc<Self>,
        id: &str,
        base_version: u64,
        text: &str,
        time_limit: Duration,
    ) -> Result<u64, ProposalError> {
        self.applier.validate(text)?;
        let proposer = self.settings.process.name.to_string();
        let transition = |state: Option<&ReplicatedState>| {
            let Some(state) = state else {
                return Transition::Keep;
            };
            match state.propose(id, base_version, text, &proposer) {
                Ok(next) => Transition::Next(next),
                Err(conflict) => Transition::Reject(conflict),
            }
        };
        let state = self.step(time_limit, transition).await?;
        let finished_version = state.finished_change(id).map(|change| change.version);
        Ok(finished_version.unwrap_or(state.version + 1))
    }

    /// Returns the status of a change, or `None` if no process that replies in time has the change.
    /// `time_limit` applies to each voter.
    pub async fn change_status(&self, id: &str, time_limit: Duration) -> Option<ChangeStatus> {
        let local = self.local_change_status(id);
        let is_finished = local.as_ref().is_some_and(|status| status.outcome.is_some());
        if is_finished || self.state().voter.is_some() {
            return local;
        }
        for voter in self.settings.voters.ids() {
            let Some(process) = self.voter_process(voter) else {
                continue;
            };
            let message = Message::FetchState { min_revision: 0 };
            if let Some(Reply::State(state)) = self.request_from_process(&process, &message, time_limit).await
            {
                let status = ChangeStatus::of(id, &state, &self.state().waiting);
                if status.is_some() {
                    return status;
                }
            }
        }
        local
    }

    /// Returns the outcome of a change, if this process has learnt the outcome.
    pub fn change_outcome(&self, id: &str) -> Option<Outcome> {
        self.local_change_status(id)?.outcome
    }

    /// Sends a message to all connected processes, for the part of the program that the channel
    /// identifies.
    pub fn broadcast(&self, channel: u8, body: &[u8]) {
        let message = Message::Application { channel, body: body.to_vec() };
        self.transport.broadcast(&encode(&message));
    }

    fn local_change_status(&self, id: &str) -> Option<ChangeStatus> {
        let state = self.state();
        let full_state = state.full_state.as_ref()?;
        ChangeStatus::of(id, full_state, &state.waiting)
    }
}
