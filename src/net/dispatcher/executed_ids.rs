//! [`ExecutedIds`]: the ids of requests that may have been executed and must not be executed again.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// The longest time for which an id is kept: as long as the longest deadline of a client.
const MAX_RETENTION: Duration = Duration::from_secs(60);
/// The time for which an id is kept even if there is no room for further ones.
const MIN_RETENTION: Duration = Duration::from_secs(5);
/// The time within which ids are added to one generation, which is forgotten as a whole.
const GENERATION_TIME: Duration = Duration::from_secs(1);
/// The fraction of the process's memory limit that ids may use: enough for the writes that a process
/// with one core accepts within [`MIN_RETENTION`], at the smallest limits.
const MEMORY_FRACTION: f64 = 0.05;
/// The memory of an id, with the spare capacity of its collection, in bytes.
const BYTES_PER_ID: f64 = 20.0;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// The hash of an id. Ids are of any length, hashes are not. Both processes of an upgrade compute the
/// same one.
pub type IdHash = u64;

/// Returns the hash of an id.
pub(super) fn hash_id(id: &str) -> IdHash {
    xxh3_64(id.as_bytes())
}

/// The ids of requests that have ended and may have been executed, and those that the other process of
/// an upgrade has announced. New requests are accepted only while there is room; announced ids are
/// kept also without, at most as many as the other process accepts.
#[derive(Debug)]
pub(super) struct ExecutedIds {
    /// The ids by the second in which they were added, the oldest first.
    generations: VecDeque<Generation>,
    capacity: usize,
}

/// The ids that were added within [`GENERATION_TIME`].
#[derive(Debug)]
struct Generation {
    began: Instant,
    hashes: HashSet<IdHash>,
}

impl Generation {
    /// Returns the time at which all ids of the generation have been kept for `retention`.
    fn expires(&self, retention: Duration) -> Instant {
        self.began + GENERATION_TIME + retention
    }
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
        ExecutedIds { generations: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// Decides whether a request that may not be repeated is executed, is rejected for good, or is
    /// rejected until there is room for its id.
    ///
    /// Inputs: the ids of requests that may have been executed, with the times at which they ended,
    /// on the monotonic clock.
    /// Reason: a request that could run twice is worse than one that is not executed now.
    /// Source: docs/incidents/2026-12-06-sound-writes-rejected-for-a-full-table.md.
    pub(super) fn status(&mut self, id: &str, now: Instant) -> IdStatus {
        self.forget_expired(MAX_RETENTION, now);
        if self.contains(hash_id(id)) {
            return IdStatus::Executed;
        }
        if self.len() >= self.capacity {
            self.forget_oldest(MIN_RETENTION, now);
        }
        let oldest = self.generations.front().filter(|_| self.len() >= self.capacity);
        match oldest {
            Some(oldest) => {
                let retry_after = oldest.expires(MIN_RETENTION).saturating_duration_since(now);
                IdStatus::NoRoom { retry_after }
            }
            None => IdStatus::Unknown,
        }
    }

    /// Returns whether a request with this id may have been executed.
    pub(super) fn contains(&self, hash: IdHash) -> bool {
        self.generations.iter().any(|generation| generation.hashes.contains(&hash))
    }

    /// Remembers the id of a request that has ended and may have been executed.
    pub(super) fn insert(&mut self, hash: IdHash, now: Instant) {
        if self.contains(hash) {
            return;
        }
        let newest = self.generations.back();
        if newest.is_none_or(|newest| now.saturating_duration_since(newest.began) >= GENERATION_TIME) {
            self.generations.push_back(Generation { began: now, hashes: HashSet::new() });
        }
        if let Some(newest) = self.generations.back_mut() {
            newest.hashes.insert(hash);
        }
    }

    /// Returns the hashes of all ids.
    pub(super) fn hashes(&self) -> impl Iterator<Item = IdHash> + '_ {
        self.generations.iter().flat_map(|generation| generation.hashes.iter().copied())
    }

    fn len(&self) -> usize {
        self.generations.iter().map(|generation| generation.hashes.len()).sum()
    }

    fn forget_expired(&mut self, retention: Duration, now: Instant) {
        while self.forget_oldest(retention, now) {}
    }

    /// Forgets the oldest ids if all of them have been kept for `retention`; returns whether they have.
    fn forget_oldest(&mut self, retention: Duration, now: Instant) -> bool {
        let is_expired = self.generations.front().is_some_and(|oldest| oldest.expires(retention) <= now);
        if is_expired {
            self.generations.pop_front();
        }
        is_expired
    }
}

#[cfg(test)]
mod tests;
