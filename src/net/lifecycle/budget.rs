//! The descriptors and the memory that this process may use for clients and backends: the whole
//! budget of the proxy, or a part of it while two processes of the proxy run. Read
//! [`ProcessBudget`] first.

use crate::net::descriptors::Descriptors;
use crate::net::hot_restart::{BudgetGrant, DrainState, ResourceBudget};
use crate::net::memory::MemoryBudget;
use std::sync::Arc;

/// The minimum budget of the peer process, which can serve no client without descriptors or memory.
const MIN_PEER_BUDGET: ResourceBudget = ResourceBudget { descriptors: 8, memory_bytes: 512 * 1024 };
/// The number of descriptors that a draining process needs beyond those in use, for attempts at
/// backends.
const SPARE_DESCRIPTORS: usize = 8;
/// The divisor of the whole budget that gives the part of a serving process.
const SERVING_DIVISOR: usize = 2;
/// The divisor of the whole memory that gives the part of a draining process.
const DRAINING_MEMORY_DIVISOR: usize = 4;

/// The proxy's whole budget, and the counters that enforce this process's part.
pub(super) struct ProcessBudget {
    /// The budget that two processes share, without the descriptors that each needs for itself.
    pub for_two_processes: ResourceBudget,
    /// The budget of a process that runs alone.
    pub for_one_process: ResourceBudget,
    /// The accounting of the descriptors of clients and backends.
    pub descriptors: Arc<Descriptors>,
    /// The accounting of the memory for values.
    pub memory: Arc<MemoryBudget>,
}

impl ProcessBudget {
    /// Decides how two processes of a hot restart divide descriptors and memory: shrinks this
    /// process's part, and returns the part of the peer process.
    ///
    /// Inputs: whether this process serves, drains or finishes; descriptors and bytes in use.
    /// Reason: a serving process needs half of the budget; a draining one needs what is in use, a
    /// few descriptors for attempts, and a quarter of the memory; one that only finishes its responses
    /// needs what is in use.
    ///
    /// Invariant: resources in use are never taken away, even if they exceed this process's part.
    pub(super) fn shrink(&self, drain_state: DrainState) -> ResourceBudget {
        let total = self.for_two_processes;
        let (descriptors, memory_bytes) = match drain_state {
            DrainState::FinishingResponses => (self.descriptors.shrink(0, 0), self.memory.shrink(0)),
            DrainState::Draining => (
                self.descriptors.shrink(0, SPARE_DESCRIPTORS),
                self.memory.shrink(total.memory_bytes / DRAINING_MEMORY_DIVISOR),
            ),
            DrainState::Serving => (
                self.descriptors.shrink(total.descriptors / SERVING_DIVISOR, 0),
                self.memory.shrink(total.memory_bytes / SERVING_DIVISOR),
            ),
        };
        ResourceBudget {
            descriptors: total.descriptors.saturating_sub(descriptors).max(MIN_PEER_BUDGET.descriptors),
            memory_bytes: total.memory_bytes.saturating_sub(memory_bytes).max(MIN_PEER_BUDGET.memory_bytes),
        }
    }

    /// Sets the descriptors and the memory that this process may use.
    pub(super) fn set(&self, grant: BudgetGrant) {
        let budget = match grant {
            BudgetGrant::Part(budget) => budget,
            BudgetGrant::Full => self.for_one_process,
        };
        self.descriptors.resize(budget.descriptors);
        self.memory.resize(budget.memory_bytes);
    }
}

#[cfg(test)]
mod tests;
