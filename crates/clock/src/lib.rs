//! Defines points in time for the crates that do no I/O. The caller reads a clock and passes the
//! time in as a [`Timestamp`]; spans of time are [`Duration`]s.
//!
//! Each process has a monotonic clock of its own, with an arbitrary origin and a rate that may
//! differ slightly from the rates of other processes' clocks. Therefore timestamps of different
//! processes must never be compared with each other.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// A point in time on one process's clock, in whole milliseconds since the origin of that clock.
///
/// `serde` and `{:?}` both write a timestamp as a plain number of milliseconds.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Creates the point in time that is this many milliseconds after the clock's origin.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis)
    }

    /// Returns the time since the clock's origin in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`; zero if `earlier` is later than this point in time.
    pub const fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Debug for Timestamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    /// Returns the point in time that is later by this duration. Fractions of a millisecond of the
    /// duration are dropped.
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0 + whole_millis(duration))
    }
}

/// Returns the whole milliseconds of a duration; `u64::MAX` if there are more than that.
pub const fn whole_millis(duration: Duration) -> u64 {
    let millis = duration.as_millis();
    if millis > u64::MAX as u128 {
        u64::MAX
    } else {
        millis as u64
    }
}

#[cfg(test)]
mod tests;
