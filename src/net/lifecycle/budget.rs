//! What this process may use for clients and backends: all that the limits leave, or a part of it
//! while two processes of the proxy run. Read [`ProcessBudget`] first.

use crate::net::descriptors::Descriptors;
use crate::net::hot_restart::{Activity, BudgetGrant, ResourceBudget};
use crate::net::memory::MemoryBudget;
use std::sync::Arc;

/// What is left to the peer process at the least. Danger: with nothing it could serve nobody.
const LEAST: ResourceBudget = ResourceBudget { descriptors: 8, memory_bytes: 512 * 1024 };
/// Descriptors that a draining process needs beyond those in use, for calls to backends.
const SPARE_DESCRIPTORS: usize = 8;

/// The proxy's whole budget, and what it is drawn on.
pub(super) struct ProcessBudget {
    /// What two processes have together, without what each takes for itself.
    pub for_two_processes: ResourceBudget,
    /// What a process that is alone has.
    pub for_one_process: ResourceBudget,
    /// Descriptors of clients and backends.
    pub descriptors: Arc<Descriptors>,
    /// Memory for values.
    pub memory: Arc<MemoryBudget>,
}

impl ProcessBudget {
    /// Shrinks this process's part to a half, or to what is in use if that is more; a draining
    /// process keeps only what is in use. Returns what is left to the peer process.
    pub(super) fn shrink(&self, activity: Activity) -> ResourceBudget {
        let total = self.for_two_processes;
        let (descriptors, memory_bytes) = match activity {
            Activity::Draining => {
                (self.descriptors.shrink(0, SPARE_DESCRIPTORS), self.memory.shrink(total.memory_bytes / 4))
            }
            Activity::Serving => (
                self.descriptors.shrink(total.descriptors / 2, 0),
                self.memory.shrink(total.memory_bytes / 2),
            ),
        };
        ResourceBudget {
            descriptors: total.descriptors.saturating_sub(descriptors).max(LEAST.descriptors),
            memory_bytes: total.memory_bytes.saturating_sub(memory_bytes).max(LEAST.memory_bytes),
        }
    }

    /// Sets what this process may use from now on.
    pub(super) fn set(&self, grant: BudgetGrant) {
        let budget = match grant {
            BudgetGrant::Part(budget) => budget,
            BudgetGrant::Whole => self.for_one_process,
        };
        self.descriptors.resize(budget.descriptors);
        self.memory.resize(budget.memory_bytes);
    }
}

#[cfg(test)]
mod tests;
