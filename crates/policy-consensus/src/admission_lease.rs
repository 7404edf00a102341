//! The permit of a process: under it alone requests are admitted. It is looked at whenever it is used, and never by a
//! timer: a process that was stopped finds it ended when it wakes.

use crate::VoterSet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// What a process does once its permit has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseExpiryMode {
    /// It refuses.
    #[default]
    #[serde(rename = "refuse")]
    FailClosed,
    /// It goes on with the last version.
    #[serde(rename = "serve")]
    FailOpen,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is, under the version that was asked about.
    Admit,
    /// A change is about to be decided: it is to be asked again within moments.
    Wait,
    /// It is not; when to come back.
    Reject(Duration),
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    /// Until when each founder's part of it lasts.
    parts: BTreeMap<u8, Instant>,
    /// Whether it was ever held for this version since it was last given up.
    held: bool,
    /// When it was given up for a change, until it is held again.
    given_up: Option<Instant>,
    /// Words about permits of before that count no longer.
    epoch: u64,
    /// Whether it may be gone on without.
    serves: bool,
}

/// The permit of one process.
#[derive(Debug)]
pub struct AdmissionLease {
    seats: VoterSet,
    when_cut: LeaseExpiryMode,
    /// For so long requests wait for a change's moment; then they are refused.
    hold: Duration,
    /// When who is refused is to come back.
    back: Duration,
    state: Mutex<State>,
    refused: AtomicU64,
}

impl AdmissionLease {
    /// None is held.
    pub fn new(seats: VoterSet, when_cut: LeaseExpiryMode, hold: Duration, back: Duration) -> AdmissionLease {
        AdmissionLease { seats, when_cut, hold, back, state: Mutex::default(), refused: AtomicU64::new(0) }
    }

    /// Whether a request is admitted at this moment by who has this version in force.
    pub fn admission(&self, version: u64, now: Instant) -> Admission {
        let state = self.state();
        if state.version == version && self.until(&state).is_some_and(|until| now < until) {
            return Admission::Admit;
        }
        match state.given_up {
            Some(since) if now < since + self.hold => return Admission::Wait,
            Some(_) => return Admission::Reject(self.back),
            None => {}
        }
        if self.when_cut == LeaseExpiryMode::FailOpen && state.serves && state.version == version {
            return Admission::Admit;
        }
        Admission::Reject(self.back)
    }

    /// A request was refused for want of it.
    pub fn count_rejection(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Requests refused for want of it.
    pub fn rejections(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Whether it lasts at this moment, and until when.
    pub fn valid_until(&self, now: Instant) -> Option<Instant> {
        let state = self.state();
        self.until(&state).filter(|until| now < *until)
    }

    /// From now on permits are asked for this version. What was permitted before has been given up, or has ended.
    pub fn begin(&self, version: u64) -> u64 {
        let mut state = self.state();
        if state.version != version {
            let State { serves, given_up, .. } = *state;
            *state = State { version, epoch: state.epoch + 1, serves, given_up, ..State::default() };
        }
        state.epoch
    }

    /// A founder permits, by a question that was asked in this epoch: until then.
    pub fn granted(&self, seat: u8, epoch: u64, until: Instant) {
        let mut state = self.state();
        // Danger: the answer to a question of before it was given up speaks of what is given up.
        if epoch != state.epoch {
            return;
        }
        let part = state.parts.entry(seat).or_insert(until);
        *part = until.max(*part);
        let held = state.held || state.parts.values().count() >= self.seats.majority();
        if held {
            (state.held, state.serves, state.given_up) = (true, true, None);
        }
    }

    /// Gives it up, for a change; nothing is admitted from now on. The epoch of what is asked next.
    pub fn release(&self, now: Instant) -> u64 {
        let mut state = self.state();
        state.parts.clear();
        state.held = false;
        state.epoch += 1;
        state.given_up.get_or_insert(now);
        state.epoch
    }

    /// Which questions count.
    pub fn epoch(&self) -> u64 {
        self.state().epoch
    }

    /// Whether it was given up and is not held again.
    pub fn is_released(&self) -> bool {
        self.state().given_up.is_some()
    }

    /// A later version is in force elsewhere: this process does not go on with its own, whatever it was told.
    pub fn mark_outdated(&self) {
        self.state().serves = false;
    }

    fn until(&self, state: &State) -> Option<Instant> {
        let needed = if state.held { self.seats.blocking() } else { self.seats.majority() };
        let mut parts: Vec<Instant> = state.parts.values().copied().collect();
        parts.sort_unstable_by(|a, b| b.cmp(a));
        parts.get(needed - 1).copied()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
