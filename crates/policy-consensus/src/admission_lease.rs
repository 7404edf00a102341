//! The admission lease of a process: only while it holds one does it admit requests. Read
//! [`AdmissionLease`] first.
//!
//! The lease is examined whenever it is used, and never by a timer: a process that was stopped
//! finds it ended when it wakes.

use crate::{VoterId, VoterSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// What a process does once its lease has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseExpiryMode {
    /// It rejects requests.
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
    /// A change is about to be committed: the request waits, and is examined again within moments.
    Wait,
    /// It is not; the client may retry after this time.
    Reject(Duration),
}

/// The lease, as granted by single voters.
#[derive(Debug, Default)]
struct State {
    /// The version under which the lease admits.
    version: u64,
    /// Until when the grant of each voter lasts.
    grants: BTreeMap<VoterId, Instant>,
    /// Whether the lease was held for this version since it was last released.
    was_held: bool,
    /// When the lease was released for a change, until it is held again.
    released_at: Option<Instant>,
    /// Grants that were requested in an earlier epoch do not count.
    epoch: u64,
    /// Whether this process may go on without the lease.
    may_serve_expired: bool,
}

/// The admission lease of one process.
#[derive(Debug)]
pub struct AdmissionLease {
    voters: VoterSet,
    expiry_mode: LeaseExpiryMode,
    /// For so long after a release requests wait for the change; then they are rejected.
    change_wait: Duration,
    /// When clients that are rejected may retry.
    retry_after: Duration,
    /// Guards the lease; held for single reads and writes only.
    state: Mutex<State>,
    rejections: AtomicU64,
}

impl AdmissionLease {
    /// A lease that is not held. `change_wait` is for how long after a release requests wait,
    /// `retry_after` when clients that are rejected may retry.
    #[must_use]
    pub fn new(
        voters: VoterSet,
        expiry_mode: LeaseExpiryMode,
        change_wait: Duration,
        retry_after: Duration,
    ) -> AdmissionLease {
        AdmissionLease {
            voters,
            expiry_mode,
            change_wait,
            retry_after,
            state: Mutex::default(),
            rejections: AtomicU64::new(0),
        }
    }

    /// Whether a process on which this version is active admits a request now.
    #[must_use]
    pub fn admission(&self, version: u64, now: Instant) -> Admission {
        let state = self.state();
        let is_same_version = state.version == version;
        if is_same_version && self.expiry(&state).is_some_and(|expiry| now < expiry) {
            return Admission::Admit;
        }
        if let Some(released_at) = state.released_at {
            if now < released_at + self.change_wait {
                return Admission::Wait;
            }
            return Admission::Reject(self.retry_after);
        }
        if self.expiry_mode == LeaseExpiryMode::FailOpen && state.may_serve_expired && is_same_version {
            return Admission::Admit;
        }
        Admission::Reject(self.retry_after)
    }

    /// Counts a request that was rejected because the lease is not held.
    pub fn count_rejection(&self) {
        self.rejections.fetch_add(1, Ordering::Relaxed);
    }

    /// How many requests were rejected because the lease was not held.
    #[must_use]
    pub fn rejections(&self) -> u64 {
        self.rejections.load(Ordering::Relaxed)
    }

    /// Until when the lease is held; `None` if it is not.
    #[must_use]
    pub fn valid_until(&self, now: Instant) -> Option<Instant> {
        let state = self.state();
        self.expiry(&state).filter(|expiry| now < *expiry)
    }

    /// From now on the lease is for this version; returns the epoch of its requests. The lease for
    /// the version before has been released, or has ended.
    pub fn begin(&self, version: u64) -> u64 {
        let mut state = self.state();
        if state.version != version {
            state.version = version;
            state.epoch += 1;
            state.grants.clear();
            state.was_held = false;
        }
        state.epoch
    }

    /// A voter granted the lease until `expiry`, to a request of this epoch.
    pub fn grant(&self, voter: VoterId, epoch: u64, expiry: Instant) {
        let mut state = self.state();
        // Danger: a grant that was requested before a release is for what was released.
        if epoch != state.epoch {
            return;
        }
        let grant = state.grants.entry(voter).or_insert(expiry);
        *grant = expiry.max(*grant);
        if state.was_held || state.grants.len() >= self.voters.majority() {
            state.was_held = true;
            state.may_serve_expired = true;
            state.released_at = None;
        }
    }

    /// Releases the lease for a change: nothing is admitted from now on. Returns the epoch of the
    /// requests that follow.
    pub fn release(&self, now: Instant) -> u64 {
        let mut state = self.state();
        state.grants.clear();
        state.was_held = false;
        state.epoch += 1;
        state.released_at.get_or_insert(now);
        state.epoch
    }

    /// The epoch of requests that are made now.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.state().epoch
    }

    /// Whether the lease was released and is not held again.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.state().released_at.is_some()
    }

    /// A later version is active elsewhere: this process does not go on with its own without a
    /// lease, whatever its configuration says.
    pub fn mark_outdated(&self) {
        self.state().may_serve_expired = false;
    }

    /// When the lease ends. The first time it takes grants of a majority; from then on it is held
    /// while a blocking set of voters grants it, since no majority can act without that.
    fn expiry(&self, state: &State) -> Option<Instant> {
        let needed = if state.was_held { self.voters.blocking() } else { self.voters.majority() };
        let mut expiries: Vec<Instant> = state.grants.values().copied().collect();
        expiries.sort_unstable_by(|a, b| b.cmp(a));
        expiries.get(needed - 1).copied()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
