//! [`ExecutedIds`]: the ids of requests that may have been executed and must not be executed again.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// The longest time for which an id is kept: as long as the longest deadline of a client.
const MAX_RETENTION: Duration = Duration::from_secs(60);
/// The time for which an id is kept even if there is no room for further ones.
const MIN_RETENTION: Duration = Duration::from_secs(5);
/// The fraction of the process's memory limit that ids may use.
const MEMORY_FRACTION: f64 = 0.01;
/// The memory of an id in both collections, with their spare capacity, in bytes.
const BYTES_PER_ID: f64 = 64.0;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// The hash of an id. Ids are of any length, hashes are not. Both processes of an upgrade compute the
/// same one.
pub type IdHash = u64;

/// Returns the hash of an id.
pub(super) fn hash_id(id: &str) -> IdHash {
    xxh3_64(id.as_bytes())
}

/// The ids of requests that have ended and may have been executed. This is the one bound on their
/// memory.
#[derive(Debug)]
pub(super) struct ExecutedIds {
    hashes: HashSet<IdHash>,
    /// The hashes by the time at which their requests ended, the oldest first.
    by_age: VecDeque<(Instant, IdHash)>,
    capacity: usize,
}

/// Whether a request may be executed by what is known of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdStatus {
    /// No request with this id is known.
    Unknown,
    /// A request with this id may have been executed.
    Executed,
    /// There is no room to remember a further id before this time has passed.
    NoRoom {
        /// The time until the oldest id may be forgotten.
        retry_after: Duration,
    },
}

impl ExecutedIds {
    /// Returns how many ids a process with a memory limit in MB may keep.
    pub(super) fn capacity_within(memory_mb: usize) -> usize {
        (memory_mb as f64 * BYTES_PER_MB * MEMORY_FRACTION / BYTES_PER_ID) as usize
    }

    pub(super) fn new(capacity: usize) -> ExecutedIds {
        ExecutedIds { hashes: HashSet::new(), by_age: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// Decides whether a request that may not be repeated is executed, is rejected for good, or is
    /// rejected until there is room for its id.
    ///
    /// Inputs: the ids of requests that may have been executed, with the times at which they ended,
    /// on the monotonic clock.
    /// Reason: a request that could run twice is worse than one that is not executed now.
    /// Source: docs/incidents/2026-12-05-sound-slow-responses-cut-off.md.
    pub(super) fn status(&mut self, id: &str, now: Instant) -> IdStatus {
        self.forget_older_than(MAX_RETENTION, now);
        if self.hashes.contains(&hash_id(id)) {
            return IdStatus::Executed;
        }
        let oldest = self.by_age.front().filter(|_| self.by_age.len() >= self.capacity);
        let age = oldest.map_or(MIN_RETENTION, |(ended, _)| now.saturating_duration_since(*ended));
        let retry_after = MIN_RETENTION.saturating_sub(age);
        if retry_after.is_zero() {
            IdStatus::Unknown
        } else {
            IdStatus::NoRoom { retry_after }
        }
    }

    /// Returns whether a request with this id may have been executed.
    pub(super) fn contains(&self, hash: IdHash) -> bool {
        self.hashes.contains(&hash)
    }

    /// Remembers the id of a request that has ended and may have been executed.
    pub(super) fn insert(&mut self, hash: IdHash, now: Instant) {
        if self.hashes.insert(hash) {
            self.by_age.push_back((now, hash));
        }
        while self.by_age.len() > self.capacity && self.forget_oldest_from(MIN_RETENTION, now) {}
    }

    /// Returns the hashes of all ids.
    pub(super) fn hashes(&self) -> impl Iterator<Item = IdHash> + '_ {
        self.hashes.iter().copied()
    }

    fn forget_older_than(&mut self, age: Duration, now: Instant) {
        while self.forget_oldest_from(age, now) {}
    }

    /// Forgets the oldest id if it has reached this age; returns whether it has.
    fn forget_oldest_from(&mut self, age: Duration, now: Instant) -> bool {
        let Some((ended, hash)) = self.by_age.front().copied() else { return false };
        let is_old = now.saturating_duration_since(ended) >= age;
        if is_old {
            self.by_age.pop_front();
            self.hashes.remove(&hash);
        }
        is_old
    }
}

#[cfg(test)]
mod tests;
