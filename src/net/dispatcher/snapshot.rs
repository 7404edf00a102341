//! What one process of this proxy tells the other of backends and peers in a hot restart, as JSON.
//! The other process may run another release: the keys are fixed by `serde(rename)`. Read
//! [`EndpointSnapshot`] first.

use crate::interface::Time;
use crate::net::config::Instance;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// All that is known of backends, and where peers are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// Each backend that is listed, as discovery listed it last.
    #[serde(rename = "told")]
    pub listed: Vec<Instance>,
    /// Names of nodes that were listed and are no longer, the oldest first.
    #[serde(rename = "gone")]
    pub(super) unlisted: Vec<String>,
    /// Nodes in maintenance, and since when, in Unix ms.
    #[serde(rename = "out")]
    pub(super) in_maintenance: BTreeMap<String, Time>,
    /// The last maintenance of each node that is back.
    #[serde(rename = "back")]
    pub(super) past_maintenance: BTreeMap<String, MaintenancePeriod>,
    /// Where processes of the fleet take connections of peers, if there is a fleet.
    #[serde(rename = "links", default, skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<PeerAddress>,
}

/// A time in maintenance that is over. As JSON it is an array of both moments.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(Time, Time)", into = "(Time, Time)")]
pub(super) struct MaintenancePeriod {
    /// When it began, in Unix ms.
    pub began: Time,
    /// When it ended, in Unix ms.
    pub ended: Time,
}

impl From<(Time, Time)> for MaintenancePeriod {
    fn from((began, ended): (Time, Time)) -> MaintenancePeriod {
        MaintenancePeriod { began, ended }
    }
}

impl From<MaintenancePeriod> for (Time, Time) {
    fn from(period: MaintenancePeriod) -> (Time, Time) {
        (period.began, period.ended)
    }
}

/// A process of the fleet, and where it takes connections of peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Its proxy's name.
    pub name: String,
    /// When it started, in Unix microseconds.
    pub start: u64,
    /// Where it takes connections.
    #[serde(rename = "place")]
    pub address: SocketAddr,
}
