//! The configuration of a process in policy consensus. Read [`Settings`] first; [`Timing`] has the
//! durations.

use crate::{LeaseExpiryMode, VoterSet};
use pinetrail_peer_transport::Process;
use std::time::Duration;
use thiserror::Error;

/// The greatest relative difference between the clock rates of two processes, in thousandths.
pub(crate) const MAX_CLOCK_SKEW_PERMILLE: u32 = 20;
/// The number of thousandths in 1.
const PERMILLE: u32 = 1000;
/// The allowance in the duration of a lease at its voter, because durations in messages are whole
/// milliseconds.
const LEASE_ROUNDING: Duration = Duration::from_millis(1);
/// The shortest duration that may be configured.
const MIN_DURATION: Duration = Duration::from_millis(10);
/// The minimum number of renewal intervals in a lease, so that one lost renewal does not end the
/// lease.
const MIN_RENEWALS_PER_LEASE: u32 = 3;

/// The durations of policy consensus.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The duration of an admission lease, counted from the request for it. Default: 2 s.
    pub lease_duration: Duration,
    /// The interval between two requests for a lease. Default: 500 ms.
    pub renewal_interval: Duration,
    /// The time in the preparing stage after which processes that are not ready for the change get
    /// no more leases for the active version. Default: 4 s.
    pub readiness_timeout: Duration,
    /// The time in the closing stage after which a change that is not committed returns to
    /// preparing, so that processes admit requests again. Default: 300 ms.
    pub closing_timeout: Duration,
    /// The time after which a change that is still open is abandoned. Default: 20 s.
    pub change_timeout: Duration,
    /// The timeout of a request to a voter. Default: 400 ms.
    pub request_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lease_duration: Duration::from_millis(2000),
            renewal_interval: Duration::from_millis(500),
            readiness_timeout: Duration::from_millis(4000),
            closing_timeout: Duration::from_millis(300),
            change_timeout: Duration::from_millis(20_000),
            request_timeout: Duration::from_millis(400),
        }
    }
}

/// A configured duration that is too short.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{key} is too short: {required}")]
pub struct TimingError {
    /// The configuration key of the duration.
    pub key: &'static str,
    /// The condition that the duration must meet.
    pub required: &'static str,
}

impl Timing {
    /// Checks that each duration is long enough, also in relation to the others.
    ///
    /// # Errors
    ///
    /// The first duration that is too short.
    pub fn check(&self) -> Result<(), TimingError> {
        require(
            self.lease_duration >= MIN_RENEWALS_PER_LEASE * self.renewal_interval,
            "permit_ms",
            "at least three of renew_ms",
        )?;
        require(self.renewal_interval >= MIN_DURATION, "renew_ms", "at least 10 ms")?;
        require(self.closing_timeout >= MIN_DURATION, "close_ms", "at least 10 ms")?;
        require(self.request_timeout >= MIN_DURATION, "answer_ms", "at least 10 ms")?;
        require(self.readiness_timeout >= self.renewal_interval, "ready_ms", "at least renew_ms")?;
        let shortest_change = self.lease_duration + self.readiness_timeout;
        require(self.change_timeout >= shortest_change, "change_ms", "at least permit_ms + ready_ms")
    }

    /// Returns the duration of a lease at the voter that granted it, which is longer than at the
    /// holder by the greatest difference between the rates of their clocks.
    #[must_use]
    pub fn lease_at_voter(&self) -> Duration {
        self.lease_duration * (PERMILLE + MAX_CLOCK_SKEW_PERMILLE) / PERMILLE + LEASE_ROUNDING
    }
}

fn require(is_met: bool, key: &'static str, required: &'static str) -> Result<(), TimingError> {
    if is_met {
        Ok(())
    } else {
        Err(TimingError { key, required })
    }
}

/// The configuration of one process in policy consensus.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name and the start of this process.
    pub process: Process,
    /// All voters of the fleet.
    pub voters: VoterSet,
    /// The timeouts, intervals and durations.
    pub timing: Timing,
    /// The behaviour of this process after its admission lease has expired.
    pub lease_expiry_mode: LeaseExpiryMode,
    /// The policy in this process's own file, which becomes the first version of a new fleet.
    pub initial_policy: String,
    /// The seed for the random numbers of this process.
    pub seed: u64,
}
