//! What this process may use for consumers and providers: all that the limits leave, or its part of it while
//! two processes of the proxy run.

use crate::net::descriptors::Descriptors;
use crate::net::hot_restart::Share;
use crate::net::memory::Memory;
use std::sync::Arc;

/// So many descriptors and bytes are left to a newcomer at the least. Danger: with none it could serve nobody.
const LEAST: Share = Share { sockets: 8, memory: 512 * 1024 };
/// One that stops needs a few more descriptors, for calls to providers.
const SPARE_SOCKETS: usize = 8;

/// The whole of the proxy's budget, and what it is drawn on.
pub(super) struct Budget {
    /// All that there is for two processes together, beside what each takes for itself.
    pub both: Share,
    /// All that there is for one that is alone.
    pub alone: Share,
    /// Descriptors of consumers and providers.
    pub descriptors: Arc<Descriptors>,
    /// Memory for values.
    pub memory: Arc<Memory>,
}

impl Budget {
    /// Makes do with half, or with what is in use if that is more; one that stops keeps only that. What is
    /// left to the other process.
    pub(super) fn divide(&self, leaving: bool) -> Share {
        let least = if leaving {
            Share { sockets: 0, memory: self.both.memory / 4 }
        } else {
            Share { sockets: self.both.sockets / 2, memory: self.both.memory / 2 }
        };
        let sockets = self.descriptors.shrink(least.sockets, if leaving { SPARE_SOCKETS } else { 0 });
        let memory = self.memory.shrink(least.memory);
        Share {
            sockets: self.both.sockets.saturating_sub(sockets).max(LEAST.sockets),
            memory: self.both.memory.saturating_sub(memory).max(LEAST.memory),
        }
    }

    /// From now on this process may use so much, or all.
    pub(super) fn allow(&self, share: Option<Share>) {
        let share = share.unwrap_or(self.alone);
        self.descriptors.resize(share.sockets);
        self.memory.resize(share.memory);
    }
}

#[cfg(test)]
mod tests;
