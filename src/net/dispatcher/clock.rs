//! [`Clock`]: the proxy's one clock of wall time. Unix time is read once, then moved on by the
//! monotonic clock alone.

use crate::interface::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock whose time compares with discovery's start times and never steps back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started: Instant,
    /// The Unix time at `started`.
    started_unix_ms: Time,
}

impl Clock {
    /// Reads the Unix time, once.
    pub(super) fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    /// What it shows at a moment, or showed if the moment is before its start; Unix time in ms.
    pub(super) fn at(&self, moment: Instant) -> Time {
        let after = moment.saturating_duration_since(self.started).as_secs_f64();
        let before = self.started.saturating_duration_since(moment).as_secs_f64();
        self.started_unix_ms + (after - before) * 1000.0
    }

    /// Unix time in ms.
    pub(super) fn now(&self) -> Time {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }
}

#[cfg(test)]
mod tests;
