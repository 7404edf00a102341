//! Local health as in Lifeguard (Dadgar, Phillips, Currey, 2018): a member that is slow itself
//! waits longer before it suspects others. [`LocalHealth`] is the score.

use std::time::Duration;

/// The worst health score.
const MAX_SCORE: u32 = 8;

/// The health score of this member, from 0 (healthy) to [`MAX_SCORE`]: how far its own timing is
/// unreliable.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth(u32);

impl LocalHealth {
    /// Worsens the score after this member was late or had to refute a suspicion.
    pub(crate) fn degrade(&mut self, by: u32) {
        self.0 = self.0.saturating_add(by).min(MAX_SCORE);
    }

    /// Improves the score by one after a probe period without a failed probe.
    pub(crate) fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Decides how long this member waits where a healthy one waits for `wait`: the timeouts of its
    /// probes and suspicions.
    ///
    /// Inputs: the timeout of a healthy member; the score, 0 to 8.
    /// Reason: a member that handles responses late must not treat them as missing.
    /// Source: Lifeguard (Dadgar, Phillips, Currey, 2018), local health multiplier.
    pub(crate) fn scale(self, wait: Duration) -> Duration {
        wait.saturating_mul(self.0 + 1)
    }
}

#[cfg(test)]
mod tests;
