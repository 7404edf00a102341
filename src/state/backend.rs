//! [`Backend`]: the state of one backend, which is a cache node or the origin.

use super::MovingAverage;
use crate::interface::{BackendId, EndpointInfo, EndpointState, RequestId};
use crate::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// The backends on the endpoint list, and removed backends to which a pending request was sent.
pub(crate) type BackendTable = BTreeMap<BackendId, Backend>;

/// The identifier of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// The identifier of the request.
    pub(crate) request: RequestId,
    /// The number of the attempt, counted from 0 in order of sending.
    pub(crate) number: u8,
}

/// The state of one process of a backend.
#[derive(Debug, Default)]
pub(crate) struct Backend {
    /// The backend's entry in the endpoint list.
    pub(crate) info: EndpointInfo,
    /// This proxy's attempts in flight at the process.
    pub(crate) in_flight: BTreeSet<AttemptId>,
    /// The limit on this proxy's attempts in flight at the process.
    pub(crate) limit: ConcurrencyLimit,
    /// The recent failures of the process.
    pub(crate) outlier_history: OutlierHistory,
}

impl Backend {
    /// Creates a backend with a concurrency limit and otherwise default state.
    pub(crate) fn with_limit(max_in_flight: f64) -> Backend {
        let limit = ConcurrencyLimit { max_in_flight, ..ConcurrencyLimit::default() };
        Backend { limit, ..Backend::default() }
    }

    /// Returns the identifier of the backend.
    pub(crate) fn id(&self) -> BackendId {
        self.info.backend
    }

    /// Returns whether the backend accepts requests according to the endpoint list.
    pub(crate) fn is_ready(&self) -> bool {
        self.info.state == EndpointState::Ready
    }
}

/// The concurrency limit of this proxy at a backend, and the inputs of its adjustment.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    /// The largest number of attempts in flight, adjusted by additive increase and multiplicative
    /// decrease (AIMD).
    pub(crate) max_in_flight: f64,
    /// The time of the last decrease.
    pub(crate) last_decrease: Timestamp,
    /// The fraction of recent attempts that were slow, as a moving average.
    pub(crate) slow_fraction: MovingAverage,
}

/// The recent failures of a backend, and its ejection.
#[derive(Debug, Default)]
pub(crate) struct OutlierHistory {
    /// The fraction of recent attempts that failed, as a moving average.
    pub(crate) failure_fraction: MovingAverage,
    /// The time from which on an outlier or ejected backend may receive a single trial attempt.
    pub(crate) next_trial: Timestamp,
    /// The duration of the last ejection, without its random factor; 0 once the backend has
    /// answered.
    pub(crate) last_ejection: TimeSpan,
    /// The end of the current ejection, which began when a connection to the backend failed.
    pub(crate) ejected_until: Timestamp,
}

/// The tier to which a backend belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tier {
    /// The tier of all cache nodes.
    CacheNodes,
    /// The tier of the origin.
    Origin,
}
