//! Restoring the approved policy at this process after drift.

use super::DriftMonitor;
use crate::net::log::log;
use crate::net::policy::error::RestoreError;
use pinetrail_drift::DriftState;
use pinetrail_policy_consensus::PolicyApplier;
use std::time::Instant;

impl DriftMonitor {
    /// Decides whether this process restores the approved version automatically, which it does
    /// after it has drifted for the configured time.
    ///
    /// Inputs: the time since which its active settings differ from the approved ones, and the
    /// configured duration of drift after which it restores them, if any.
    /// Reason: settings may have been applied to one process on purpose, so the process restores
    /// the approved ones only if the configuration says so.
    pub(super) fn restore_if_due(&self) {
        let Some(restore_after) = self.restore_after else { return };
        let is_due = {
            let own_key = self.own_key();
            let mut state = self.state();
            let differs = state
                .detector
                .processes()
                .any(|node| node.process == own_key && node.state == DriftState::Differs);
            if differs {
                state.differs_since.get_or_insert_with(Instant::now).elapsed() >= restore_after
            } else {
                state.differs_since = None;
                false
            }
        };
        if is_due {
            // The restore fails if another version has been approved meanwhile; the next round
            // decides again.
            let _ = self.restore();
        }
    }

    /// Applies the approved version again and returns its number.
    ///
    /// # Errors
    ///
    /// Returns [`RestoreError`] if this process does not have the text of the approved version, or
    /// if another version is active here.
    pub(in crate::net::policy) fn restore(&self) -> Result<u64, RestoreError> {
        let (version, text) = self.node.agreed_policy().ok_or(RestoreError::ApprovedUnknown)?;
        if self.node.status().active_version != version {
            return Err(RestoreError::OtherVersion);
        }
        self.applier.apply(version, &text);
        log(&format!("policy: restored the approved version {version}"));
        self.state().differs_since = None;
        Ok(version)
    }
}
