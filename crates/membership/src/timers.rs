//! What is due when, in the order of time and then of setting.

use crate::Time;
use std::collections::BTreeMap;

/// Timers that are set.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    set: BTreeMap<(Time, u64), T>,
    count: u64,
}

impl<T> Timers<T> {
    /// None is set.
    pub(crate) fn new() -> Timers<T> {
        Timers { set: BTreeMap::new(), count: 0 }
    }

    /// Sets one.
    pub(crate) fn set(&mut self, at: Time, what: T) {
        self.count += 1;
        self.set.insert((at, self.count), what);
    }

    /// When the next is due.
    pub(crate) fn next(&self) -> Option<Time> {
        self.set.keys().next().map(|(at, _)| *at)
    }

    /// Takes one that is due.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<T> {
        let first = self.set.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// Puts all off.
    pub(crate) fn postpone_all(&mut self, by: Time) {
        let before = std::mem::take(&mut self.set);
        self.set = before.into_iter().map(|((at, count), what)| ((at + by, count), what)).collect();
    }

    /// Has some be due at a time at the earliest.
    pub(crate) fn postpone_until(&mut self, at: Time, which: impl Fn(&T) -> bool) {
        let early: Vec<(Time, u64)> =
            self.set.range(..(at, 0)).filter(|(_, what)| which(what)).map(|(key, _)| *key).collect();
        for key in early {
            if let Some(what) = self.set.remove(&key) {
                self.set.insert((at, key.1), what);
            }
        }
    }

    /// Forgets those that are not to stay.
    pub(crate) fn retain(&mut self, stays: impl Fn(&T) -> bool) {
        self.set.retain(|_, what| stays(what));
    }
}

#[cfg(test)]
mod tests;
