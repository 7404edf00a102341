//! Local health, after Lifeguard (Dadgar, Phillips, Currey, 2018): a member that is slow itself takes longer before it
//! suspects others.

/// The worst score.
const MAX_SCORE: u64 = 8;

/// How far this member may be believed to be on time itself; 0 is well.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth(u64);

impl LocalHealth {
    /// It was late, or had to object to a suspicion: both say that it is slow.
    pub(crate) fn worsen(&mut self, by: u64) {
        self.0 = self.0.saturating_add(by).min(MAX_SCORE);
    }

    /// A period went well.
    pub(crate) fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// A wait for others, as long as this member's health asks for.
    pub(crate) fn scale(self, wait: u64) -> u64 {
        wait.saturating_mul(self.0 + 1)
    }
}

#[cfg(test)]
mod tests;
