//! The status of a process, as reported to operators. Read [`NodeStatus`] first.

use super::state::{NodeState, UnusableVersion};
use super::ConsensusNode;
use crate::Digest;
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use tokio::time::Instant;

/// Whether a process admits requests, and the reason if it does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsensusStatus {
    /// The process admits requests under the agreed version.
    Steady,
    /// The process takes part in an open change: it holds its admission lease, or has released the
    /// lease for the change.
    Changing,
    /// The process has not held an admission lease yet, or the agreed version is not active at the
    /// process.
    CatchingUp,
    /// The admission lease of the process has expired. The process admits requests only if it fails
    /// open.
    Fenced,
}

/// The status of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// The version that is active at the process.
    pub active_version: u64,
    /// The digest of the agreed version.
    pub agreed_digest: Digest,
    /// Whether the process admits requests.
    pub status: ConsensusStatus,
    /// The id of the open change.
    pub open_change: Option<String>,
}

impl<N: Network> ConsensusNode<N> {
    /// Returns the status of this process now.
    pub fn status(&self) -> NodeStatus {
        let state = self.state();
        NodeStatus {
            active_version: state.active_version,
            agreed_digest: state.agreed.digest,
            status: self.consensus_status(&state),
            open_change: state.agreed.open_change.as_ref().map(|change| change.id.clone()),
        }
    }

    /// Decides whether this process admits requests, is catching up, or is fenced.
    ///
    /// Inputs: the active and the agreed version, the open change, and the admission lease.
    /// Reason: a process without a lease may not admit requests unless it fails open, because
    /// another version may be active elsewhere.
    fn consensus_status(&self, state: &NodeState) -> ConsensusStatus {
        let is_current = state.active_version == state.agreed.version && state.unusable.is_none();
        if !state.has_held_lease || !is_current {
            return ConsensusStatus::CatchingUp;
        }
        let is_lease_held = self.lease.valid_until(Instant::now()).is_some();
        let is_changing = state.agreed.open_change.is_some();
        if is_changing && (is_lease_held || self.lease.is_released()) {
            return ConsensusStatus::Changing;
        }
        if is_lease_held {
            ConsensusStatus::Steady
        } else {
            ConsensusStatus::Fenced
        }
    }

    /// Returns the agreed version and its text, if this process has the text.
    pub fn agreed_policy(&self) -> Option<(u64, Arc<str>)> {
        let state = self.state();
        let text = state.text_with_digest(state.agreed.digest)?;
        Some((state.agreed.version, text))
    }

    /// Returns the reason why this process does not admit requests. `GET /control/ready` responds
    /// with the reason, so the texts keep the words that operators know.
    pub fn not_ready_reason(&self) -> String {
        let state = self.state();
        if let Some(unusable) = &state.unusable {
            let UnusableVersion { version, reason } = unusable;
            return format!("version {version} of the policy cannot be in force here: {reason}");
        }
        if state.agreed.revision == 0 {
            return "no founder has told the version in force".to_owned();
        }
        if !state.has_held_lease {
            return "no majority of founders permits it to admit".to_owned();
        }
        "its permit has ended: it is cut off from the founders, or they have no majority".to_owned()
    }
}
