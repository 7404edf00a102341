//! Makes the agreed version active at this process, validates the open change, and releases the
//! admission lease for that change.

use super::state::{NodeState, UnusableVersion};
use super::ConsensusNode;
use crate::{ChangeReadiness, ChangeSummary, Readiness, Stage};
use pinetrail_peer_transport::Network;
use tokio::time::Instant;

impl<N: Network> ConsensusNode<N> {
    /// Decides whether the agreed version becomes active at this process, and whether the admission
    /// lease is released for the open change.
    ///
    /// Inputs: the agreed state, the active version, the readiness for the open change, and whether
    /// the lease is released.
    /// Reason: a process releases its lease only if it can make the change active, because the
    /// change is committed as soon as the leases are released.
    /// Source: Gray and Cheriton, "Leases" (1989): relinquishing a lease.
    pub(super) fn apply_agreed(&self) {
        let mut state = self.state();
        let agreed_version = state.agreed.version;
        let mut has_changed = false;
        if agreed_version > state.active_version {
            has_changed = self.activate(&mut state, agreed_version);
        }
        let Some(change) = state.agreed.open_change.clone() else {
            return;
        };
        if state.active_version != agreed_version {
            return;
        }
        let is_validated = state.readiness.as_ref().is_some_and(|validated| validated.change_id == change.id);
        if !is_validated {
            let Some(readiness) = self.validate_change(&state, &change) else {
                return;
            };
            state.readiness = Some(readiness);
            has_changed = true;
        }
        let is_ready =
            state.readiness.as_ref().is_some_and(|validated| validated.readiness == Readiness::Ready);
        if change.stage == Stage::Closing && is_ready && !self.lease.is_released() {
            self.lease.release(Instant::now());
            has_changed = true;
        }
        drop(state);
        if has_changed {
            self.notify_changed();
        }
    }

    /// Returns the readiness of this process for a change, or `None` if this process does not have
    /// the text of the change.
    fn validate_change(&self, state: &NodeState, change: &ChangeSummary) -> Option<ChangeReadiness> {
        let text = state.text_with_digest(change.digest)?;
        let readiness = match self.applier.validate(&text) {
            Ok(()) => Readiness::Ready,
            Err(rejected) => {
                self.applier.log(&format!("this process rejects the change {}: {rejected}", change.id));
                Readiness::Rejected(rejected.to_string())
            }
        };
        Some(ChangeReadiness { change_id: change.id.clone(), readiness })
    }

    /// Decides whether the agreed version becomes active at this process; returns whether it did.
    ///
    /// Inputs: the version and its text.
    /// Reason: a process does not fail open under a version that it knows to be outdated, and
    /// begins a new lease with the new version.
    fn activate(&self, state: &mut NodeState, version: u64) -> bool {
        let digest = state.agreed.digest;
        let Some(text) = state.text_with_digest(digest) else {
            return false;
        };
        self.lease.mark_outdated();
        match self.applier.validate(&text) {
            Ok(()) => {
                self.applier.apply(version, &text);
                self.lease.begin(version);
                state.active_version = version;
                state.unusable = None;
                state.readiness = None;
                self.applier
                    .log(&format!("version {version} of the policy is active here, with digest {digest}"));
                true
            }
            Err(rejected) => {
                let is_logged = state.unusable.as_ref().is_some_and(|logged| logged.version == version);
                if !is_logged {
                    self.applier.log(&format!(
                        "ERROR: version {version} of the policy cannot be active here: {rejected}"
                    ));
                }
                state.unusable = Some(UnusableVersion { version, reason: rejected.to_string() });
                false
            }
        }
    }
}
