//! [`Recent`], a table of a bounded number of entries: those used longest ago go. Each use is
//! numbered, so that no clock is needed.

use std::collections::BTreeMap;

/// Entries by key.
#[derive(Debug)]
pub struct Recent<V> {
    /// Each with the number of its last use.
    entries: BTreeMap<u64, (u64, V)>,
    uses: u64,
    most: usize,
}

impl<V: Default> Recent<V> {
    /// An empty table of so many entries at the most.
    pub fn new(most: usize) -> Recent<V> {
        Recent { entries: BTreeMap::new(), uses: 0, most }
    }

    /// The entry of a key, if there is one.
    pub fn get(&self, key: u64) -> Option<&V> {
        self.entries.get(&key).map(|(_, entry)| entry)
    }

    /// Uses the entry of a key, which is made if there is none.
    pub fn touch(&mut self, key: u64) -> &mut V {
        self.uses += 1;
        if self.entries.len() >= self.most && !self.entries.contains_key(&key) {
            let recent = self.uses.saturating_sub(self.most as u64 / 2);
            self.entries.retain(|_, (used, _)| *used > recent);
        }
        let (used, entry) = self.entries.entry(key).or_default();
        *used = self.uses;
        entry
    }

    /// How often any entry was used.
    pub fn uses(&self) -> u64 {
        self.uses
    }

    /// All entries.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.entries.values_mut().map(|(_, entry)| entry)
    }
}
