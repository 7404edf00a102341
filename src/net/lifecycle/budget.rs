//! What this process may use for consumers and providers: all that the limits leave, or its part of it while
//! two processes of the proxy run.

use crate::net::descriptors::Descriptors;
use crate::net::memory::Memory;
use crate::net::takeover::Share;
use std::sync::Arc;

/// So many descriptors and bytes are left to a newcomer at the least. Danger: with none it could serve nobody.
const LEAST: Share = Share { sockets: 8, memory: 512 * 1024 };
/// One that stops needs a few more descriptors, for calls to providers.
const SPARE_SOCKETS: usize = 8;

/// The whole of the proxy's budget, and what it is drawn on.
pub struct Budget {
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
    pub fn divide(&self, leaving: bool) -> Share {
        let least = match leaving {
            true => Share { sockets: 0, memory: self.both.memory / 4 },
            false => Share { sockets: self.both.sockets / 2, memory: self.both.memory / 2 },
        };
        let sockets = self.descriptors.shrink(least.sockets, if leaving { SPARE_SOCKETS } else { 0 });
        let memory = self.memory.shrink(least.memory);
        Share {
            sockets: self.both.sockets.saturating_sub(sockets).max(LEAST.sockets),
            memory: self.both.memory.saturating_sub(memory).max(LEAST.memory),
        }
    }

    /// From now on this process may use so much, or all.
    pub fn allow(&self, share: Option<Share>) {
        let share = share.unwrap_or(self.alone);
        self.descriptors.resize(share.sockets);
        self.memory.resize(share.memory);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_processes_together_never_have_more_than_one() {
        let memory = Memory::of(16);
        let all = Memory::bound_of(16);
        let (both, alone) = (Share { sockets: 100, memory: all }, Share { sockets: 120, memory: all });
        let budget = Budget { both, alone, descriptors: Descriptors::new(120), memory: Arc::clone(&memory) };
        assert_eq!(budget.divide(false), Share { sockets: 50, memory: all - all / 2 });
        assert!(memory.hold(all / 2 + 1).is_none(), "half is the other's");
        budget.allow(None);
        let taken: Vec<_> = (0..60).map(|_| budget.descriptors.provider_descriptor()).collect();
        let held = memory.hold(all / 4 * 3);
        // What is in use is not taken away; it goes over as it is given back.
        assert_eq!(budget.divide(false), Share { sockets: 40, memory: all - all / 4 * 3 });
        drop((taken, held));
        assert_eq!(budget.divide(true), Share { sockets: 92, memory: all - all / 4 });
    }
}
