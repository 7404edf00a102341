//! [`Clock`]: the proxy's one clock of wall time. Unix time is read once, then moved on by the
//! monotonic clock alone.

use super::start_times::ClockReading;
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
        Clock { started: Instant::now(), started_unix_ms: wall_clock_ms() }
    }

    /// What it shows at a moment, or showed if the moment is before its start; Unix time in ms.
    pub(super) fn at(&self, moment: Instant) -> Time {
        let after = moment.saturating_duration_since(self.started).as_secs_f64();
        let before = self.started.saturating_duration_since(moment).as_secs_f64();
        self.started_unix_ms + (after - before) * 1000.0
    }

    /// This clock and the host's wall clock, which may have been set since the start.
    pub(super) fn read(&self) -> ClockReading {
        ClockReading { own: self.now(), wall: wall_clock_ms() }
    }

    /// Unix time in ms.
    pub(super) fn now(&self) -> Time {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }
}

/// The host's wall clock in Unix ms.
#[allow(clippy::disallowed_methods, reason = "compared with the start times that discovery tells")]
fn wall_clock_ms() -> Time {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

#[cfg(test)]
mod tests;
