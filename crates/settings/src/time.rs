//! Defines the decision module's points in time and lengths of time, in milliseconds on a monotonic
//! clock of the caller. Read [`Timestamp`] first.
//!
//! Both types wrap an `f64`, since the simulator and the settings state times as `f64` numbers.
//! Sockets and timers use [`std::time`]; the dispatcher converts between the two.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Div, Mul, Sub};

/// A point in time, in ms since an origin that the caller chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(f64);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Timestamp = Timestamp(0.0);
    /// A point in time before every other.
    pub const DISTANT_PAST: Timestamp = Timestamp(f64::MIN);
    /// A point in time after every other.
    pub const NEVER: Timestamp = Timestamp(f64::MAX);

    /// Creates the point in time that is this many ms after the origin.
    #[inline]
    pub const fn from_ms(ms: f64) -> Timestamp {
        Timestamp(ms)
    }

    /// Returns the time since the origin in ms.
    #[inline]
    pub const fn as_ms(self) -> f64 {
        self.0
    }

    /// Returns the earlier of two points in time.
    #[inline]
    #[must_use]
    pub fn min(self, other: Timestamp) -> Timestamp {
        Timestamp(self.0.min(other.0))
    }

    /// Returns the later of two points in time.
    #[inline]
    #[must_use]
    pub fn max(self, other: Timestamp) -> Timestamp {
        Timestamp(self.0.max(other.0))
    }
}

impl Add<TimeSpan> for Timestamp {
    type Output = Timestamp;

    #[inline]
    fn add(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0 + span.0)
    }
}

impl Sub<TimeSpan> for Timestamp {
    type Output = Timestamp;

    #[inline]
    fn sub(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0 - span.0)
    }
}

impl Sub for Timestamp {
    type Output = TimeSpan;

    #[inline]
    fn sub(self, earlier: Timestamp) -> TimeSpan {
        TimeSpan(self.0 - earlier.0)
    }
}

/// A length of time, in ms. A value that comes from a caller may be negative, infinite or NaN.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Deserialize)]
#[serde(transparent)]
pub struct TimeSpan(f64);

impl TimeSpan {
    /// The length of time zero.
    pub const ZERO: TimeSpan = TimeSpan(0.0);
    /// The longest finite length of time.
    pub const MAX: TimeSpan = TimeSpan(f64::MAX);

    /// Creates a length of time from its number of ms.
    #[inline]
    pub const fn from_ms(ms: f64) -> TimeSpan {
        TimeSpan(ms)
    }

    /// Returns the length of time in ms.
    #[inline]
    pub const fn as_ms(self) -> f64 {
        self.0
    }

    /// Returns the shorter of two lengths of time; if one is NaN, returns the other.
    #[inline]
    #[must_use]
    pub fn min(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.min(other.0))
    }

    /// Returns the longer of two lengths of time; if one is NaN, returns the other.
    #[inline]
    #[must_use]
    pub fn max(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.max(other.0))
    }

    /// Returns whether the length of time is neither infinite nor NaN.
    #[inline]
    pub fn is_finite(self) -> bool {
        self.0.is_finite()
    }
}

impl Add for TimeSpan {
    type Output = TimeSpan;

    #[inline]
    fn add(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0 + other.0)
    }
}

impl Sub for TimeSpan {
    type Output = TimeSpan;

    #[inline]
    fn sub(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0 - other.0)
    }
}

impl Mul<f64> for TimeSpan {
    type Output = TimeSpan;

    #[inline]
    fn mul(self, factor: f64) -> TimeSpan {
        TimeSpan(self.0 * factor)
    }
}

impl Div<f64> for TimeSpan {
    type Output = TimeSpan;

    #[inline]
    fn div(self, divisor: f64) -> TimeSpan {
        TimeSpan(self.0 / divisor)
    }
}

/// The ratio of two lengths of time.
impl Div for TimeSpan {
    type Output = f64;

    #[inline]
    fn div(self, divisor: TimeSpan) -> f64 {
        self.0 / divisor.0
    }
}
