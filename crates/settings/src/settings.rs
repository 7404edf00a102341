//! Reads the settings of a balancer from JSON; read [`Settings`] first. Unknown keys are ignored.
//!
//! Operators chose the keys, and this module maps each key to the term that the code uses.
//! Processes compare digests of the active settings. The field names here may change without
//! changing the digests, since `net::policy::digest` writes out the digests' input itself.

use crate::time::TimeSpan;
use serde::Deserialize;
use std::time::Duration;

/// The minimum idle timeout of a backend connection, in ms.
const MIN_IDLE_TIMEOUT_MS: f64 = 1_000.0;
/// The maximum idle timeout of a backend connection, in ms, which is one day.
const MAX_IDLE_TIMEOUT_MS: f64 = 86_400_000.0;
const MS_PER_SECOND: f64 = 1_000.0;

// Invariant: the types keep their names, because error texts that operators know contain them.
pub use self::{Family as BackendKinds, Prices as Costs, Safety as SafetyLimits};

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum Idempotency {
    /// A request may run any number of times.
    #[serde(rename = "safe")]
    Idempotent,
    /// A request has an idempotency key, by which a group of backends drops repeats for some time.
    #[serde(rename = "keyed")]
    IdempotencyKey,
    /// A request may run at most once.
    #[serde(rename = "unsafe")]
    NotIdempotent,
}

/// The group of backends that drops the repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Class {
    /// The latency objective. A response within this time earns the full priority weight.
    #[serde(rename = "Aim")]
    pub latency_objective: TimeSpan,
    /// The time for which a client waits, across all its attempts; 0 if not stated.
    #[serde(rename = "GiveUp", default)]
    pub client_timeout: TimeSpan,
    /// Whether a request may run more than once.
    #[serde(rename = "Semantics")]
    pub idempotency: Idempotency,
    /// The group of backends that drops repeats.
    #[serde(rename = "DedupScope", default = "cell_scope")]
    pub deduplication_scope: DeduplicationScope,
    /// The time for which backends drop repeats of a request.
    #[serde(rename = "RepeatWindow", default)]
    pub deduplication_window: TimeSpan,
    /// The weight of a request relative to requests of other classes.
    #[serde(rename = "Worth", default = "default_priority_weight")]
    pub priority_weight: f64,
}

/// The limits that the deployment sets.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// The maximum number of attempts for one request.
    #[serde(rename = "MaxAttempts")]
    pub max_attempts: u32,
    /// The time after which an idle backend connection is closed.
    #[serde(rename = "ConnIdle", default)]
    pub idle_connection_timeout: TimeSpan,
    /// The longest Retry-After that clients obey.
    #[serde(rename = "MaxRetryAfter", default)]
    pub max_retry_after: TimeSpan,
}

/// The maximum numbers of attempts that all proxies together may have in flight; infinite if not
/// limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimits {
    /// The maximum at each cache node.
    pub per_node: f64,
    /// The maximum at the origin.
    pub origin: f64,
}

/// The operators' rules for starting backends and for polling.
#[derive(Clone, Debug, Deserialize)]
pub struct Safety {
    /// The fraction of its capacity that a backend has when it starts.
    #[serde(rename = "StartCapacity")]
    pub start_capacity: f64,
    /// The time from the start of a backend until it is warm.
    #[serde(rename = "Cold")]
    pub warm_up_time: TimeSpan,
    /// The multiple of its present capacity at which a backend fails from overload, if its load
    /// stays above this multiple for `overload_time`.
    #[serde(rename = "FallMultiple")]
    pub overload_multiple: f64,
    /// The time for which an overload lasts until the backend fails. The value must be above 0, but
    /// no decision uses it.
    #[serde(rename = "TipAfter")]
    pub overload_time: TimeSpan,
    /// The longest interval at which the endpoint list is polled without a subscription; 0 if the
    /// interval does not matter. No decision uses the value.
    #[serde(rename = "MustAskIn", default)]
    pub max_poll_interval: TimeSpan,
}

/// The costs that requests cause.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Prices {
    /// The cost of each time that a request crosses from one zone to another.
    #[serde(rename = "CrossZone")]
    pub zone_crossing: f64,
}

/// The kinds of backends.
#[derive(Clone, Debug, Deserialize)]
pub struct Family {
    /// The kind of machine of the origin; negative if cache nodes fetch missing values themselves.
    #[serde(rename = "OriginKind", default = "no_origin")]
    pub origin_kind: i64,
}

impl Default for BackendKinds {
    fn default() -> Self {
        BackendKinds { origin_kind: no_origin() }
    }
}

/// All settings of one balancer.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The number of proxies that share the cache nodes.
    #[serde(rename = "GroupSize")]
    pub group_size: u32,
    /// The number of this proxy among the proxies that share the cache nodes.
    #[serde(rename = "MyNumber", default)]
    pub my_number: u32,
    /// The classes of requests.
    #[serde(rename = "Grades")]
    pub classes: Vec<Class>,
    /// The limits that the deployment sets.
    #[serde(rename = "Permissions")]
    pub limits: Limits,
    /// The operators' rules for starting backends and for polling.
    #[serde(rename = "Safety")]
    pub safety_limits: SafetyLimits,
    /// The costs that requests cause.
    #[serde(rename = "Prices", default)]
    pub costs: Costs,
    /// The kinds of backends.
    #[serde(rename = "FamilyInfo", default)]
    pub backend_kinds: BackendKinds,
    /// The way in which discovery delivers the endpoint list; `ask` if the list must be polled.
    #[serde(rename = "Discovery", default)]
    pub discovery: String,
    /// The index of this proxy's zone.
    #[serde(rename = "Zone", default)]
    pub zone: u16,
    /// The longest time from a decision to its effect, which is 0 in simulations. Operators do not
    /// set this value: it is set by the caller that executes the decisions.
    #[serde(skip)]
    pub write_delay: TimeSpan,
    /// The minimum time between two batches of events.
    #[serde(rename = "Tick", default = "default_tick")]
    pub tick: TimeSpan,
}

impl Settings {
    /// Parses settings from JSON text.
    ///
    /// # Errors
    ///
    /// The error names the key that is missing, or the value that has a wrong type and its
    /// position.
    pub fn from_json(text: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(text)
    }

    /// Returns the idle time after which a connection to a backend is closed. The result is limited
    /// to a range that a clock can represent.
    #[inline]
    pub fn idle_connection_timeout(&self) -> Duration {
        let configured_ms = self.limits.idle_connection_timeout.as_ms();
        let idle_ms = configured_ms.clamp(MIN_IDLE_TIMEOUT_MS, MAX_IDLE_TIMEOUT_MS);
        Duration::from_secs_f64(idle_ms / MS_PER_SECOND)
    }

    /// Returns the longest time that a client of any class waits.
    #[inline]
    pub fn longest_client_timeout(&self) -> TimeSpan {
        self.classes.iter().map(|class| class.client_timeout).fold(TimeSpan::ZERO, TimeSpan::max)
    }
}

fn default_priority_weight() -> f64 {
    1.0
}

fn default_tick() -> TimeSpan {
    TimeSpan::from_ms(1.0)
}

fn no_origin() -> i64 {
    -1
}

fn cell_scope() -> DeduplicationScope {
    DeduplicationScope::Cell
}
