//! Cancellable timers, and sleeps whose lengths suit the coroutine library's timer lists.
//!
//! The owner of timers holds a [`TimerSet`]. Each timer runs as a coroutine, and ends at most
//! [`MAX_OVERRUN`] after its set is dropped.

use super::deadline_stream::round_up_to_ms;
use may::coroutine;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a timer may outlive its set.
///
/// Note: ending a timer of the library early can lose other timers. A sleep is therefore split into
/// parts, and each part runs to its end.
pub const MAX_OVERRUN: Duration = Duration::from_millis(100);

/// Owns timers, and cancels them when it is dropped.
#[derive(Debug, Default)]
pub struct TimerSet {
    cancelled: Arc<AtomicBool>,
}

impl TimerSet {
    /// Runs an action at a moment, unless the set was dropped before.
    ///
    /// Note: the moment is fixed by the caller. The timer's coroutine may begin long after this
    /// returns, behind other work of the worker, so a delay that it counted itself would be longer.
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

/// Runs an action at a moment. As with [`TimerSet::run_at`], the caller fixes the moment.
pub fn run_at(due: Instant, action: impl FnOnce() + Send + 'static) {
    may::go!(move || {
        sleep_until(due, Duration::MAX, || false);
        action();
    });
}

/// Sleeps for a duration, in parts of [`sleep_part`].
pub fn sleep(duration: Duration) {
    sleep_until(Instant::now() + duration, Duration::MAX, || false);
}

/// Sleeps until a moment, in parts of at most `longest_part`; returns false if it was cancelled
/// meanwhile.
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

/// The longest part of a sleep that is whole milliseconds of at most six significant bits.
///
/// may keeps a list of timers for each length of sleep. Rounded parts have a few hundred lengths,
/// where whole sleeps would have thousands.
pub fn sleep_part(remaining: Duration) -> Duration {
    const SIGNIFICANT_BITS: u32 = 6;
    let ms = u64::try_from(round_up_to_ms(remaining).as_millis()).unwrap_or(u64::MAX);
    let dropped_bits = (u64::BITS - ms.leading_zeros()).saturating_sub(SIGNIFICANT_BITS);
    Duration::from_millis(ms >> dropped_bits << dropped_bits)
}
