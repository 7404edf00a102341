//! The proxy's one clock: Unix time, read once, then moved on by the monotonic clock alone.

use crate::interface::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock whose time compares with discovery's start times and never steps back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    unix_ms: Time,
}

impl Clock {
    /// Reads the Unix time, once.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { anchor: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    /// What it shows, or showed, at a moment.
    pub fn at(&self, moment: Instant) -> Time {
        let after = moment.saturating_duration_since(self.anchor).as_secs_f64();
        let before = self.anchor.saturating_duration_since(moment).as_secs_f64();
        self.unix_ms + (after - before) * 1000.0
    }

    /// Unix time in ms.
    pub fn now(&self) -> Time {
        self.unix_ms + self.anchor.elapsed().as_secs_f64() * 1000.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn a_moment_is_shown_as_it_was_however_late_it_is_looked_up() {
        let clock = Clock::start();
        let shown = |moment| (clock.at(moment) - clock.unix_ms).round();
        assert_eq!(shown(clock.anchor + Duration::from_millis(250)), 250.0);
        let before = clock.anchor.checked_sub(Duration::from_millis(40));
        assert!(before.is_none_or(|before| shown(before) == -40.0));
    }
}
