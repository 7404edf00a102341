//! Time limits on waits that something else may end first: no timer long outlives what it guards.

use super::deadline_stream::whole_ms;
use may::coroutine;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a timer may outlive what it guards. A library timer that is ended early proved unsafe (a day of
/// many connections lost all timers), so waits are slept through in parts, and each part runs to its end.
const PART: Duration = Duration::from_millis(100);

/// What waits guard. Once it is dropped they end.
#[derive(Debug, Default)]
pub struct TimerSet(Arc<AtomicBool>);

/// One wait's hold on what it guards.
#[derive(Debug)]
pub struct Guard(Arc<AtomicBool>);

impl TimerSet {
    /// Runs a coroutine that guards it.
    pub fn by(&self, run: impl FnOnce(Guard) + Send + 'static) {
        let guard = Guard(Arc::clone(&self.0));
        may::go!(move || run(guard));
    }
}

impl Drop for TimerSet {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

impl Guard {
    /// Waits for a time, on library timers of its own; whether what it guards still stands then.
    pub fn sleep(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            if self.0.load(Ordering::Acquire) {
                return false;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            coroutine::sleep(step(left.min(PART)));
        }
    }
}

/// The longest part of a wait that has one of a few hundred lengths: whole milliseconds of at most six
/// significant bits. may keeps a list of timers for each length: whole waits, in all their lengths, would keep thousands.
pub fn step(wait: Duration) -> Duration {
    const SIGNIFICANT_BITS: u32 = 6;
    let ms = u64::try_from(whole_ms(wait).as_millis()).unwrap_or(u64::MAX);
    let beyond = (u64::BITS - ms.leading_zeros()).saturating_sub(SIGNIFICANT_BITS);
    Duration::from_millis(ms >> beyond << beyond)
}

/// Sleeps for a time, in such steps.
pub fn sleep(time: Duration) {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        coroutine::sleep(step(left));
    }
}
