//! The endpoints and peers that one process passes to the other in a hot restart, as JSON. Because
//! the other process may run another release, `serde(rename)` fixes the keys. Read
//! [`EndpointSnapshot`] first.

use crate::time::Timestamp;
use pinetrail_config::Instance;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The endpoint list, the maintenance periods of nodes, and the addresses of peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// The listed backends, each with the entry that discovery sent last.
    #[serde(rename = "told")]
    pub listed: Vec<Instance>,
    /// The names of nodes that are no longer listed, the oldest first.
    #[serde(rename = "gone")]
    pub(super) unlisted: Vec<String>,
    /// The nodes in maintenance, each with the beginning of its maintenance in Unix ms.
    #[serde(rename = "out")]
    pub(super) in_maintenance: BTreeMap<String, Timestamp>,
    /// The last maintenance period of each node that has left maintenance.
    #[serde(rename = "back")]
    pub(super) past_maintenance: BTreeMap<String, MaintenancePeriod>,
    /// The processes of the fleet; empty without a fleet.
    #[serde(rename = "links", default, skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<PeerAddress>,
    /// Whether the process exchanges the ids of requests that may not be repeated, which earlier
    /// releases do not.
    #[serde(rename = "ids", default, skip_serializing_if = "std::ops::Not::not")]
    pub shares_ids: bool,
    /// Whether the process marks the end of its ids, which earlier releases do not.
    #[serde(rename = "idsEnd", default, skip_serializing_if = "std::ops::Not::not")]
    pub ends_ids: bool,
}

/// A finished maintenance period. In JSON it is an array of the beginning and the end.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(Timestamp, Timestamp)", into = "(Timestamp, Timestamp)")]
pub(super) struct MaintenancePeriod {
    /// The beginning of the maintenance, in Unix ms.
    pub began: Timestamp,
    /// The end of the maintenance, in Unix ms.
    pub ended: Timestamp,
}

impl From<(Timestamp, Timestamp)> for MaintenancePeriod {
    fn from((began, ended): (Timestamp, Timestamp)) -> MaintenancePeriod {
        MaintenancePeriod { began, ended }
    }
}

impl From<MaintenancePeriod> for (Timestamp, Timestamp) {
    fn from(period: MaintenancePeriod) -> (Timestamp, Timestamp) {
        (period.began, period.ended)
    }
}

/// A process of the fleet, and the address at which it accepts connections of peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// The name of the process's proxy.
    pub name: String,
    /// The start time of the process, in Unix microseconds.
    pub start: u64,
    /// The address at which the process accepts connections of peers.
    #[serde(rename = "place")]
    pub address: SocketAddr,
}
