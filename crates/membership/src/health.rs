//! Local health, after Lifeguard (Dadgar, Phillips, Currey, 2018): a member that is slow itself
//! waits longer before it suspects others. [`LocalHealth`] is the score.

/// The worst score.
const MAX_SCORE: u64 = 8;

/// How little this member can be trusted to be on time itself, from 0 (healthy) to [`MAX_SCORE`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth(u64);

impl LocalHealth {
    /// This member was late, or had to refute a suspicion: both say that it is slow.
    pub(crate) fn worsen(&mut self, by: u64) {
        self.0 = self.0.saturating_add(by).min(MAX_SCORE);
    }

    /// A probe period went well.
    pub(crate) fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// How long to wait for others instead of `wait`, both in ms.
    pub(crate) fn scale(self, wait: u64) -> u64 {
        wait.saturating_mul(self.0 + 1)
    }
}

#[cfg(test)]
mod tests;
