//! [`LruTable`], a table of a bounded number of entries: those used longest ago are removed. Each use
//! is numbered, so that no clock is needed.

use std::collections::BTreeMap;

#[derive(Debug, Default)]
struct Entry<V> {
    last_use: u64,
    value: V,
}

/// Entries by key, the recently used ones only.
#[derive(Debug)]
pub struct LruTable<K, V> {
    entries: BTreeMap<K, Entry<V>>,
    use_count: u64,
    capacity: usize,
}

impl<K: Copy + Ord, V: Default> LruTable<K, V> {
    /// An empty table of at most `capacity` entries.
    pub fn new(capacity: usize) -> LruTable<K, V> {
        LruTable { entries: BTreeMap::new(), use_count: 0, capacity }
    }

    /// The entry of a key, if there is one.
    pub fn get(&self, key: K) -> Option<&V> {
        self.entries.get(&key).map(|entry| &entry.value)
    }

    /// Uses the entry of a key, which is made if there is none. If the table is full, the entries
    /// that were not used lately are removed: those that the last `capacity / 2` uses left out.
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

    /// How often any entry was used.
    pub fn use_count(&self) -> u64 {
        self.use_count
    }

    /// All entries.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.entries.values_mut().map(|entry| &mut entry.value)
    }
}
