//! Defines the endpoint list in the form of discovery and of the key `known`: a [`Catalog`] of
//! [`Instance`]s.

use serde::{Deserialize, Serialize};

const DEFAULT_WEIGHT: f32 = 1.0;

/// An endpoint in the form of discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The name of the endpoint, which is the same at every proxy.
    pub instance_id: String,
    /// The IP address and port at which this proxy reaches the endpoint.
    pub host_port: String,
    /// The name of the endpoint's zone.
    #[serde(default)]
    pub zone: String,
    /// The kind of machine of the endpoint.
    #[serde(default)]
    pub machine_type: String,
    /// The number of the endpoint's cell.
    #[serde(default)]
    pub cell: u16,
    /// The state of the endpoint: [`Instance::READY`], [`Instance::DRAINING`] or
    /// [`Instance::GONE`]. Discovery may send other texts.
    pub lifecycle: String,
    /// The relative size of the endpoint.
    #[serde(default = "default_weight")]
    pub weight: f32,
    /// The Unix time of the endpoint's last start, in ms; 0 means long ago.
    #[serde(default)]
    pub started_at_ms: f64,
}

impl Instance {
    /// The `lifecycle` of an endpoint that accepts requests.
    pub const READY: &'static str = "ready";
    /// The `lifecycle` of an endpoint that only completes the requests it has accepted.
    pub const DRAINING: &'static str = "draining";
    /// The `lifecycle` of an endpoint that is removed from the list.
    pub const GONE: &'static str = "gone";
}

fn default_weight() -> f32 {
    DEFAULT_WEIGHT
}

/// An endpoint list, or changes to it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Catalog {
    /// The version of the list.
    #[serde(default)]
    pub generation: u64,
    /// Whether the list is complete, and not a list of changes.
    #[serde(default)]
    pub reset: bool,
    /// The entries of the list.
    #[serde(default)]
    pub instances: Vec<Instance>,
}
