//! Cancellable timers, and sleeps that the coroutine library can bear.
//!
//! Whoever needs timers owns a [`TimerSet`]; each timer runs as a coroutine with a [`Timer`], and
//! ends at most [`MAX_OVERRUN`] after its set is dropped.

use super::deadline_stream::whole_ms;
use may::coroutine;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a timer may outlive its set. A library timer that is ended early proved unsafe (a day
/// of many connections lost all timers), so waits are slept through in parts, and each part runs to
/// its end.
pub const MAX_OVERRUN: Duration = Duration::from_millis(100);

/// The owner of a number of timers. They are cancelled when it is dropped.
#[derive(Debug, Default)]
pub struct TimerSet {
    cancelled: Arc<AtomicBool>,
}

/// One timer of a set.
#[derive(Debug)]
pub struct Timer {
    cancelled: Arc<AtomicBool>,
}

impl TimerSet {
    /// Runs a coroutine with a timer of this set. It ends by itself: its waits return once the set
    /// is gone.
    pub fn spawn(&self, run: impl FnOnce(Timer) + Send + 'static) {
        let timer = Timer { cancelled: Arc::clone(&self.cancelled) };
        may::go!(move || run(timer));
    }
}

impl Drop for TimerSet {
    fn drop(&mut self) {
        self.cancelled.store(true, Ordering::Release);
    }
}

impl Timer {
    /// Sleeps; false if the set was dropped meanwhile.
    pub fn sleep(&self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        loop {
            if self.cancelled.load(Ordering::Acquire) {
                return false;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            coroutine::sleep(sleep_part(left.min(MAX_OVERRUN)));
        }
    }
}

/// The longest part of a wait that has one of a few hundred lengths: whole milliseconds of at most
/// six significant bits. may keeps a list of timers for each length: whole waits, in all their
/// lengths, would keep thousands.
pub fn sleep_part(wait: Duration) -> Duration {
    const SIGNIFICANT_BITS: u32 = 6;
    let ms = u64::try_from(whole_ms(wait).as_millis()).unwrap_or(u64::MAX);
    let beyond = (u64::BITS - ms.leading_zeros()).saturating_sub(SIGNIFICANT_BITS);
    Duration::from_millis(ms >> beyond << beyond)
}

/// Sleeps for a time, in such parts.
pub fn sleep(time: Duration) {
    let deadline = Instant::now() + time;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        coroutine::sleep(sleep_part(left));
    }
}
