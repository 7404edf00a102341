//! The catch-up task: fetches the agreed state if this process does not have it, and applies it.

use super::ConsensusNode;
use crate::messages::{Message, Reply};
use pinetrail_peer_transport::{Network, Process};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The pause after a fetch that no process answered.
const FETCH_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The timeout of a fetch, in multiples of `timing.request_timeout`: a text may be long and a
/// connection slow.
const FETCH_TIMEOUT_FACTOR: u32 = 10;

impl<N: Network> ConsensusNode<N> {
    /// Runs the catch-up task. The task ends with the runtime of the node.
    pub(super) async fn catch_up(self: Arc<Self>) {
        loop {
            let seen = self.changes.count();
            if self.is_text_missing() {
                if !self.fetch_state().await {
                    // A change of the node's state ends the pause, because it may bring a later
                    // agreed state.
                    let pause = self.jittered(FETCH_RETRY_PAUSE);
                    let _ = timeout(pause, self.changes.changed_since(seen)).await;
                }
                continue;
            }
            self.apply_agreed();
            if self.is_outcome_missing() && !self.fetch_state().await {
                sleep(self.jittered(FETCH_RETRY_PAUSE)).await;
                continue;
            }
            self.changes.changed_since(seen).await;
        }
    }

    /// Returns whether this process lacks the text of the agreed version or of the open change.
    fn is_text_missing(&self) -> bool {
        let state = self.state();
        if state.agreed.revision == 0 {
            return false;
        }
        let open_digest = state.agreed.open_change.as_ref().map(|change| change.digest);
        let digests = [Some(state.agreed.digest), open_digest];
        digests.into_iter().flatten().any(|digest| state.text_with_digest(digest).is_none())
    }

    /// Returns whether a change has finished with an outcome that this process does not know.
    fn is_outcome_missing(&self) -> bool {
        let state = self.state();
        state.agreed.revision > state.full_revision() && state.agreed.open_change.is_none()
    }

    /// Fetches the agreed state from the process that announced it, or else from the voters.
    /// Returns whether one of them replied. The reply has the complete state and no history.
    async fn fetch_state(&self) -> bool {
        let (min_revision, source) = {
            let state = self.state();
            (state.agreed.revision, state.source.clone())
        };
        let voters = self.settings.voters.ids().filter_map(|voter| self.voter_process(voter));
        let processes: Vec<Process> = source.into_iter().chain(voters).collect();
        let fetch_timeout = self.settings.timing.request_timeout * FETCH_TIMEOUT_FACTOR;
        let message = Message::FetchState { min_revision };
        for process in processes {
            if let Some(Reply::State(fetched)) =
                self.request_from_process(&process, &message, fetch_timeout).await
            {
                self.state().learn_state(*fetched);
                return true;
            }
        }
        false
    }
}
