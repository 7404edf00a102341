//! The proxy's one clock: Unix time, read once, then moved on by the monotonic clock alone.

use crate::interface::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock whose time compares with discovery's start times and never steps back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    anchor: Instant,
    unix_ms: Time,
}

impl Clock {
    /// Reads the Unix time, once.
    pub(super) fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { anchor: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    /// What it shows, or showed, at a moment.
    pub(super) fn at(&self, moment: Instant) -> Time {
        let after = moment.saturating_duration_since(self.anchor).as_secs_f64();
        let before = self.anchor.saturating_duration_since(moment).as_secs_f64();
        self.unix_ms + (after - before) * 1000.0
    }

    /// Unix time in ms.
    pub(super) fn now(&self) -> Time {
        self.unix_ms + self.anchor.elapsed().as_secs_f64() * 1000.0
    }
}

#[cfg(test)]
mod tests;
