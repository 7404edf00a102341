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
            coroutine::park_timeout(whole_ms(left));
        }
    }
}
