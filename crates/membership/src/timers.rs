//! [`Timers`]: timers of any kind, ordered by due time and then by the order in which they were
//! set.

use pinetrail_clock::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// The timers that are set.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    /// The timers by due time and serial number. The serial number keeps timers with the same due
    /// time in the order in which they were set.
    pending: BTreeMap<(Timestamp, u64), T>,
    last_serial: u64,
}

impl<T> Timers<T> {
    /// Creates an empty set of timers.
    pub(crate) fn new() -> Timers<T> {
        Timers { pending: BTreeMap::new(), last_serial: 0 }
    }

    /// Sets a timer that is due at this time.
    pub(crate) fn set(&mut self, at: Timestamp, timer: T) {
        self.last_serial += 1;
        self.pending.insert((at, self.last_serial), timer);
    }

    /// Returns when the first timer is due; `None` if no timer is set.
    pub(crate) fn next(&self) -> Option<Timestamp> {
        self.pending.keys().next().map(|(at, _)| *at)
    }

    /// Removes and returns the first timer, if it is due.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<T> {
        let first = self.pending.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// Postpones all timers by this duration.
    pub(crate) fn postpone_all(&mut self, by: Duration) {
        let before = std::mem::take(&mut self.pending);
        let later = before.into_iter().map(|((at, serial), timer)| ((at + by, serial), timer));
        self.pending = later.collect();
    }

    /// Postpones the selected timers that are due before `at` to that time.
    pub(crate) fn postpone_until(&mut self, at: Timestamp, is_selected: impl Fn(&T) -> bool) {
        let earlier = self.pending.range(..(at, 0));
        let keys: Vec<(Timestamp, u64)> =
            earlier.filter(|(_, timer)| is_selected(timer)).map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(timer) = self.pending.remove(&key) {
                self.pending.insert((at, key.1), timer);
            }
        }
    }

    /// Removes all timers for which `stays` is false.
    pub(crate) fn retain(&mut self, stays: impl Fn(&T) -> bool) {
        self.pending.retain(|_, timer| stays(timer));
    }
}

#[cfg(test)]
mod tests;
