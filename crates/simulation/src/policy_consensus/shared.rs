//! Helpers for simulated time and for locks, which all modules of a run use.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Returns the simulated time since the start of the run, in ms.
pub(super) fn now_ms() -> u64 {
    as_millis(turmoil::sim_elapsed().unwrap_or_default())
}

/// Converts a duration to whole milliseconds.
pub(super) fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Locks a mutex, even if another holder panicked.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
