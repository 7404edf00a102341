//! What a process of the fleet is configured with. Read [`Settings`] first; [`Timing`] has the
//! durations.

use crate::{LeaseExpiryMode, VoterSet};
use pinetrail_peer_transport::Process;
use std::time::Duration;
use thiserror::Error;

/// No clock of a process runs faster than that of another by more than this, in thousandths.
pub(crate) const MAX_CLOCK_SKEW_PERMILLE: u32 = 20;

/// The shortest duration that may be configured.
const SHORTEST: Duration = Duration::from_millis(10);

/// How long everything may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// An admission lease ends so long after it was requested, unless it is renewed.
    pub lease: Duration,
    /// The interval between two requests for a lease.
    pub renewal: Duration,
    /// Processes that are not ready for a change by then get no further lease for the version
    /// before.
    pub readiness: Duration,
    /// If a change has not been committed so long after all were asked to stop admitting, they may
    /// admit again.
    pub closing: Duration,
    /// A change that is open for longer is abandoned.
    pub change: Duration,
    /// A voter answers a request within this time, or not at all.
    pub answer: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lease: Duration::from_millis(2000),
            renewal: Duration::from_millis(500),
            readiness: Duration::from_millis(4000),
            closing: Duration::from_millis(300),
            change: Duration::from_millis(20_000),
            answer: Duration::from_millis(400),
        }
    }
}

/// Why durations cannot be used together.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{key} is too short: {required}")]
pub struct TimingError {
    /// The configuration key of the duration.
    pub key: &'static str,
    /// What its value must be.
    pub required: &'static str,
}

impl Timing {
    /// Checks that the durations can be kept together.
    ///
    /// # Errors
    ///
    /// Names the first duration that is too short.
    pub fn check(&self) -> Result<(), TimingError> {
        require(self.lease >= 3 * self.renewal, "permit_ms", "at least three of renew_ms")?;
        require(self.renewal >= SHORTEST, "renew_ms", "at least 10 ms")?;
        require(self.closing >= SHORTEST, "close_ms", "at least 10 ms")?;
        require(self.answer >= SHORTEST, "answer_ms", "at least 10 ms")?;
        require(self.readiness >= self.renewal, "ready_ms", "at least renew_ms")?;
        let shortest_change = self.lease + self.readiness;
        require(self.change >= shortest_change, "change_ms", "at least permit_ms and ready_ms")
    }

    /// How long a lease counts at the voter that granted it: longer than at its holder, by the
    /// greatest difference of their clocks.
    #[must_use]
    pub fn lease_at_voter(&self) -> Duration {
        self.lease * (1000 + MAX_CLOCK_SKEW_PERMILLE) / 1000 + Duration::from_millis(1)
    }
}

fn require(is_kept: bool, key: &'static str, required: &'static str) -> Result<(), TimingError> {
    if is_kept {
        Ok(())
    } else {
        Err(TimingError { key, required })
    }
}

/// The configuration of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process.
    pub process: Process,
    /// All voters of the fleet.
    pub voters: VoterSet,
    /// The durations.
    pub timing: Timing,
    /// What this process does once its admission lease has ended.
    pub lease_expiry_mode: LeaseExpiryMode,
    /// The policy of this process's own file: it becomes the first version if there is none yet.
    pub initial_policy: String,
    /// Seeds the random numbers of this process.
    pub seed: u64,
}
