//! The admission lease of a process: the process admits requests only while it holds the lease.
//! Read [`AdmissionLease`] first, then [`AdmissionLease::admission`].
//!
//! The expiry is compared with the clock at each use instead of being awaited by a timer, so that a
//! process that was suspended finds its lease expired when it resumes.

use crate::{VoterId, VoterSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The behaviour of a process after its admission lease has expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseExpiryMode {
    /// The process rejects requests.
    #[default]
    #[serde(rename = "refuse")]
    FailClosed,
    /// The process admits requests under the version that was active last.
    #[serde(rename = "serve")]
    FailOpen,
}

/// Whether a request is admitted under a version of the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted under the given version.
    Admit,
    /// A change is about to be committed: the request waits and is checked again soon.
    Wait,
    /// The request is rejected.
    Reject {
        /// The time after which the client may retry.
        retry_after: Duration,
    },
}

/// The phase of a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// The lease was not held since its version became active: a majority of voters has to grant
    /// it.
    #[default]
    Requested,
    /// A majority granted the lease. It lasts while a blocking set of voters renews it, and may
    /// have expired.
    Granted,
    /// The lease was released for a change: a majority has to grant it again.
    Released { since: Instant },
}

/// The state of the lease, with the grants of single voters.
#[derive(Debug, Default)]
struct State {
    /// The version of the policy under which the lease admits requests.
    version: u64,
    /// The expiry of each voter's grant.
    grants: BTreeMap<VoterId, Instant>,
    phase: Phase,
    /// The epoch of the lease. Grants that were requested in an earlier epoch do not count.
    epoch: u64,
    /// Whether this process may still fail open: it has held the lease, and no later version is
    /// known to be active.
    may_fail_open: bool,
}

/// The admission lease of one process.
#[derive(Debug)]
pub struct AdmissionLease {
    voters: VoterSet,
    expiry_mode: LeaseExpiryMode,
    /// The time for which requests wait for the change after a release; later requests are
    /// rejected.
    change_wait: Duration,
    /// The Retry-After of rejected requests.
    retry_after: Duration,
    /// The state of the lease; locked for single reads and writes only.
    state: Mutex<State>,
    rejections: AtomicU64,
}

impl AdmissionLease {
    /// Creates a lease that is not held. Requests wait for `change_wait` after a release;
    /// `retry_after` is the Retry-After of rejected requests.
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

    /// Decides whether a process admits a request now, lets it wait for a change, or rejects it
    /// with a Retry-After (fail closed).
    ///
    /// Inputs: the version that is active at the process, and the time; the lease's version, phase
    /// and expiry; whether the process fails open.
    /// Reason: all processes admit requests under one version at any time, so that a request is
    /// decided by the same policy wherever it arrives.
    /// Source: Gray and Cheriton, "Leases" (1989).
    #[must_use]
    pub fn admission(&self, version: u64, now: Instant) -> Admission {
        let state = self.state();
        let is_same_version = state.version == version;
        if is_same_version && self.expiry(&state).is_some_and(|expiry| now < expiry) {
            return Admission::Admit;
        }
        if let Phase::Released { since } = state.phase {
            if now < since + self.change_wait {
                return Admission::Wait;
            }
            return Admission::Reject { retry_after: self.retry_after };
        }
        if self.expiry_mode == LeaseExpiryMode::FailOpen && state.may_fail_open && is_same_version {
            return Admission::Admit;
        }
        Admission::Reject { retry_after: self.retry_after }
    }

    /// Counts a request that was rejected because the lease is not held.
    pub fn count_rejection(&self) {
        self.rejections.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of requests that were rejected because the lease was not held.
    #[must_use]
    pub fn rejections(&self) -> u64 {
        self.rejections.load(Ordering::Relaxed)
    }

    /// Returns the expiry of the lease, or `None` if the lease is not held.
    #[must_use]
    pub fn valid_until(&self, now: Instant) -> Option<Instant> {
        let state = self.state();
        self.expiry(&state).filter(|expiry| now < *expiry)
    }

    /// Begins the lease for a version that has become active, and returns the epoch of its
    /// requests. The lease for the previous version must have been released or have expired.
    pub fn begin(&self, version: u64) -> u64 {
        let mut state = self.state();
        if state.version != version {
            state.version = version;
            state.epoch += 1;
            state.grants.clear();
            if state.phase == Phase::Granted {
                state.phase = Phase::Requested;
            }
        }
        state.epoch
    }

    /// Decides whether a voter's grant counts, and whether the lease is granted with it.
    ///
    /// Inputs: the voter, the epoch and the expiry of its grant; the grants of the other voters.
    /// Reason: a majority has to grant the lease first, so that no majority can commit another
    /// version before the lease expires.
    /// Source: Gray and Cheriton, "Leases" (1989).
    ///
    /// Invariant: a grant that was requested before a release does not count, because the voters
    /// may already have voted on the strength of that release.
    pub fn grant(&self, voter: VoterId, epoch: u64, expiry: Instant) {
        let mut state = self.state();
        if epoch != state.epoch {
            return;
        }
        let grant = state.grants.entry(voter).or_insert(expiry);
        *grant = expiry.max(*grant);
        if state.phase == Phase::Granted || state.grants.len() >= self.voters.majority() {
            state.phase = Phase::Granted;
            state.may_fail_open = true;
        }
    }

    /// Releases the lease for a change, so that no further request is admitted under it. Returns
    /// the epoch of the requests that follow.
    pub fn release(&self, now: Instant) -> u64 {
        let mut state = self.state();
        state.grants.clear();
        state.epoch += 1;
        if !matches!(state.phase, Phase::Released { .. }) {
            state.phase = Phase::Released { since: now };
        }
        state.epoch
    }

    /// Returns the epoch of lease requests that are sent now.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.state().epoch
    }

    /// Returns whether the lease was released and not granted again.
    #[must_use]
    pub fn is_released(&self) -> bool {
        matches!(self.state().phase, Phase::Released { .. })
    }

    /// Records that a later version is active elsewhere, so that this process no longer fails open
    /// under its own version.
    pub fn mark_outdated(&self) {
        self.state().may_fail_open = false;
    }

    /// Returns when the lease expires, or `None` if too few voters granted it.
    ///
    /// Inputs: the expiry of each voter's grant, and the phase of the lease.
    /// Reason: once a majority granted the lease, the lease lasts while a blocking set renews it,
    /// because no majority can commit another version without that set.
    /// Source: Gray and Cheriton, "Leases" (1989).
    fn expiry(&self, state: &State) -> Option<Instant> {
        let needed = match state.phase {
            Phase::Granted => self.voters.blocking(),
            Phase::Requested | Phase::Released { .. } => self.voters.majority(),
        };
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
