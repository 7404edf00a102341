//! What operators ask.

use super::proposer::{StepError, Transition};
use super::ConsensusNode;
use crate::messages::{encode, Message, Reply};
use crate::{Conflict, Digest, Outcome, ReplicatedState};
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// Why a change is not opened.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ProposalError {
    /// This process could not put it in force.
    #[error("{0}")]
    Check(String),
    /// It does not follow from what is agreed.
    #[error(transparent)]
    Conflict(#[from] Conflict),
    /// No majority of founders answers.
    #[error("no majority of founders answers: whether it was proposed is not known; the same id may be sent again")]
    NoMajority,
}

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsensusStatus {
    /// It admits under the version that is agreed.
    Steady,
    /// The same, and a change is open.
    Changing,
    /// It was never permitted to admit, or cannot put in force what is agreed.
    CatchingUp,
    /// Its permit has ended.
    Fenced,
}

/// How a change stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeStatus {
    /// How it ended; none while it is open.
    pub outcome: Option<Outcome>,
    /// Why.
    pub why: String,
    /// For whom it waits.
    pub waiting_for: Vec<String>,
}

impl<N: Network> ConsensusNode<N> {
    /// Proposes a change; the version that it would bring.
    pub async fn propose(
        self: &Arc<Self>,
        id: &str,
        after: u64,
        text: &str,
        within: Duration,
    ) -> Result<u64, ProposalError> {
        self.app.validate(text).map_err(ProposalError::Check)?;
        let by = self.settings.process.name.to_string();
        let make = |book: Option<&ReplicatedState>| match book.map(|book| book.open(id, after, text, &by)) {
            None => Transition::Stay,
            Some(Err(why)) => Transition::Not(why),
            Some(Ok(book)) => Transition::Next(book),
        };
        let book = self.step(within, make).await.map_err(|failed| match failed {
            StepError::Conflict(why) => ProposalError::Conflict(why),
            StepError::Blocked(_) | StepError::NoMajority => ProposalError::NoMajority,
        })?;
        let ended = book.ended.iter().find(|ended| ended.id == id).map(|ended| ended.version);
        Ok(ended.unwrap_or(book.version + 1))
    }

    /// How a change stands; none if nobody who answers in time knows of it.
    pub async fn change_status(&self, id: &str, within: Duration) -> Option<ChangeStatus> {
        let own = self.seen(id);
        if own.as_ref().is_some_and(|seen| seen.outcome.is_some()) || self.known().seat.is_some() {
            return own;
        }
        for seat in 0..self.settings.voters.0 {
            let Some(holder) = self.links.voter_process(seat) else { continue };
            let answer = self.links.request(&holder, encode(&Message::FetchState(0)), within).await;
            if let Some(Reply::State(book)) = answer.and_then(|answer| crate::messages::decode(&answer)) {
                if let Some(seen) = in_book(&book, id, &self.known().waits) {
                    return Some(seen);
                }
            }
        }
        own
    }

    /// Says something to all that are linked, for the floor of this number.
    pub fn broadcast(&self, floor: u8, body: &[u8]) {
        self.links.broadcast(&encode(&Message::Application(floor, body.to_vec())));
    }

    /// The version that is agreed and its text, if that is at hand.
    pub fn approved_policy(&self) -> Option<(u64, Arc<str>)> {
        let known = self.known();
        Some((known.head.version, known.text(known.head.digest)?))
    }

    /// How a change ended, as far as this process knows by itself.
    pub fn change_outcome(&self, id: &str) -> Option<Outcome> {
        self.seen(id)?.outcome
    }

    fn seen(&self, id: &str) -> Option<ChangeStatus> {
        let known = self.known();
        known.book.as_ref().and_then(|book| in_book(book, id, &known.waits))
    }

    /// The version in force here, its text's digest as agreed, where this process stands, and the change that is open.
    pub fn status(&self) -> (u64, Digest, ConsensusStatus, Option<String>) {
        let lasts = self.permit.valid_until(Instant::now()).is_some();
        let known = self.known();
        let open = known.head.change.as_ref().map(|open| open.id.clone());
        let state = match (known.admitted, known.in_force == known.head.version && known.unfit.is_none()) {
            (false, _) | (_, false) => ConsensusStatus::CatchingUp,
            _ if open.is_some() && (lasts || self.permit.is_released()) => ConsensusStatus::Changing,
            _ if lasts => ConsensusStatus::Steady,
            _ => ConsensusStatus::Fenced,
        };
        (known.in_force, known.head.digest, state, open)
    }

    /// Why this process does not admit yet.
    pub fn not_ready_reason(&self) -> String {
        let known = self.known();
        match (&known.unfit, known.head.revision, known.admitted) {
            (Some((version, why)), ..) => {
                format!("version {version} of the policy cannot be in force here: {why}")
            }
            (None, 0, _) => "no founder has told the version in force".to_owned(),
            (None, _, false) => "no majority of founders permits it to admit".to_owned(),
            (None, ..) => {
                "its permit has ended: it is cut off from the founders, or they have no majority".to_owned()
            }
        }
    }
}

fn in_book(book: &ReplicatedState, id: &str, waits: &(String, Vec<String>)) -> Option<ChangeStatus> {
    if book.change.as_ref().is_some_and(|change| change.id == id) {
        let waiting_for = if waits.0 == id { waits.1.clone() } else { Vec::new() };
        return Some(ChangeStatus { outcome: None, why: String::new(), waiting_for });
    }
    let ended = book.ended.iter().find(|ended| ended.id == id)?;
    Some(ChangeStatus { outcome: Some(ended.outcome), why: ended.why.clone(), waiting_for: Vec::new() })
}
