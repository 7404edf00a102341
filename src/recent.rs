//! [`LruTable`]: a bounded table that evicts the least recently used entries. Uses are numbered, so
//! that the table needs no clock.

use std::collections::BTreeMap;

#[derive(Debug, Default)]
struct Entry<V> {
    last_use: u64,
    value: V,
}

/// A table of at most `capacity` entries by key. A full table evicts in batches: all entries that
/// the last `capacity / 2` uses did not touch.
#[derive(Debug)]
pub struct LruTable<K, V> {
    entries: BTreeMap<K, Entry<V>>,
    use_count: u64,
    capacity: usize,
}

impl<K: Copy + Ord, V: Default> LruTable<K, V> {
    /// Creates an empty table of at most `capacity` entries.
    pub fn new(capacity: usize) -> LruTable<K, V> {
        LruTable { entries: BTreeMap::new(), use_count: 0, capacity }
    }

    /// Returns the value of a key, if present, without counting this as a use.
    pub fn get(&self, key: K) -> Option<&V> {
        self.entries.get(&key).map(|entry| &entry.value)
    }

    /// Marks the entry of a key as used and returns its value. Inserts a default value if the key
    /// is missing; if the table is full, first evicts all entries that the last `capacity / 2` uses
    /// did not touch.
    pub fn touch(&mut self, key: K) -> &mut V {
        self.use_count += 1;
        if self.entries.len() >= self.capacity && !self.entries.contains_key(&key) {
            let oldest_kept = self.use_count.saturating_sub(self.capacity as u64 / 2);
            self.entries.retain(|_, entry| entry.last_use > oldest_kept);
        }
        let entry = self.entries.entry(key).or_default();
        entry.last_use = self.use_count;
        &mut entry.value
    }

    /// Returns how many times entries were used in all.
    pub fn use_count(&self) -> u64 {
        self.use_count
    }

    /// Returns the values of all entries.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.entries.values_mut().map(|entry| &mut entry.value)
    }
}
