//! What a process is told.

use pinetrail_peer_transport::Process;
use std::time::Duration;
use thiserror::Error;

/// No clock of two processes runs faster than the other's by more than this, in thousandths.
pub(crate) const MAX_CLOCK_SKEW_PERMILLE: u32 = 20;

/// The seats of the founders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterSet(pub u8);

impl VoterSet {
    /// So many are a majority.
    pub fn majority(self) -> usize {
        usize::from(self.0) / 2 + 1
    }

    /// So many at the least are in every majority's way: without them no majority exists.
    pub fn blocking(self) -> usize {
        usize::from(self.0) + 1 - self.majority()
    }
}

/// Within which times what is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// A permit ends so long after it was asked for, unless renewed.
    pub permit: Duration,
    /// Permits are asked for anew so often.
    pub renew: Duration,
    /// Who is not ready for a change by then gets no further permit for the version before.
    pub ready: Duration,
    /// If a change is not taken so long after all have been asked to stop admitting, they may again.
    pub close: Duration,
    /// A change that is open for longer is abandoned.
    pub change: Duration,
    /// One question to a founder is answered within this, or not at all.
    pub answer: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        let ms = Duration::from_millis;
        Timing {
            permit: ms(2000),
            renew: ms(500),
            ready: ms(4000),
            close: ms(300),
            change: ms(20_000),
            answer: ms(400),
        }
    }
}

/// What is wrong with what it is told.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// A time is too short.
    #[error("{0} is too short: {1}")]
    Short(&'static str, &'static str),
    /// There are no seats, or too many.
    #[error("1 to 15 founders are needed")]
    VoterSet,
}

impl Timing {
    /// Whether they can be kept.
    pub fn check(&self) -> Result<(), SettingsError> {
        let least = Duration::from_millis(10);
        let wanted = [
            ("permit_ms", self.permit >= 3 * self.renew, "at least three of renew_ms"),
            ("renew_ms", self.renew >= least, "at least 10 ms"),
            ("close_ms", self.close >= least, "at least 10 ms"),
            ("answer_ms", self.answer >= least, "at least 10 ms"),
            ("ready_ms", self.ready >= self.renew, "at least renew_ms"),
            ("change_ms", self.change >= self.permit + self.ready, "at least permit_ms and ready_ms"),
        ];
        let short = wanted.into_iter().find(|(_, holds, _)| !holds);
        short.map_or(Ok(()), |(name, _, wanted)| Err(SettingsError::Short(name, wanted)))
    }

    /// How long a permit counts at who gave it: longer than at its holder, by the bound on clocks.
    pub fn counted(&self) -> Duration {
        self.permit * (1000 + MAX_CLOCK_SKEW_PERMILLE) / 1000 + Duration::from_millis(1)
    }
}

/// All that a process is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process.
    pub process: Process,
    /// Founders in all.
    pub voters: VoterSet,
    /// The times.
    pub timing: Timing,
    /// Whether it serves on with the last version once its permit has ended.
    pub lease_expiry_mode: crate::LeaseExpiryMode,
    /// What its own file says: the first version, if there is none yet.
    pub initial_policy: String,
    /// For random numbers.
    pub seed: u64,
}

#[cfg(test)]
mod tests;
