//! What is known of one backend, which is a cache node or the origin.

use super::MovingAverage;
use crate::interface::{BackendId, EndpointInfo, EndpointState, RequestId};
use crate::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// The backends on the endpoint list, and removed ones that a pending request has been sent to.
pub(crate) type BackendTable = BTreeMap<BackendId, Backend>;

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
pub(crate) struct Backend {
    /// What the endpoint list says of it.
    pub(crate) info: EndpointInfo,
    /// This proxy's attempts in flight at this process.
    pub(crate) in_flight: BTreeSet<AttemptId>,
    /// How many attempts it may have in flight.
    pub(crate) limit: ConcurrencyLimit,
    /// How its recent attempts failed.
    pub(crate) outlier_history: OutlierHistory,
}

impl Backend {
    /// A backend of which nothing is known but its concurrency limit.
    pub(crate) fn with_limit(max_in_flight: f64) -> Backend {
        let limit = ConcurrencyLimit { max_in_flight, ..ConcurrencyLimit::default() };
        Backend { limit, ..Backend::default() }
    }

    /// Its id.
    pub(crate) fn id(&self) -> BackendId {
        self.info.backend
    }

    /// Whether the endpoint list says that it takes requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.info.state == EndpointState::Ready
    }
}

/// How many attempts a backend may have in flight, and what that rests on.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    /// The most attempts in flight; additive increase, multiplicative decrease (AIMD).
    pub(crate) max_in_flight: f64,
    /// When the limit was last decreased.
    pub(crate) last_decrease: Timestamp,
    /// The fraction of recent attempts that were slow.
    pub(crate) slow_fraction: MovingAverage,
}

/// How recent attempts at a backend failed, and for how long it is ejected.
#[derive(Debug, Default)]
pub(crate) struct OutlierHistory {
    /// The fraction of recent attempts that failed.
    pub(crate) failure_fraction: MovingAverage,
    /// When an outlier or ejected backend may next get a single trial attempt.
    pub(crate) next_trial: Timestamp,
    /// How long the last ejection was, without its random factor; 0 once the backend has answered.
    pub(crate) last_ejection: TimeSpan,
    /// Until when it is ejected, since connections to it failed.
    pub(crate) ejected_until: Timestamp,
}

/// The two kinds of backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tier {
    /// The cache nodes together.
    CacheNodes,
    /// The origin.
    Origin,
}
