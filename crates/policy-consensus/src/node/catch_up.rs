//! Follows what is agreed: fetches the texts that this process lacks, and has them applied.

use super::ConsensusNode;
use crate::messages::{Message, Reply};
use pinetrail_peer_transport::{Network, Process};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The pause after nobody had what was to be fetched.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// A text may be long and a connection slow: a fetch may take so many times `timing.answer`.
const FETCH_TIME_FACTOR: u32 = 10;

impl<N: Network> ConsensusNode<N> {
    /// The task of catching up. It ends with the runtime of the node.
    pub(super) async fn catch_up(self: Arc<Self>) {
        loop {
            let seen = self.changes.count();
            if self.lacks_text() {
                if !self.fetch_state().await {
                    // A change ends the pause: perhaps there is a later state by then.
                    let pause = self.jittered(RETRY_PAUSE);
                    let _ = timeout(pause, self.changes.changed_since(seen)).await;
                }
                continue;
            }
            self.apply_agreed();
            if self.lacks_outcome() && !self.fetch_state().await {
                sleep(self.jittered(RETRY_PAUSE)).await;
                continue;
            }
            self.changes.changed_since(seen).await;
        }
    }

    /// Whether something is agreed of which this process lacks the text.
    fn lacks_text(&self) -> bool {
        let state = self.state();
        if state.agreed.revision == 0 {
            return false;
        }
        let open_digest = state.agreed.open_change.as_ref().map(|change| change.digest);
        let digests = [Some(state.agreed.digest), open_digest];
        digests.into_iter().flatten().any(|digest| state.text_with_digest(digest).is_none())
    }

    /// Whether a change finished of which this process does not know how.
    fn lacks_outcome(&self) -> bool {
        let state = self.state();
        state.agreed.revision > state.full_revision() && state.agreed.open_change.is_none()
    }

    /// Fetches the agreed state from whoever has it; returns whether anybody answered. However far
    /// this process is behind, the state comes as a whole, and not its history.
    async fn fetch_state(&self) -> bool {
        let (min_revision, source) = {
            let state = self.state();
            (state.agreed.revision, state.source.clone())
        };
        let voters = self.settings.voters.ids().filter_map(|voter| self.voter_process(voter));
        let processes: Vec<Process> = source.into_iter().chain(voters).collect();
        let time_limit = self.settings.timing.answer * FETCH_TIME_FACTOR;
        let message = Message::FetchState { min_revision };
        for process in processes {
            if let Some(Reply::State(fetched)) = self.ask_process(&process, &message, time_limit).await {
                self.state().learn_state(*fetched);
                return true;
            }
        }
        false
    }
}
