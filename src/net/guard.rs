//! Time limits on waits that something else may end first: no timer outlives what it guards.

use super::link::whole_ms;
use may::coroutine::{self, Coroutine};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What waits guard. Dropping it ends their timers.
#[derive(Debug, Default)]
pub struct Guarded(Arc<Mutex<Waits>>);

/// One coroutine's hold on what it guards.
#[derive(Debug)]
pub struct Guard(Arc<Mutex<Waits>>);

#[derive(Debug, Default)]
struct Waits {
    over: bool,
    waiting: Vec<Coroutine>,
}

fn with<T>(waits: &Mutex<Waits>, act: impl FnOnce(&mut Waits) -> T) -> T {
    act(&mut waits.lock().unwrap_or_else(PoisonError::into_inner))
}

impl Guarded {
    /// Runs a coroutine that guards it.
    pub fn by(&self, run: impl FnOnce(Guard) + Send + 'static) {
        let guard = Guard(Arc::clone(&self.0));
        may::go!(move || {
            with(&guard.0, |waits| waits.waiting.push(coroutine::current()));
            run(guard);
        });
    }
}

impl Drop for Guarded {
    fn drop(&mut self) {
        let waiting = with(&self.0, |waits| {
            waits.over = true;
            std::mem::take(&mut waits.waiting)
        });
        waiting.iter().for_each(Coroutine::unpark);
    }
}

impl Guard {
    /// Waits for a time, on a library timer of its own; whether what it guards still stands then.
    pub fn sleep(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            if with(&self.0, |waits| waits.over) {
                return false;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            coroutine::park_timeout(step(left));
        }
    }
}

/// The longest part of a wait that has one of a few hundred lengths: whole milliseconds of at most six
/// significant bits. may keeps a list of timers for each length, and drops an empty one as soon as there are
/// more than 1024, while timers that were ended may still point into it: it crashed, or lost all timers.
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
