//! The leader: brings an open change to its end.
//!
//! It is the connected voter with the lowest number. If two processes take themselves for the
//! leader, that costs time and nothing else, since each step is agreed.

use super::ConsensusNode;
use crate::{ChangeSummary, Outcome, Stage};
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// An open change is examined at least this often.
const INTERVAL: Duration = Duration::from_millis(15);

/// The stage at which processes that are not ready get no more leases.
const STRICT: Stage = Stage::Preparing { strict: true };

/// What this process saw of the open change.
pub(super) struct ObservedChange {
    pub(super) change: ChangeSummary,
    /// When it was first seen.
    first_seen: Instant,
    /// When it was first seen at its present stage.
    stage_seen: Instant,
    /// It is not closed before: leases were in the way.
    pub(super) not_before: Instant,
}

impl<N: Network> ConsensusNode<N> {
    /// The task of the leader, which every process runs. It ends with the runtime of the node.
    pub(super) async fn lead(self: Arc<Self>) {
        let mut observed: Option<ObservedChange> = None;
        loop {
            let seen = self.changes.count();
            observed = self.observe(observed);
            match &mut observed {
                None => self.changes.changed_since(seen).await,
                Some(observed) => {
                    self.handle_change(observed).await;
                    let _ = timeout(INTERVAL, self.changes.changed_since(seen)).await;
                }
            }
        }
    }

    /// The open change, if this process has a voter.
    fn observe(&self, previous: Option<ObservedChange>) -> Option<ObservedChange> {
        let state = self.state();
        state.voter.as_ref()?;
        let change = state.agreed.open_change.clone()?;
        let now = Instant::now();
        match previous.filter(|previous| previous.change.id == change.id) {
            Some(previous) if previous.change == change => Some(previous),
            Some(previous) => Some(ObservedChange { change, stage_seen: now, ..previous }),
            None => Some(ObservedChange { change, first_seen: now, stage_seen: now, not_before: now }),
        }
    }

    /// How many connected voters come before this one as leader.
    fn leaders_before_own(&self) -> u32 {
        let Some(own) = self.state().voter.as_ref().map(|voter| voter.id) else {
            return 0;
        };
        let lower = self.settings.voters.ids().filter(|voter| *voter < own);
        let connected = lower.filter(|voter| self.voter_process(*voter).is_some());
        u32::try_from(connected.count()).unwrap_or(u32::MAX)
    }

    /// Takes the step that is due, if it is this process's to take.
    ///
    /// A voter that is not the leader only ends what takes too long, and waits longer the more
    /// voters come before it.
    async fn handle_change(self: &Arc<Self>, observed: &mut ObservedChange) {
        let change = observed.change.clone();
        let rejection = self.state().voter.as_ref().and_then(|voter| voter.leases.rejection(&change.id));
        if let Some(reason) = rejection {
            return self.finish_change(&change, Outcome::Rejected, &reason).await;
        }
        let leaders_before = self.leaders_before_own();
        match change.stage {
            Stage::Closing => self.handle_closing(observed, &change, leaders_before).await,
            Stage::Preparing { .. } => {
                let limit = self.settings.timing.change * (1 + leaders_before);
                if observed.first_seen.elapsed() > limit {
                    let names = self.state().waiting.names.join(", ");
                    let reason = format!("it waited for {names}");
                    self.finish_change(&change, Outcome::Abandoned, &reason).await;
                } else if leaders_before == 0 {
                    self.handle_preparing(observed, &change).await;
                }
            }
        }
    }

    async fn handle_closing(
        self: &Arc<Self>,
        observed: &mut ObservedChange,
        change: &ChangeSummary,
        leaders_before: u32,
    ) {
        // Danger: while a change is closing nobody admits. The leader may have died or been stopped
        // just now.
        let limit = self.settings.timing.closing * (1 + leaders_before);
        if observed.stage_seen.elapsed() > limit {
            self.advance_change(change, STRICT).await;
        } else if leaders_before == 0 {
            self.commit_change(observed, change).await;
        }
    }

    async fn handle_preparing(self: &Arc<Self>, observed: &ObservedChange, change: &ChangeSummary) {
        let waiting_for = self.unready_processes(&change.id).await;
        self.announce_waiting(&change.id, &waiting_for);
        if waiting_for.is_empty() && Instant::now() >= observed.not_before {
            self.advance_change(change, Stage::Closing).await;
        } else if change.stage != STRICT && observed.stage_seen.elapsed() > self.settings.timing.readiness {
            self.advance_change(change, STRICT).await;
        }
    }
}
