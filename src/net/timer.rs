//! Cancellable timers, and sleeps whose lengths suit the timer lists of the coroutine library
//! (`may`). Read [`TimerSet`] first.
//!
//! The owner of timers holds a [`TimerSet`]. Each timer runs as a coroutine, which ends at most
//! [`MAX_OVERRUN`] after the set is dropped.

use super::deadline_stream::round_up_to_ms;
use may::coroutine;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The longest time for which a timer may outlive its set.
///
/// Note: cancelling a sleep of the coroutine library can lose other timers. A sleep is therefore
/// split into parts, and each part runs to its end.
pub const MAX_OVERRUN: Duration = Duration::from_millis(100);

/// A set of timers, which are cancelled when the set is dropped.
#[derive(Debug, Default)]
pub struct TimerSet {
    cancelled: Arc<AtomicBool>,
}

impl TimerSet {
    /// Runs an action at `due`, unless the set is dropped before.
    ///
    /// Note: the caller passes a moment, not a delay. The timer's coroutine may start long after
    /// this call, behind other work of the worker, so a delay that is counted from its start would
    /// end too late.
    pub fn run_at(&self, due: Instant, action: impl FnOnce() + Send + 'static) {
        let cancelled = Arc::clone(&self.cancelled);
        may::go!(move || {
            if sleep_until(due, MAX_OVERRUN, || cancelled.load(Ordering::Acquire)) {
                action();
            }
        });
    }
}

impl Drop for TimerSet {
    fn drop(&mut self) {
        self.cancelled.store(true, Ordering::Release);
    }
}

/// Runs an action at `due`, which is a moment for the same reason as in [`TimerSet::run_at`].
pub fn run_at(due: Instant, action: impl FnOnce() + Send + 'static) {
    may::go!(move || {
        sleep_until(due, Duration::MAX, || false);
        action();
    });
}

/// Sleeps for a duration, in parts whose lengths [`sleep_part`] returns.
pub fn sleep(duration: Duration) {
    sleep_until(Instant::now() + duration, Duration::MAX, || false);
}

/// Sleeps until `due`, in parts of at most `longest_part`. Returns false if the sleep was cancelled
/// before that.
fn sleep_until(due: Instant, longest_part: Duration, is_cancelled: impl Fn() -> bool) -> bool {
    loop {
        if is_cancelled() {
            return false;
        }
        let remaining = due.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return true;
        }
        coroutine::sleep(sleep_part(remaining.min(longest_part)));
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
