//! The settings a balancer starts with, read from JSON. Unknown keys are ignored.

use serde::Deserialize;

/// How often a request of a class may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// As often as wanted.
    Safe,
    /// Repeats are dropped by a group of servers for some time.
    Keyed,
    /// At most once.
    Unsafe,
}

/// Which servers drop the repeats of a keyed request.
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
    /// An answer within this time earns the full worth, in ms.
    pub aim: f64,
    /// A client waits for so long across all its tries, in ms; 0 where not told.
    #[serde(default)]
    pub give_up: f64,
    /// Its kind of effect.
    #[serde(rename = "Semantics")]
    pub effect: Effect,
    /// Which servers drop repeats.
    #[serde(rename = "DedupScope", default = "scope_cell")]
    pub scope: Scope,
    /// For how long they do, in ms.
    #[serde(default)]
    pub repeat_window: f64,
    /// Worth of a request.
    #[serde(default = "one")]
    pub worth: f64,
}

/// What the deployment allows.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Idle connections close after this, in ms.
    #[serde(default)]
    pub conn_idle: f64,
    /// The longest that a client heeds advice to stay away, in ms.
    #[serde(default)]
    pub max_retry_after: f64,
}

/// The figures of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Safety {
    /// A cold server starts with this share of its capacity.
    pub start_capacity: f64,
    /// And is warm after this time at the latest, in ms.
    pub cold: f64,
    /// It falls if sent more than this multiple of its present capacity.
    pub fall_multiple: f64,
    /// For this long, in ms.
    pub tip_after: f64,
    /// Without a subscription, ask at least this often, in ms; 0 where it does not matter.
    #[serde(default)]
    pub must_ask_in: f64,
}

/// Points that come off the result.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Prices {
    /// For each request that crosses zones once.
    pub cross_zone: f64,
}

/// What is particular to a family of servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Family {
    /// The kind of machine that is the origin; -1 where servers fetch by themselves.
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
    /// How many balancers share the fleet.
    pub group_size: u32,
    /// This balancer's number among them.
    #[serde(default)]
    pub my_number: u32,
    /// The classes of requests.
    #[serde(rename = "Grades")]
    pub classes: Vec<Class>,
    /// What the deployment allows.
    #[serde(rename = "Permissions")]
    pub limits: Limits,
    /// The figures of the rules.
    pub safety: Safety,
    /// Prices.
    #[serde(default)]
    pub prices: Prices,
    /// The family of servers.
    #[serde(rename = "FamilyInfo", default)]
    pub family: Family,
    /// `ask` where the list of servers comes only when asked for.
    #[serde(default)]
    pub discovery: String,
    /// This balancer's zone.
    #[serde(default)]
    pub zone: u16,
    /// Shortest time between two batches of events, in ms.
    #[serde(default = "one")]
    pub tick: f64,
}

impl Settings {
    /// Reads settings from JSON text; the error names what is wrong or missing.
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
