//! The single steps by which the leader brings a change to its end.

use super::leader::ObservedChange;
use super::proposer::{StepError, Transition};
use super::state::WaitingFor;
use super::ConsensusNode;
use crate::messages::{encode, Message, Reply};
use crate::{ChangeSummary, Outcome, ReplicatedState, Stage};
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

impl<N: Network> ConsensusNode<N> {
    /// The processes that may admit and are not ready for a change, by what a majority of voters
    /// says. The answers that name the fewest count.
    pub(super) async fn unready_processes(self: &Arc<Self>, change_id: &str) -> Vec<String> {
        let mut answers = self.ask_all_for_unready(change_id).await;
        let majority = self.settings.voters.majority();
        if answers.len() < majority {
            return vec!["a majority of founders".to_owned()];
        }
        answers.sort_by_key(Vec::len);
        let mut names: Vec<String> = answers.into_iter().take(majority).flatten().collect();
        names.sort();
        names.dedup();
        names
    }

    /// What each voter that answers says: the names of those that may admit and are not ready.
    async fn ask_all_for_unready(self: &Arc<Self>, change_id: &str) -> Vec<Vec<String>> {
        let mut requests = Vec::new();
        for voter in self.settings.voters.ids() {
            let node = Arc::clone(self);
            let message = Message::ListHolders { change_id: change_id.to_owned() };
            // Ends by itself once the voter has answered, or after `timing.answer`; it is awaited
            // below.
            requests.push(tokio::spawn(async move { node.ask_voter(voter, &message).await }));
        }
        let mut answers = Vec::new();
        for request in requests {
            if let Ok(Some(Reply::Holders(holders))) = request.await {
                let unready = holders.into_iter().filter(|holder| !holder.is_ready);
                answers.push(unready.map(|holder| holder.name).collect());
            }
        }
        answers
    }

    /// Tells all for whom a change waits, if that is news.
    pub(super) fn announce_waiting(&self, change_id: &str, names: &[String]) {
        let waiting = WaitingFor { change_id: change_id.to_owned(), names: names.to_vec() };
        let previous = std::mem::replace(&mut self.state().waiting, waiting.clone());
        if previous != waiting {
            let WaitingFor { change_id, names } = waiting;
            self.transport.broadcast(&encode(&Message::WaitingFor { change_id, names }));
        }
    }

    /// Puts a change to another stage.
    pub(super) async fn advance_change(self: &Arc<Self>, change: &ChangeSummary, stage: Stage) {
        let transition = |state: Option<&ReplicatedState>| {
            let next = state.and_then(|state| state.advance(&change.id, change.attempt, stage));
            Transition::next_or_keep(next)
        };
        // Without a majority it is tried again at the next interval.
        let _ = self.step(self.settings.timing.answer, transition).await;
    }

    /// Ends a change.
    pub(super) async fn finish_change(
        self: &Arc<Self>,
        change: &ChangeSummary,
        outcome: Outcome,
        reason: &str,
    ) {
        // Without a majority it is tried again at the next interval.
        let _ = self.try_finish(change, outcome, reason).await;
    }

    /// Commits a change for which all have been asked to stop admitting, once nobody may admit any
    /// more.
    pub(super) async fn commit_change(
        self: &Arc<Self>,
        observed: &mut ObservedChange,
        change: &ChangeSummary,
    ) {
        let Some(reason) = self.commit_reason(change) else {
            return;
        };
        let committed = self.try_finish(change, Outcome::Committed, &reason).await;
        if let Err(StepError::Blocked(leases)) = committed {
            let longest = leases.iter().map(|lease| lease.remaining_ms).max().unwrap_or_default();
            observed.not_before = Instant::now() + Duration::from_millis(longest);
            let names: Vec<String> = leases.into_iter().map(|lease| lease.holder).collect();
            self.announce_waiting(&change.id, &names);
        }
    }

    /// With which reason a change may be committed; `None` while a process that is ready for it has
    /// not released its lease. The reason names the processes that fail open, in words that
    /// operators know; it is empty without any.
    fn commit_reason(&self, change: &ChangeSummary) -> Option<String> {
        let now = Instant::now();
        let state = self.state();
        let Some(voter) = &state.voter else {
            return Some(String::new());
        };
        if voter.leases.holders(now, &change.id).iter().any(|holder| holder.is_ready) {
            return None;
        }
        let serving = voter.leases.serving_without_lease(now);
        if serving.is_empty() {
            return Some(String::new());
        }
        let names = serving.join(", ");
        Some(format!("without a permit, and perhaps still by the version before: {names}"))
    }

    async fn try_finish(
        self: &Arc<Self>,
        change: &ChangeSummary,
        outcome: Outcome,
        reason: &str,
    ) -> Result<ReplicatedState, StepError> {
        let transition = |state: Option<&ReplicatedState>| {
            Transition::next_or_keep(state.and_then(|state| state.finish(&change.id, outcome, reason)))
        };
        self.step(self.settings.timing.answer, transition).await
    }
}
