//! The list of backends in the form of discovery and of the key `known`: a [`Catalog`] of
//! [`Instance`]s.

use serde::{Deserialize, Serialize};

/// One entry of the list of backends, in discovery's form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// Its name, the same at every proxy.
    pub instance_id: String,
    /// Where it is reached from here.
    pub host_port: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default)]
    pub machine_type: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u16,
    /// [`Instance::READY`], [`Instance::DRAINING`] or [`Instance::GONE`]; discovery may send other
    /// words.
    pub lifecycle: String,
    /// Its relative size.
    #[serde(default = "default_weight")]
    pub weight: f32,
    /// Unix time of its last start in ms; 0 means long ago.
    #[serde(default)]
    pub started_at_ms: f64,
}

impl Instance {
    /// The `lifecycle` of one that takes requests.
    pub const READY: &'static str = "ready";
    /// The `lifecycle` of one that finishes what it has and takes nothing new.
    pub const DRAINING: &'static str = "draining";
    /// The `lifecycle` of one that is removed.
    pub const GONE: &'static str = "gone";
}

fn default_weight() -> f32 {
    1.0
}

/// A list of backends, or changes to it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Catalog {
    /// Its version.
    #[serde(default)]
    pub generation: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub reset: bool,
    /// Its entries.
    #[serde(default)]
    pub instances: Vec<Instance>,
}
