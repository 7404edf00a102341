//! Detects hold-ups: periods in which no thread of the process ran, for instance because the host
//! was short of processors. [`HoldUpMonitor`] compares the ticks of a periodic coroutine with the
//! clock, and estimates how long input that is read now may have been waiting unread.

use super::time_limits::{MAX_HOLD_UP, TIMER_LATENCY};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The shortest delay of a tick that indicates a hold-up.
const MIN_HOLD_UP: Duration = Duration::from_millis(20);
/// The time after a hold-up within which the input that arrived during it is read.
const CATCH_UP_TIME: Duration = Duration::from_millis(30);
/// The upper limit of [`HoldUpMonitor::unread_time`], which is subtracted from deadlines. Without a
/// limit, every request would count as late after a long stop, and requests that have just arrived
/// would be rejected too.
const MAX_UNREAD_TIME: Duration = MAX_HOLD_UP.saturating_add(TIMER_LATENCY);

/// A period in which no thread of the process ran.
#[derive(Clone, Copy, Debug)]
struct HoldUp {
    began: Instant,
    ended: Instant,
}

/// The state that ticks update.
#[derive(Debug)]
struct State {
    last_tick: Instant,
    last_hold_up: Option<HoldUp>,
}

/// Detects when the whole process was held up.
#[derive(Debug)]
pub struct HoldUpMonitor {
    /// The time between two ticks.
    interval: Duration,
    /// The last tick and the last hold-up.
    ///
    /// Invariant: no coroutine waits while it holds this lock.
    state: Mutex<State>,
}

impl HoldUpMonitor {
    /// Creates a monitor. The caller calls [`HoldUpMonitor::tick`] every `interval`, for the first
    /// time one interval after `now`.
    pub fn new(interval: Duration, now: Instant) -> HoldUpMonitor {
        let state = State { last_tick: now, last_hold_up: None };
        HoldUpMonitor { interval, state: Mutex::new(state) }
    }

    /// Records a tick, and returns by how much it is late.
    pub fn tick(&self, now: Instant) -> Duration {
        let mut state = self.state();
        let late = now.saturating_duration_since(state.last_tick).saturating_sub(self.interval);
        if late >= MIN_HOLD_UP {
            state.last_hold_up = Some(HoldUp { began: state.last_tick, ended: now });
        }
        state.last_tick = now;
        late
    }

    /// Estimates the longest time for which input that is read now may have been waiting unread:
    /// zero without a hold-up, at most `MAX_UNREAD_TIME`. The result is subtracted from the budgets
    /// of requests that are read now.
    ///
    /// Inputs: the current time, the last tick and the last hold-up, on the monotonic clock.
    /// Reason: a client's deadline counts from when its request arrives, not from when it is read.
    /// Source: docs/incidents/2026-12-02-late-final-answers.md.
    pub fn unread_time(&self, now: Instant) -> Duration {
        let state = self.state();
        let since_tick = now.saturating_duration_since(state.last_tick);
        let unread = if since_tick >= self.interval + MIN_HOLD_UP {
            // A hold-up has just ended, and its late tick has not run yet.
            since_tick
        } else {
            let recent = |hold_up: &HoldUp| now.saturating_duration_since(hold_up.ended) <= CATCH_UP_TIME;
            let hold_up = state.last_hold_up.filter(recent);
            hold_up.map_or(Duration::ZERO, |hold_up| now.saturating_duration_since(hold_up.began))
        };
        unread.min(MAX_UNREAD_TIME)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
