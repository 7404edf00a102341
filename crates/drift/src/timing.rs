//! The clock of the detector ([`Timestamp`]) and its periods ([`Timing`]).

use std::time::Duration;

/// A moment, in whole milliseconds, on a clock that only goes forward. The caller chooses where the
/// clock begins; timestamps of different processes have nothing in common.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The moment so many milliseconds after the clock's beginning.
    pub fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis)
    }

    /// Milliseconds since the clock's beginning.
    pub fn as_millis(self) -> u64 {
        self.0
    }

    /// The time from an earlier moment to this one; zero if that one is later.
    pub fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// After which times the state of a process changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// A process without a report for this long is silent.
    pub silence_timeout: Duration,
    /// After an approval every process must have the version active within this time; until then
    /// another version is a change under way, and no drift.
    pub settling_time: Duration,
    /// Drift that lasts this long is an alarm.
    pub alarm_delay: Duration,
    /// After an alarm a process must be without drift for this long before it can raise another.
    pub recovery_time: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            silence_timeout: Duration::from_millis(1600),
            settling_time: Duration::from_millis(1000),
            alarm_delay: Duration::from_millis(500),
            recovery_time: Duration::from_millis(5000),
        }
    }
}
