//! The steps by which the leader moves a change forward and finishes it.

use super::leader_decisions::{decide_commit, CommitDecision, ObservedChange};
use super::proposer::StepError;
use super::state::WaitingFor;
use super::ConsensusNode;
use crate::messages::{encode, Message, Reply};
use crate::{BlockingLease, ChangeSummary, Outcome, ReplicatedState, Stage};
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use tokio::time::Instant;

impl<N: Network> ConsensusNode<N> {
    /// Returns the names of the lease holders for which a change waits.
    ///
    /// Inputs: the id of the change, and the holders that each voter reports, each with its
    /// readiness.
    /// Reason: a majority of voters has to vote for the change, and the majority with the fewest
    /// unready holders can do so first.
    pub(super) async fn unready_holders(self: &Arc<Self>, change_id: &str) -> Vec<String> {
        let mut reports = self.collect_unready_holders(change_id).await;
        let majority = self.settings.voters.majority();
        if reports.len() < majority {
            return vec!["a majority of founders".to_owned()];
        }
        reports.sort_by_key(Vec::len);
        let mut names: Vec<String> = reports.into_iter().take(majority).flatten().collect();
        names.sort();
        names.dedup();
        names
    }

    /// Requests from all voters the lease holders that are not ready. Returns one list of names for
    /// each voter that replies.
    async fn collect_unready_holders(self: &Arc<Self>, change_id: &str) -> Vec<Vec<String>> {
        let mut requests = Vec::new();
        for voter in self.settings.voters.ids() {
            let node = Arc::clone(self);
            let message = Message::ListHolders { change_id: change_id.to_owned() };
            // The task ends when the voter has replied, or after `timing.request_timeout`. It is
            // awaited below.
            requests.push(tokio::spawn(async move { node.request_from_voter(voter, &message).await }));
        }
        let mut reports = Vec::new();
        for request in requests {
            if let Ok(Some(Reply::Holders(holders))) = request.await {
                let unready = holders.into_iter().filter(|holder| !holder.is_ready);
                reports.push(unready.map(|holder| holder.name).collect());
            }
        }
        reports
    }

    /// Broadcasts the names of the processes for which a change waits, if they differ from the last
    /// broadcast.
    pub(super) fn announce_waiting(&self, change_id: &str, names: &[String]) {
        let waiting = WaitingFor { change_id: change_id.to_owned(), names: names.to_vec() };
        let previous = std::mem::replace(&mut self.state().waiting, waiting.clone());
        if previous != waiting {
            let WaitingFor { change_id, names } = waiting;
            self.transport.broadcast(&encode(&Message::WaitingFor { change_id, names }));
        }
    }

    /// Moves a change to another stage.
    pub(super) async fn advance_change(self: &Arc<Self>, change: &ChangeSummary, stage: Stage) {
        let transition = |state: Option<&ReplicatedState>| {
            state.and_then(|state| state.advance(&change.id, change.attempt, stage)).into()
        };
        // Without a majority the leader repeats the step at its next check.
        let _ = self.step(self.settings.timing.request_timeout, transition).await;
    }

    /// Finishes a change.
    pub(super) async fn finish_change(
        self: &Arc<Self>,
        change: &ChangeSummary,
        outcome: Outcome,
        reason: &str,
    ) {
        // Without a majority the leader repeats the step at its next check.
        let _ = self.try_finish(change, outcome, reason).await;
    }

    /// Commits a change that is closing, if no lease blocks the commit.
    pub(super) async fn commit_change(
        self: &Arc<Self>,
        observed: &mut ObservedChange,
        change: &ChangeSummary,
    ) {
        let CommitDecision::Commit { reason } = self.decide_commit(change) else {
            return;
        };
        let committed = self.try_finish(change, Outcome::Committed, &reason).await;
        if let Err(StepError::Blocked(leases)) = committed {
            self.postpone_closing(observed, change, leases);
        }
    }

    /// Keeps a change from closing again before the leases that blocked its commit have expired.
    fn postpone_closing(
        &self,
        observed: &mut ObservedChange,
        change: &ChangeSummary,
        leases: Vec<BlockingLease>,
    ) {
        let longest = leases.iter().map(|lease| lease.remaining).max().unwrap_or_default();
        observed.close_not_before = Instant::now() + longest;
        let names: Vec<String> = leases.into_iter().map(|lease| lease.holder).collect();
        self.announce_waiting(&change.id, &names);
    }

    fn decide_commit(&self, change: &ChangeSummary) -> CommitDecision {
        match &self.state().voter {
            Some(voter) => decide_commit(&voter.leases, &change.id, Instant::now()),
            None => CommitDecision::Commit { reason: String::new() },
        }
    }

    async fn try_finish(
        self: &Arc<Self>,
        change: &ChangeSummary,
        outcome: Outcome,
        reason: &str,
    ) -> Result<ReplicatedState, StepError> {
        let transition = |state: Option<&ReplicatedState>| {
            state.and_then(|state| state.finish(&change.id, outcome, reason)).into()
        };
        self.step(self.settings.timing.request_timeout, transition).await
    }
}
