//! [`Settings`]: who may vote, how many processes may run, and the times of votes and leases.

use crate::{Parts, Time, LEASED_PARTS};
use std::net::SocketAddr;
use thiserror::Error;

/// The most founders: two views with that many voters fit one datagram.
pub const MAX_FOUNDERS: usize = 15;

/// How the quota is divided, and the times. All processes of a fleet must have equal settings,
/// except for `heartbeat_period` and `growth_steps`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The addresses from which voters are chosen, sorted: the same at every process.
    pub founders: Vec<SocketAddr>,
    /// The most processes that ever run at once.
    pub size: usize,
    /// The leader sends its vote requests once in this time, in ms. They are its heartbeat.
    pub heartbeat_period: Time,
    /// How long a vote lasts, in ms.
    pub vote_duration: Time,
    /// How long a lease lasts, in ms.
    pub lease_duration: Time,
    /// The longest time that a call may run, in ms: leased parts stay in use that much longer.
    pub longest_call: Time,
    /// How much faster one clock may run than another, in percent.
    pub skew_percent: u64,
    /// In how many steps a lease grows from nothing to an equal part of all that is leased.
    pub growth_steps: u64,
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Too few or too many founders, or not sorted, or one of them twice. The text is recorded by
    /// golden tests, with its older word for the addresses of founders.
    #[error("founders: {count} seats, 1 to {MAX_FOUNDERS} expected, each once")]
    Founders {
        /// How many there are.
        count: usize,
    },
    /// There are more founders than processes.
    #[error("size {size} is below the number of founders, {founders}")]
    Size {
        /// The most processes that may run at once.
        size: usize,
        /// How many founders there are.
        founders: usize,
    },
    /// A number is outside its range.
    #[error("{setting} {value} is not {least} to {most}")]
    OutOfRange {
        /// The name of the setting.
        setting: &'static str,
        /// Its value.
        value: u64,
        /// The least value that is allowed.
        least: u64,
        /// The greatest value that is allowed.
        most: u64,
    },
}

impl Settings {
    /// The defaults: leases of 3 s, votes of 1.2 s, calls of at most 2.5 s.
    pub fn with_defaults(mut founders: Vec<SocketAddr>, size: usize) -> Settings {
        founders.sort();
        Settings {
            founders,
            size,
            heartbeat_period: 300,
            vote_duration: 1200,
            lease_duration: 3000,
            longest_call: 2500,
            skew_percent: 2,
            growth_steps: 4,
        }
    }

    /// Checks that the settings can work together.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first setting that is invalid.
    pub fn check(&self) -> Result<(), SettingsError> {
        let count = self.founders.len();
        let is_sorted_set = self.founders.windows(2).all(|pair| pair[0] < pair[1]);
        if !is_sorted_set || !(1..=MAX_FOUNDERS).contains(&count) {
            return Err(SettingsError::Founders { count });
        }
        if self.size < count {
            return Err(SettingsError::Size { size: self.size, founders: count });
        }
        check_range("period", self.heartbeat_period, 50, 10_000)?;
        check_range("vote", self.vote_duration, self.heartbeat_period * 2, 60_000)?;
        check_range("lease", self.lease_duration, self.vote_duration, 120_000)?;
        check_range("calls", self.longest_call, 0, 120_000)?;
        check_range("skew", self.skew_percent, 0, 50)?;
        check_range("steps", self.growth_steps, 1, 100)
    }

    /// A digest of all that must be the same at every process.
    pub(crate) fn digest(&self) -> u64 {
        let mut hash = xxhash_rust::xxh3::Xxh3Default::new();
        for founder in &self.founders {
            hash.update(founder.to_string().as_bytes());
        }
        let numbers =
            [self.size as u64, self.vote_duration, self.lease_duration, self.longest_call, self.skew_percent];
        for number in &numbers {
            hash.update(&number.to_be_bytes());
        }
        hash.digest()
    }

    /// The parts that are always each process's own.
    pub fn guaranteed_minimum(&self) -> Parts {
        LEASED_PARTS / self.size as Parts
    }

    /// How long a duration on another process's clock may last on this one.
    pub(crate) fn with_skew(&self, duration: Time) -> Time {
        duration + duration * self.skew_percent / 100 + 1
    }

    /// How long parts may be in use after they were leased: the lease, and then the last calls.
    pub(crate) fn longest_use(&self) -> Time {
        self.with_skew(self.lease_duration + self.longest_call)
    }

    /// The fewest voters that may decide: one more than founders that may be missing when a fleet
    /// is founded.
    pub(crate) fn min_quorum(&self) -> usize {
        if self.founders.len() >= 3 {
            2
        } else {
            1
        }
    }

    /// How many founders can found a fleet. All but one, since a view of two voters may live on
    /// behind a partition.
    pub(crate) fn founding_quorum(&self) -> usize {
        self.founders.len() + 1 - self.min_quorum()
    }
}

fn check_range(setting: &'static str, value: u64, least: u64, most: u64) -> Result<(), SettingsError> {
    if (least..=most).contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange { setting, value, least, most })
    }
}
