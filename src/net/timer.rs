//! Cancellable timers, and sleeps whose lengths suit the timer lists of the coroutine library
//! (`may`). Read [`TimerSet`] first.
//!
//! All timers of the process are in one queue, in the order in which they are due, so that a timer
//! needs neither a coroutine nor a stack of its own. A few coroutines sleep until the first of them
//! is due and run it (`queue`).

mod queue;

use super::deadline_stream::round_up_to_ms;
use may::coroutine;
use queue::TimerId;
use std::time::{Duration, Instant};

/// A set of timers, which are cancelled when the set is dropped.
#[derive(Debug, Default)]
pub struct TimerSet {
    timers: Vec<TimerId>,
}

impl TimerSet {
    /// Runs an action at `due`, unless the set is dropped before. The action must not wait.
    pub fn run_at(&mut self, due: Instant, action: impl FnOnce() + Send + 'static) {
        self.timers.push(queue::add(due, Box::new(action)));
    }
}

impl Drop for TimerSet {
    fn drop(&mut self) {
        queue::remove(&self.timers);
    }
}

/// Runs an action at `due`. The action must not wait.
pub fn run_at(due: Instant, action: impl FnOnce() + Send + 'static) {
    queue::add(due, Box::new(action));
}

/// Sleeps for a duration, in parts whose lengths [`sleep_part`] returns.
pub fn sleep(duration: Duration) {
    sleep_until(Instant::now() + duration);
}

fn sleep_until(due: Instant) {
    loop {
        let remaining = due.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        coroutine::sleep(sleep_part(remaining));
    }
}

/// Returns the length of the next part of a sleep: the remaining time in whole milliseconds, with
/// all bits after the first six significant ones cleared.
///
/// The coroutine library keeps a list of timers for each length of sleep. The parts have a few
/// hundred different lengths, where unsplit sleeps would have thousands.
pub fn sleep_part(remaining: Duration) -> Duration {
    const SIGNIFICANT_BITS: u32 = 6;
    let ms = u64::try_from(round_up_to_ms(remaining).as_millis()).unwrap_or(u64::MAX);
    let dropped_bits = (u64::BITS - ms.leading_zeros()).saturating_sub(SIGNIFICANT_BITS);
    Duration::from_millis(ms >> dropped_bits << dropped_bits)
}

#[cfg(test)]
mod tests;
