//! What is known of one backend, which is a cache node or the origin.

use super::MovingAverage;
use crate::interface::{Member, RequestId, ServerId, State, Time};
use std::collections::BTreeSet;

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// The request.
    pub(crate) request: RequestId,
    /// The attempt's number, counted from 0 in order of sending.
    pub(crate) number: u8,
}

/// What is known of one process of a backend.
#[derive(Debug, Default)]
pub(crate) struct BackendState {
    /// What the list of backends says of it.
    pub(crate) member: Member,
    /// This proxy's attempts in flight at this process.
    pub(crate) in_flight: BTreeSet<AttemptId>,
    /// Most attempts in flight; additive increase, multiplicative decrease (AIMD).
    pub(crate) concurrency_limit: f64,
    /// When the limit was last decreased.
    pub(crate) last_decrease: Time,
    /// Share of recent attempts that were slow.
    pub(crate) slow_average: MovingAverage,
    /// Share of recent attempts that failed.
    pub(crate) failure_average: MovingAverage,
    /// When an outlier, or who is ejected, may be tried again by a single attempt.
    pub(crate) next_trial: Time,
    /// How long the last ejection was, in ms; 0 once a connection came about.
    pub(crate) ejection_time: Time,
    /// Until when it is ejected since no connection came about.
    pub(crate) ejected_until: Time,
}

impl BackendState {
    /// A backend of which nothing is known but its limit.
    pub(crate) fn with_limit(concurrency_limit: f64) -> BackendState {
        BackendState { concurrency_limit, ..BackendState::default() }
    }

    /// Its name.
    pub(crate) fn id(&self) -> ServerId {
        self.member.server
    }

    /// Increases the concurrency limit by one for about as many attempts as it allows at once.
    pub(crate) fn increase_limit(&mut self) {
        self.concurrency_limit += 1.0 / self.concurrency_limit;
    }

    /// Decreases the concurrency limit; it stays at least 1.
    pub(crate) fn decrease_limit(&mut self, factor: f64, now: Time) {
        self.concurrency_limit = (self.concurrency_limit * factor).max(1.0);
        self.last_decrease = now;
    }

    /// Ejects it for a time, and until then.
    pub(crate) fn eject(&mut self, time: Time, until: Time) {
        self.ejection_time = time;
        self.ejected_until = until;
    }

    /// Whether the list of backends says that it takes requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.member.state == State::Ready
    }
}

/// The two kinds of backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tier {
    /// The cache nodes together.
    Fleet,
    /// The origin.
    Origin,
}

/// How long an attempt took, against what its class asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    /// In good time.
    InTime,
    /// Too long, or it was not served in time at all.
    Slow,
}

/// With which probability a request is admitted.
#[derive(Debug)]
pub(crate) struct Admission {
    /// To the cache nodes.
    pub(crate) fleet: f64,
    /// To the origin after a miss.
    pub(crate) origin: f64,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission { fleet: 1.0, origin: 1.0 }
    }
}

impl Admission {
    /// The probability for one kind of backend.
    pub(crate) fn probability_mut(&mut self, tier: Tier) -> &mut f64 {
        match tier {
            Tier::Fleet => &mut self.fleet,
            Tier::Origin => &mut self.origin,
        }
    }
}
