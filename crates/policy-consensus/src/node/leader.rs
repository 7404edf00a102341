//! The leader task: moves an open change forward until it finishes, by the decisions in
//! `leader_decisions`.
//!
//! The leader is the connected voter with the lowest id. Two processes that both act as leader only
//! cost time, because each step is agreed by a majority.

use super::leader_decisions::{next_stage, next_step, LeaderStep, LeaderView, ObservedChange};
use super::ConsensusNode;
use crate::ChangeSummary;
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The longest time between two checks of an open change.
const CHECK_INTERVAL: Duration = Duration::from_millis(15);

impl<N: Network> ConsensusNode<N> {
    /// Runs the leader task, which every process has. The task ends with the runtime of the node.
    pub(super) async fn lead(self: Arc<Self>) {
        let mut observed: Option<ObservedChange> = None;
        loop {
            let seen = self.changes.count();
            observed = self.observe(observed);
            match &mut observed {
                None => self.changes.changed_since(seen).await,
                Some(observed) => {
                    self.handle_change(observed).await;
                    let _ = timeout(CHECK_INTERVAL, self.changes.changed_since(seen)).await;
                }
            }
        }
    }

    /// Returns the open change as this process observes it, if this process has a voter.
    fn observe(&self, previous: Option<ObservedChange>) -> Option<ObservedChange> {
        let state = self.state();
        state.voter.as_ref()?;
        let change = state.agreed.open_change.clone()?;
        Some(ObservedChange::update(previous, change, Instant::now()))
    }

    /// Returns the number of connected voters with a lower id than this process's voter. The voter
    /// with rank 0 is the leader.
    fn own_leader_rank(&self) -> u32 {
        let Some(own) = self.state().voter.as_ref().map(|voter| voter.id) else {
            return 0;
        };
        let lower = self.settings.voters.ids().filter(|voter| *voter < own);
        let connected = lower.filter(|voter| self.voter_process(*voter).is_some());
        u32::try_from(connected.count()).unwrap_or(u32::MAX)
    }

    fn leader_view(&self, change_id: &str) -> LeaderView {
        let leader_rank = self.own_leader_rank();
        let state = self.state();
        LeaderView {
            rejection: state.voter.as_ref().and_then(|voter| voter.leases.rejection(change_id)),
            leader_rank,
            waiting_for: state.waiting.names.clone(),
        }
    }

    /// Takes the next step of a change, if it is this process's turn.
    async fn handle_change(self: &Arc<Self>, observed: &mut ObservedChange) {
        let change = observed.change.clone();
        let view = self.leader_view(&change.id);
        match next_step(observed, view, &self.settings.timing, Instant::now()) {
            LeaderStep::Wait => {}
            LeaderStep::Finish { outcome, reason } => self.finish_change(&change, outcome, &reason).await,
            LeaderStep::CollectReadiness => self.handle_preparing(observed, &change).await,
            LeaderStep::Commit => self.commit_change(observed, &change).await,
            LeaderStep::Advance(stage) => self.advance_change(&change, stage).await,
        }
    }

    async fn handle_preparing(self: &Arc<Self>, observed: &ObservedChange, change: &ChangeSummary) {
        let unready = self.unready_holders(&change.id).await;
        self.announce_waiting(&change.id, &unready);
        if let Some(stage) = next_stage(observed, &unready, &self.settings.timing, Instant::now()) {
            self.advance_change(change, stage).await;
        }
    }
}
