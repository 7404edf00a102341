//! The settings of a balancer, read from JSON; start with [`Settings`]. Unknown keys are ignored.
//!
//! Processes compare digests of the `Debug` output of [`Class`] and [`Limits`] and of what is in
//! them: names of types, fields and variants are a format, and stay.

use serde::Deserialize;

/// Whether a request of a class is idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// It may run any number of times.
    Safe,
    /// It has an idempotency key: a group of backends drops its repeats for some time.
    Keyed,
    /// It may run at most once.
    Unsafe,
}

/// Which backends drop the repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Class {
    /// Latency objective, in ms: a response within it earns the full worth.
    pub aim: f64,
    /// How long a client waits across all its attempts, in ms; 0 where not stated.
    #[serde(default)]
    pub give_up: f64,
    /// Whether it is idempotent.
    #[serde(rename = "Semantics")]
    pub effect: Effect,
    /// Which backends drop repeats.
    #[serde(rename = "DedupScope", default = "scope_cell")]
    pub scope: Scope,
    /// Deduplication window: for how long they do, in ms.
    #[serde(default)]
    pub repeat_window: f64,
    /// Worth of a request, its priority weight.
    #[serde(default = "one")]
    pub worth: f64,
}

/// What the deployment allows.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Limits {
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// Idle connections close after this long, in ms.
    #[serde(default)]
    pub conn_idle: f64,
    /// The longest retry-after that a client heeds, in ms.
    #[serde(default)]
    pub max_retry_after: f64,
}

/// What the operators' rules allow for starting backends and for polling.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Safety {
    /// The share of its capacity that a backend has at its start.
    pub start_capacity: f64,
    /// The time after which it is warm at the latest, in ms.
    pub cold: f64,
    /// It collapses when sent more than this multiple of its present capacity for `tip_after`.
    pub fall_multiple: f64,
    /// For how long that takes, in ms. It must be above 0; no decision uses it.
    pub tip_after: f64,
    /// Without a subscription, the list is polled at least this often, in ms; 0 where that does not
    /// matter.
    #[serde(default)]
    pub must_ask_in: f64,
}

/// What costs points.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Prices {
    /// For each request that crosses zones once.
    pub cross_zone: f64,
}

/// What is particular to a family of backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Family {
    /// The kind of machine that is the origin; -1 where cache nodes fetch by themselves.
    #[serde(default = "no_kind")]
    pub origin_kind: i64,
}

impl Default for Family {
    fn default() -> Self {
        Family { origin_kind: -1 }
    }
}

/// All settings of one balancer.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    /// How many proxies share the fleet.
    pub group_size: u32,
    /// This proxy's number among them.
    #[serde(default)]
    pub my_number: u32,
    /// The classes of requests.
    #[serde(rename = "Grades")]
    pub classes: Vec<Class>,
    /// What the deployment allows.
    #[serde(rename = "Permissions")]
    pub limits: Limits,
    /// What the rules allow.
    pub safety: Safety,
    /// Prices.
    #[serde(default)]
    pub prices: Prices,
    /// The family of backends.
    #[serde(rename = "FamilyInfo", default)]
    pub family: Family,
    /// `ask` where the list of backends comes only when polled.
    #[serde(default)]
    pub discovery: String,
    /// This proxy's zone.
    #[serde(default)]
    pub zone: u16,
    /// How long after a decision its effect may come, in ms: 0 in simulations. No setting of the
    /// operators: whoever carries decisions out says it.
    #[serde(skip)]
    pub write_delay: f64,
    /// Shortest time between two batches of events, in ms.
    #[serde(default = "one")]
    pub tick: f64,
}

impl Settings {
    /// Reads settings from JSON text.
    ///
    /// # Errors
    ///
    /// Names what is missing, or wrong and where.
    pub fn from_json(text: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(text)
    }
}

fn one() -> f64 {
    1.0
}

fn no_kind() -> i64 {
    -1
}

fn scope_cell() -> Scope {
    Scope::Cell
}
