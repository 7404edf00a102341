//! What a process is told of the shares.

use crate::{Parts, Time, LEASED_PARTS};
use std::net::SocketAddr;
use thiserror::Error;

/// The most founders: two councils of them fit one datagram.
pub const MAX_FOUNDERS: usize = 15;

/// What the shares are divided by, and the times.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The seats from which a council is chosen: the same at every process.
    pub founders: Vec<SocketAddr>,
    /// The most processes that ever run at once.
    pub size: usize,
    /// A steward asks everybody each period.
    pub period: Time,
    /// A vote lasts so long.
    pub vote: Time,
    /// A lease lasts so long.
    pub lease: Time,
    /// The longest time that a call may run: what was leased is in use that much longer.
    pub calls: Time,
    /// How much faster one clock may run than another, in percent.
    pub skew: u64,
    /// What is leased rises by so many steps to what is due.
    pub steps: u64,
}

/// What cannot be.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The founders.
    #[error("founders: {0} seats, 1 to {MAX_FOUNDERS} expected, each once")]
    Founders(usize),
    /// The size.
    #[error("size {0} is below the number of founders, {1}")]
    Size(usize, usize),
    /// A time.
    #[error("{0} {1} is not {2} to {3}")]
    Time(&'static str, Time, Time, Time),
}

impl Settings {
    /// The usual ones: a lease of 3 s, votes of 1.2 s, calls of 2.5 s.
    pub fn with_defaults(mut founders: Vec<SocketAddr>, size: usize) -> Settings {
        founders.sort();
        Settings { founders, size, period: 300, vote: 1200, lease: 3000, calls: 2500, skew: 2, steps: 4 }
    }

    /// Says what cannot be.
    pub fn check(&self) -> Result<(), SettingsError> {
        let once = self.founders.windows(2).all(|pair| pair[0] < pair[1]);
        if !once || !(1..=MAX_FOUNDERS).contains(&self.founders.len()) {
            return Err(SettingsError::Founders(self.founders.len()));
        }
        if self.size < self.founders.len() {
            return Err(SettingsError::Size(self.size, self.founders.len()));
        }
        let within = |field, value, least, most| {
            if (least..=most).contains(&value) {
                Ok(())
            } else {
                Err(SettingsError::Time(field, value, least, most))
            }
        };
        within("period", self.period, 50, 10_000)?;
        within("vote", self.vote, self.period * 2, 60_000)?;
        within("lease", self.lease, self.vote, 120_000)?;
        within("calls", self.calls, 0, 120_000)?;
        within("skew", self.skew, 0, 50)?;
        within("steps", self.steps, 1, 100)
    }

    /// Stands for all that must be the same at every process.
    pub(crate) fn digest(&self) -> u64 {
        let mut hash = xxhash_rust::xxh3::Xxh3Default::new();
        self.founders.iter().for_each(|place| hash.update(place.to_string().as_bytes()));
        let numbers = [self.size as u64, self.vote, self.lease, self.calls, self.skew];
        for number in &numbers {
            hash.update(&number.to_be_bytes());
        }
        hash.digest()
    }

    /// What is always this process's own.
    pub fn base(&self) -> Parts {
        LEASED_PARTS / self.size as Parts
    }

    /// How long another's time must be taken to last here.
    pub(crate) fn stretched(&self, time: Time) -> Time {
        time + time * self.skew / 100 + 1
    }

    /// How long what was leased may be in use.
    pub(crate) fn in_use(&self) -> Time {
        self.stretched(self.lease + self.calls)
    }

    /// Seats that must be among those who decide: one fewer than a fleet can be founded without.
    pub(crate) fn least(&self) -> usize {
        if self.founders.len() >= 3 {
            2
        } else {
            1
        }
    }

    /// Seats that found a fleet anew. All but one, since a view of two may live behind a cut.
    pub(crate) fn founding(&self) -> usize {
        self.founders.len() + 1 - self.least()
    }
}
