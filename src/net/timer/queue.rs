//! The queue of the process's timers, and the coroutines that run them. Read [`add`] first.
//!
//! A sleep of the coroutine library cannot be shortened: cancelling one can lose others. So a timer
//! that is due before every sleeping coroutine wakes gets a further coroutine. Each sleeps for
//! [`MAX_SLEEP`] at the most and wakes at a whole millisecond, so that they are few, however many
//! timers there are. One that wakes while another will wake in time ends.

use super::sleep_until;
use crate::net::log::log_fault;
use std::collections::{BTreeMap, BTreeSet};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The longest time for which a coroutine sleeps at once. There are at most as many coroutines as it
/// has milliseconds.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// The time from which the milliseconds of wake-ups are counted.
static EPOCH: LazyLock<Instant> = LazyLock::new(Instant::now);
/// Invariant: no other lock is taken, and nothing waits, while this one is held.
static QUEUE: Mutex<Queue> = Mutex::new(Queue::new());

/// What a timer does.
pub(super) type Action = Box<dyn FnOnce() + Send>;

/// A timer of the queue: when it is due, and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerId {
    due: Instant,
    number: u64,
}

/// The time at which a coroutine wakes, in whole milliseconds since [`EPOCH`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WakeTime(u64);

impl WakeTime {
    /// Returns the first wake time that is not before `at`.
    fn not_before(at: Instant) -> WakeTime {
        const NS_PER_MS: u128 = 1_000_000;
        let since_epoch = at.saturating_duration_since(*EPOCH).as_nanos().div_ceil(NS_PER_MS);
        WakeTime(u64::try_from(since_epoch).unwrap_or(u64::MAX))
    }

    fn instant(self) -> Instant {
        *EPOCH + Duration::from_millis(self.0)
    }
}

/// The timers, and the wake times of the sleeping coroutines.
///
/// Invariant: while there are timers, a coroutine wakes when the first of them is due, or earlier.
struct Queue {
    timers: BTreeMap<TimerId, Action>,
    last_number: u64,
    wake_times: BTreeSet<WakeTime>,
}

impl Queue {
    const fn new() -> Queue {
        Queue { timers: BTreeMap::new(), last_number: 0, wake_times: BTreeSet::new() }
    }

    fn add(&mut self, due: Instant, action: Action) -> TimerId {
        self.last_number += 1;
        let id = TimerId { due, number: self.last_number };
        self.timers.insert(id, action);
        id
    }

    /// Takes the first timer, if it is due.
    fn take_due(&mut self, now: Instant) -> Option<Action> {
        let first = self.timers.first_entry()?;
        (first.key().due <= now).then(|| first.remove())
    }

    /// Decides whether a coroutine is needed for the first timer, and when it wakes.
    ///
    /// Inputs: when the first timer is due, and when the sleeping coroutines wake.
    /// Reason: a coroutine that wakes early enough runs every timer that is due by then.
    fn claim_wake_time(&mut self, now: Instant) -> Option<WakeTime> {
        let (first, _) = self.timers.first_key_value()?;
        let wake_time = WakeTime::not_before(first.due.min(now + MAX_SLEEP));
        if self.wake_times.first().is_some_and(|earliest| *earliest <= wake_time) {
            return None;
        }
        self.wake_times.insert(wake_time);
        Some(wake_time)
    }
}

/// Adds a timer, which runs `action` at `due`, and returns its id.
pub(super) fn add(due: Instant, action: Action) -> TimerId {
    let (id, wake_time) = {
        let mut queue = lock();
        let id = queue.add(due, action);
        (id, queue.claim_wake_time(Instant::now()))
    };
    if let Some(wake_time) = wake_time {
        may::go!(move || run_timers_from(wake_time));
    }
    id
}

/// Removes timers. Those that have run are ignored.
pub(super) fn remove(ids: &[TimerId]) {
    if ids.is_empty() {
        return;
    }
    let mut queue = lock();
    let removed: Vec<Action> = ids.iter().filter_map(|id| queue.timers.remove(id)).collect();
    drop(queue);
    // The actions are dropped with the queue unlocked, since their drop may take other locks.
    drop(removed);
}

/// Runs the timers that are due when the coroutine wakes, until no further one needs it.
fn run_timers_from(mut wake_time: WakeTime) {
    loop {
        sleep_until(wake_time.instant());
        run_due_timers();
        let next = {
            let mut queue = lock();
            queue.wake_times.remove(&wake_time);
            queue.claim_wake_time(Instant::now())
        };
        match next {
            Some(next) => wake_time = next,
            None => return,
        }
    }
}

fn run_due_timers() {
    loop {
        let Some(action) = lock().take_due(Instant::now()) else { return };
        // A panic must not end the coroutine, on which later timers rely.
        if catch_unwind(AssertUnwindSafe(action)).is_err() {
            log_fault("the action of a timer panicked");
        }
    }
}

fn lock() -> MutexGuard<'static, Queue> {
    QUEUE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the numbers of timers and of sleeping coroutines.
#[cfg(test)]
pub(super) fn counts() -> (usize, usize) {
    let queue = lock();
    (queue.timers.len(), queue.wake_times.len())
}
