//! [`KeyTable`]: the state of the most recently used keys, with the backends that serve each key
//! and the number of its requests.

use crate::interface::{BackendId, Key};
use crate::recent::LruTable;
use crate::time::Timestamp;

/// The largest number of keys in the table.
const MAX_KEYS: usize = 1 << 16;
/// The number of requests that is added to the count of all requests, so that the fraction of a key
/// stays small while few requests have been counted.
const TOTAL_PSEUDOCOUNT: f64 = 2.0;

/// The state of one key.
#[derive(Debug, Default)]
pub(crate) struct KeyEntry {
    /// Whether the key is large: the work hint of its first request was among the largest.
    pub(crate) is_large: bool,
    /// The set of backends that serve the key.
    pub(crate) endpoint_set: Vec<BackendId>,
    /// The time of the last change of the set.
    pub(crate) last_change: Timestamp,
    /// The number of requests for the key since the entry was created.
    pub(crate) requests: f64,
}

impl KeyEntry {
    /// Adds a backend to the set and drops another, if given. If `added` is already in the set and
    /// none is dropped, nothing changes.
    pub(crate) fn change_set(&mut self, added: BackendId, dropped: Option<BackendId>, now: Timestamp) {
        if dropped.is_some() || !self.endpoint_set.contains(&added) {
            self.endpoint_set.retain(|id| Some(*id) != dropped && *id != added);
            self.endpoint_set.push(added);
            self.last_change = now;
        }
    }
}

/// The request frequency of a key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyFrequency {
    /// The number of counted requests for the key.
    pub(crate) requests: f64,
    /// The number of counted requests for all keys, plus [`TOTAL_PSEUDOCOUNT`].
    pub(crate) total: f64,
}

/// The most recently used keys.
#[derive(Debug)]
pub(crate) struct KeyTable(LruTable<Key, KeyEntry>);

impl KeyTable {
    /// Creates an empty table.
    pub(crate) fn new() -> KeyTable {
        KeyTable(LruTable::new(MAX_KEYS))
    }

    /// Returns the state of a key, if it is in the table, without marking the key as used.
    pub(crate) fn get(&self, key: Key) -> Option<&KeyEntry> {
        self.0.get(key)
    }

    /// Marks a key as used and returns its state, which is created if missing.
    pub(crate) fn touch(&mut self, key: Key) -> &mut KeyEntry {
        self.0.touch(key)
    }

    /// Returns the request frequency of a key.
    pub(crate) fn frequency(&self, key: Key) -> KeyFrequency {
        KeyFrequency {
            requests: self.get(key).map_or(0.0, |entry| entry.requests),
            total: self.0.use_count() as f64 + TOTAL_PSEUDOCOUNT,
        }
    }

    /// Removes backends from the sets of all keys.
    pub(crate) fn remove_backends(&mut self, is_removed: impl Fn(BackendId) -> bool) {
        for entry in self.0.values_mut() {
            entry.endpoint_set.retain(|id| !is_removed(*id));
        }
    }
}
