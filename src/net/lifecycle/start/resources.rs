//! Configures the coroutine runtime, and computes the descriptors and the memory that the limits of
//! the configuration leave to clients and backends. Read [`new_budget`] first.

use super::super::budget::ProcessBudget;
use crate::net::descriptors::Descriptors;
use crate::net::hot_restart::ResourceBudget;
use crate::net::memory::MemoryBudget;
use pinetrail_config::{Config, PolicyConfig, ADMIN_DESCRIPTORS, FLEET_DESCRIPTORS};

/// The number of worker threads that run coroutines: one, because the proxy has one core.
const WORKER_THREADS: usize = 1;
/// The size of a coroutine's stack, in words of 8 bytes: 128 KiB, of which only touched pages use
/// memory.
const STACK_WORDS: usize = 16 * 1024;
/// The number of coroutines kept for reuse after their connection or attempt has ended.
const POOLED_COROUTINES: usize = 32;
/// The number of descriptors that belong neither to a client nor to a backend: files, pollers,
/// discovery, the listener.
const BASE_DESCRIPTORS: usize = 24;

/// Configures the coroutine runtime, before the first coroutine starts.
pub(super) fn configure_coroutines() {
    may::config()
        .set_workers(WORKER_THREADS)
        .set_stack_size(STACK_WORDS)
        .set_pool_capacity(POOLED_COROUTINES);
    // The platform chooses the core.
    may::config().set_worker_pin(false);
}

/// Returns the budget that the limits leave to clients and backends. Two processes of a hot restart
/// share it, each without the descriptors that it needs for itself.
pub(super) fn new_budget(config: &Config) -> ProcessBudget {
    let own_descriptors = own_descriptors(config);
    let total_descriptors = config.limits.sockets - own_descriptors;
    let for_one_process = ResourceBudget {
        descriptors: total_descriptors,
        memory_bytes: MemoryBudget::bytes_within(config.limits.memory_mb),
    };
    let for_two_processes =
        ResourceBudget { descriptors: total_descriptors.saturating_sub(own_descriptors), ..for_one_process };
    ProcessBudget {
        for_two_processes,
        for_one_process,
        descriptors: Descriptors::new(total_descriptors),
        memory: MemoryBudget::new(config.limits.memory_mb),
    }
}

/// Returns the number of descriptors that this process needs for itself, besides those of clients
/// and backends.
fn own_descriptors(config: &Config) -> usize {
    let mut count = BASE_DESCRIPTORS;
    if config.admin.is_some() {
        count += ADMIN_DESCRIPTORS;
    }
    if config.fleet.is_some() {
        count += FLEET_DESCRIPTORS;
    }
    count + config.policy().map_or(0, PolicyConfig::descriptors)
}
