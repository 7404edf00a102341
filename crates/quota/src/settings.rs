//! The settings of the quota: [`Settings`], which hold the possible voters, the maximum number of
//! processes, and the durations of votes and leases.

use crate::{Parts, LEASABLE_PARTS};
use pinetrail_clock::whole_millis;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// The maximum number of founders: two views with that many voters fit into one datagram.
pub const MAX_FOUNDERS: usize = 15;

const DEFAULT_HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);
const DEFAULT_VOTE_DURATION: Duration = Duration::from_millis(1200);
const DEFAULT_LEASE_DURATION: Duration = Duration::from_millis(3000);
const DEFAULT_MAX_ATTEMPT_DURATION: Duration = Duration::from_millis(2500);
const DEFAULT_SKEW_PERCENT: u64 = 2;
const DEFAULT_GROWTH_STEPS: u64 = 4;

const HEARTBEAT_PERIOD_RANGE_MS: RangeInclusive<u64> = 50..=10_000;
/// The minimum duration of a vote in heartbeat periods, so that the loss of one heartbeat does not
/// end a vote.
const MIN_HEARTBEATS_PER_VOTE: u64 = 2;
const MAX_VOTE_DURATION_MS: u64 = 60_000;
const MAX_LEASE_DURATION_MS: u64 = 120_000;
const ATTEMPT_DURATION_RANGE_MS: RangeInclusive<u64> = 0..=120_000;
const SKEW_RANGE_PERCENT: RangeInclusive<u64> = 0..=50;
const GROWTH_STEPS_RANGE: RangeInclusive<u64> = 1..=100;

/// The allowance, in ms, for fractions of a millisecond, which [`Settings::with_skew`] drops.
const ROUNDING_ALLOWANCE_MS: u64 = 1;
/// The number of founders from which a quorum has at least two voters.
const MIN_FOUNDERS_FOR_TWO_VOTERS: usize = 3;

/// The division of the quota, and the durations of votes, leases and attempts. All processes of a
/// fleet must have equal settings, except for `heartbeat_period` and `growth_steps`. Durations
/// count in whole milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The addresses of the processes that may be voters, sorted.
    pub founders: Vec<SocketAddr>,
    /// The maximum number of processes that run at the same time.
    pub size: usize,
    /// The period in which a leader sends its vote requests, which are its heartbeats.
    pub heartbeat_period: Duration,
    /// The duration of a vote.
    pub vote_duration: Duration,
    /// The duration of a lease.
    pub lease_duration: Duration,
    /// The maximum duration of an attempt, for which leased parts stay in use after the lease.
    pub max_attempt_duration: Duration,
    /// The maximum by which one clock may run faster than another, in percent.
    pub skew_percent: u64,
    /// The number of steps in which a lease grows from 0 to an equal part of [`LEASABLE_PARTS`].
    pub growth_steps: u64,
}

/// The reasons why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The founders are too few or too many, are not sorted, or one of them is listed twice. Golden
    /// tests record the error text, in which "seats" are the addresses of founders.
    #[error("founders: {count} seats, 1 to {MAX_FOUNDERS} expected, each once")]
    InvalidFounders {
        /// The number of founders.
        count: usize,
    },
    /// The maximum number of processes is below the number of founders.
    #[error("size {size} is below the number of founders, {founders}")]
    SizeBelowFounders {
        /// The maximum number of processes that run at the same time.
        size: usize,
        /// The number of founders.
        founders: usize,
    },
    /// A number is outside its range.
    #[error("{setting} {value} is not {least} to {most}")]
    OutOfRange {
        /// The key of the setting in the configuration, or its name if no key sets it.
        setting: &'static str,
        /// The value of the setting; in milliseconds if it is a duration.
        value: u64,
        /// The minimum value.
        least: u64,
        /// The maximum value.
        most: u64,
    },
}

impl Settings {
    /// Returns settings with the default durations: leases of 3 s, votes of 1.2 s, heartbeats every
    /// 300 ms, attempts of at most 2.5 s, a clock skew of 2 percent, and growth in 4 steps.
    pub fn with_defaults(mut founders: Vec<SocketAddr>, size: usize) -> Settings {
        founders.sort();
        Settings {
            founders,
            size,
            heartbeat_period: DEFAULT_HEARTBEAT_PERIOD,
            vote_duration: DEFAULT_VOTE_DURATION,
            lease_duration: DEFAULT_LEASE_DURATION,
            max_attempt_duration: DEFAULT_MAX_ATTEMPT_DURATION,
            skew_percent: DEFAULT_SKEW_PERCENT,
            growth_steps: DEFAULT_GROWTH_STEPS,
        }
    }

    /// Checks that each setting is valid, also in relation to the others.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] for the first setting that is invalid.
    pub fn check(&self) -> Result<(), SettingsError> {
        let count = self.founders.len();
        let is_sorted_set = self.founders.windows(2).all(|pair| pair[0] < pair[1]);
        if !is_sorted_set || !(1..=MAX_FOUNDERS).contains(&count) {
            return Err(SettingsError::InvalidFounders { count });
        }
        if self.size < count {
            return Err(SettingsError::SizeBelowFounders { size: self.size, founders: count });
        }
        let heartbeat_ms = whole_millis(self.heartbeat_period);
        let vote_ms = whole_millis(self.vote_duration);
        let lease_ms = whole_millis(self.lease_duration);
        let attempt_ms = whole_millis(self.max_attempt_duration);
        check_range("ask_ms", heartbeat_ms, HEARTBEAT_PERIOD_RANGE_MS)?;
        check_range("vote_ms", vote_ms, heartbeat_ms * MIN_HEARTBEATS_PER_VOTE..=MAX_VOTE_DURATION_MS)?;
        check_range("lease_ms", lease_ms, vote_ms..=MAX_LEASE_DURATION_MS)?;
        check_range("call_ms", attempt_ms, ATTEMPT_DURATION_RANGE_MS)?;
        check_range("skew_percent", self.skew_percent, SKEW_RANGE_PERCENT)?;
        check_range("growth_steps", self.growth_steps, GROWTH_STEPS_RANGE)
    }

    /// Returns a digest of the settings that must be the same at every process.
    pub(crate) fn digest(&self) -> u64 {
        let mut hash = xxhash_rust::xxh3::Xxh3Default::new();
        for founder in &self.founders {
            hash.update(founder.to_string().as_bytes());
        }
        let numbers = [
            self.size as u64,
            whole_millis(self.vote_duration),
            whole_millis(self.lease_duration),
            whole_millis(self.max_attempt_duration),
            self.skew_percent,
        ];
        for number in &numbers {
            hash.update(&number.to_be_bytes());
        }
        hash.digest()
    }

    /// Returns the parts that each process may use without a lease.
    pub fn guaranteed_minimum(&self) -> Parts {
        LEASABLE_PARTS / self.size as Parts
    }

    /// Returns the longest time that a duration on another process's clock may take on this one's.
    pub(crate) fn with_skew(&self, duration: Duration) -> Duration {
        let millis = whole_millis(duration);
        let skew_ms = millis * self.skew_percent / 100;
        Duration::from_millis(millis + skew_ms + ROUNDING_ALLOWANCE_MS)
    }

    /// Returns the maximum time for which parts may be in use after they were leased: the duration
    /// of the lease and of an attempt that begins at its end, with the clock skew.
    pub(crate) fn max_use_duration(&self) -> Duration {
        self.with_skew(self.lease_duration + self.max_attempt_duration)
    }

    /// Returns whether an address is that of a founder.
    pub(crate) fn is_founder(&self, address: &SocketAddr) -> bool {
        self.founders.binary_search(address).is_ok()
    }

    /// Returns the minimum size of a quorum: 1 with up to two founders, 2 with three and more. A
    /// fleet can be founded while one founder fewer than that is missing.
    pub(crate) fn min_quorum(&self) -> usize {
        if self.founders.len() >= MIN_FOUNDERS_FOR_TWO_VOTERS {
            2
        } else {
            1
        }
    }

    /// Returns the size of the quorum for the first view: the number of founders that must agree to
    /// found a fleet.
    ///
    /// Inputs: the number of founders.
    /// Reason: with three founders or more all but one are needed. A view of two voters may still
    /// exist behind a partition, and at least one of the two is then among those that must agree.
    /// Source: Lamport 1998 (any two quorums intersect).
    pub(crate) fn founding_quorum(&self) -> usize {
        self.founders.len() + 1 - self.min_quorum()
    }
}

fn check_range(setting: &'static str, value: u64, range: RangeInclusive<u64>) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    let (least, most) = range.into_inner();
    Err(SettingsError::OutOfRange { setting, value, least, most })
}
