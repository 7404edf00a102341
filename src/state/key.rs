//! What is known of a key: the set of backends that serve it, and how often it is requested.

use crate::interface::{BackendId, Key};
use crate::recent::LruTable;
use crate::time::Timestamp;

/// The most keys that are remembered at a time.
const MAX_KEYS: usize = 1 << 16;
/// Added to the count of all requests, which keeps the fraction of a key small while few requests
/// are counted.
const TOTAL_PSEUDOCOUNT: f64 = 2.0;

/// What is known of a key.
#[derive(Debug, Default)]
pub(crate) struct KeyEntry {
    /// Whether its values are among the largest.
    pub(crate) is_large: bool,
    /// The set of backends that serve it.
    pub(crate) endpoint_set: Vec<BackendId>,
    /// When the set last changed.
    pub(crate) last_change: Timestamp,
    /// Requests for it since the entry was made.
    pub(crate) requests: f64,
}

impl KeyEntry {
    /// Adds a backend to the set, or drops one, or both. Nothing changes where the added one is in
    /// the set and none is dropped.
    pub(crate) fn change_set(&mut self, added: BackendId, dropped: Option<BackendId>, now: Timestamp) {
        if dropped.is_some() || !self.endpoint_set.contains(&added) {
            self.endpoint_set.retain(|id| Some(*id) != dropped && *id != added);
            self.endpoint_set.push(added);
            self.last_change = now;
        }
    }
}

/// How often a key was requested, among all counted requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyFrequency {
    /// Counted requests for the key.
    pub(crate) requests: f64,
    /// Counted requests for all keys, and two more.
    pub(crate) total: f64,
}

/// The keys used most recently.
#[derive(Debug)]
pub(crate) struct KeyTable(LruTable<Key, KeyEntry>);

impl KeyTable {
    /// A table without keys.
    pub(crate) fn new() -> KeyTable {
        KeyTable(LruTable::new(MAX_KEYS))
    }

    /// What is known of a key.
    pub(crate) fn get(&self, key: Key) -> Option<&KeyEntry> {
        self.0.get(key)
    }

    /// The entry of a key, which is made if there is none, and counts as used now.
    pub(crate) fn touch(&mut self, key: Key) -> &mut KeyEntry {
        self.0.touch(key)
    }

    /// How often a key was requested.
    pub(crate) fn frequency(&self, key: Key) -> KeyFrequency {
        KeyFrequency {
            requests: self.get(key).map_or(0.0, |entry| entry.requests),
            total: self.0.use_count() as f64 + TOTAL_PSEUDOCOUNT,
        }
    }

    /// Takes backends out of the sets of all keys.
    pub(crate) fn remove_backends(&mut self, is_removed: impl Fn(BackendId) -> bool) {
        for entry in self.0.values_mut() {
            entry.endpoint_set.retain(|id| !is_removed(*id));
        }
    }
}
