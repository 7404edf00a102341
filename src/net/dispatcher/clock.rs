//! [`Clock`]: the process's own Unix time, which is read from the wall clock once and then advanced
//! by the monotonic clock alone.

use super::start_times::ClockReading;
use crate::net::time_limits::{time_span, MS_PER_SECOND};
use crate::time::{TimeSpan, Timestamp};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock of Unix time that can be compared with the start times in discovery's lists, and that
/// never steps back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started: Instant,
    /// The Unix time of the wall clock at `started`.
    started_unix: Timestamp,
}

impl Clock {
    /// Starts a clock at the current Unix time of the wall clock.
    pub(super) fn start() -> Clock {
        Clock { started: Instant::now(), started_unix: wall_clock() }
    }

    /// Returns the Unix time of this clock at `moment`, which may precede the clock's start.
    pub(super) fn at(&self, moment: Instant) -> Timestamp {
        let after = moment.saturating_duration_since(self.started).as_secs_f64();
        let before = self.started.saturating_duration_since(moment).as_secs_f64();
        self.started_unix + TimeSpan::from_ms((after - before) * MS_PER_SECOND)
    }

    /// Reads this clock and the host's wall clock, which may have been set since the start.
    pub(super) fn read(&self) -> ClockReading {
        ClockReading { own: self.now(), wall: wall_clock() }
    }

    /// Returns the current Unix time of this clock.
    pub(super) fn now(&self) -> Timestamp {
        self.started_unix + time_span(self.started.elapsed())
    }
}

/// Reads the host's wall clock as Unix time.
#[allow(clippy::disallowed_methods, reason = "compared with the start times that discovery lists")]
fn wall_clock() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp::ZERO + time_span(since_epoch)
}

#[cfg(test)]
mod tests;
