//! When the whole process was held up, so that nothing of it ran. [`HoldUpMonitor`] is told by a
//! coroutine that wakes again and again; who reads something asks it for how long that may have
//! lain unread.

use super::time_limits::{HOLD_UP, TIMER_GRANULARITY};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A tick that comes so much too late tells of a hold-up.
const NOTED_DELAY: Duration = Duration::from_millis(20);
/// What came in during a hold-up is read within this time of its end.
const CATCH_UP: Duration = Duration::from_millis(30);
/// No more than this is taken off a deadline. After a longer stop everything that came in would be
/// late, and also what has just arrived would be turned away.
const LONGEST_UNREAD: Duration = HOLD_UP.saturating_add(TIMER_GRANULARITY);

/// A time in which nothing ran.
#[derive(Clone, Copy, Debug)]
struct HoldUp {
    began: Instant,
    ended: Instant,
}

#[derive(Debug)]
struct State {
    last_tick: Instant,
    last_hold_up: Option<HoldUp>,
}

/// Notices when the whole process was held up.
#[derive(Debug)]
pub struct HoldUpMonitor {
    /// The time between two ticks.
    interval: Duration,
    /// Guards what was noticed. Nothing waits under it.
    state: Mutex<State>,
}

impl HoldUpMonitor {
    /// A monitor that is told each `interval`, the first time one from now.
    pub fn new(interval: Duration, now: Instant) -> HoldUpMonitor {
        let state = State { last_tick: now, last_hold_up: None };
        HoldUpMonitor { interval, state: Mutex::new(state) }
    }

    /// The time between two ticks is over; returns how late that is.
    pub fn tick(&self, now: Instant) -> Duration {
        let mut state = self.state();
        let late = now.saturating_duration_since(state.last_tick).saturating_sub(self.interval);
        if late >= NOTED_DELAY {
            state.last_hold_up = Some(HoldUp { began: state.last_tick, ended: now });
        }
        state.last_tick = now;
        late
    }

    /// For how long something that is read now may have lain unread; none without a hold-up.
    pub fn unread_for(&self, now: Instant) -> Duration {
        let state = self.state();
        let since_tick = now.saturating_duration_since(state.last_tick);
        let unread = if since_tick >= self.interval + NOTED_DELAY {
            // The tick itself is overdue.
            since_tick
        } else {
            let recent = |hold_up: &HoldUp| now.saturating_duration_since(hold_up.ended) <= CATCH_UP;
            let hold_up = state.last_hold_up.filter(recent);
            hold_up.map_or(Duration::ZERO, |hold_up| now.saturating_duration_since(hold_up.began))
        };
        unread.min(LONGEST_UNREAD)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
