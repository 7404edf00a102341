//! The nodes that operators hold out. What discovery told last and what is held out are kept apart; what the
//! module hears is derived from both, so that neither overwrites the other, in whatever order they come.

use crate::interface::{ListForm, Time};
use crate::net::config::Instance;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use thiserror::Error;

/// Names remembered of nodes that are no longer listed, the oldest forgotten first.
const MOST_GONE: usize = 4096;
/// Nodes that may be held out at once.
const MOST_OUT: usize = 4096;

/// Why a call about a node is answered with no.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MaintenanceError {
    /// Discovery has never told of it.
    #[error("{0} was never listed")]
    NeverListed(String),
    /// The origin is no cache node: without it every miss and every write would fail.
    #[error("{0} is the origin, which is no cache node")]
    Origin(String),
    /// More are held out than are remembered.
    #[error("{MOST_OUT} nodes are held out already")]
    TooMany,
}

/// All of it, as one process tells another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// What discovery told last of each that is listed.
    #[serde(rename = "told")]
    pub listed: Vec<Instance>,
    #[serde(rename = "gone")]
    unlisted: Vec<String>,
    #[serde(rename = "out")]
    in_maintenance: BTreeMap<String, Time>,
    #[serde(rename = "back")]
    past_maintenance: BTreeMap<String, (Time, Time)>,
    /// Where processes of the fleet are linked, if they are.
    #[serde(rename = "links", default, skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<PeerAddress>,
}

/// A process of the fleet, and where its links are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Its proxy's name.
    pub name: String,
    /// When it started, in Unix microseconds.
    pub start: u64,
    /// Where its links are.
    #[serde(rename = "place")]
    pub address: SocketAddr,
}

/// What discovery told of each node, and which are held out.
#[derive(Debug, Default)]
pub(super) struct MaintenanceSet {
    told: BTreeMap<String, Instance>,
    gone: BTreeSet<String>,
    gone_in_order: VecDeque<String>,
    /// Since when each is held out.
    out: BTreeMap<String, Time>,
    /// When each that came back was taken out, and when it came back.
    back: BTreeMap<String, (Time, Time)>,
}

impl MaintenanceSet {
    /// What another process is to know.
    pub(super) fn nodes(&self) -> EndpointSnapshot {
        EndpointSnapshot {
            listed: self.told.values().cloned().collect(),
            unlisted: self.gone_in_order.iter().cloned().collect(),
            in_maintenance: self.out.clone(),
            past_maintenance: self.back.clone(),
            peers: Vec::new(),
        }
    }

    /// Takes over what another process knew, but for what is listed: that is told like any list.
    pub(super) fn inherit(&mut self, nodes: EndpointSnapshot) {
        nodes.unlisted.into_iter().for_each(|name| self.remember(name));
        (self.out, self.back) = (nodes.in_maintenance, nodes.past_maintenance);
    }

    /// Discovery tells of nodes; the same as the module is to hear it.
    pub(super) fn told(&mut self, form: ListForm, list: Vec<Instance>) -> Vec<Instance> {
        if matches!(form, ListForm::Cached | ListForm::Full) {
            let before = std::mem::take(&mut self.told);
            let left = before.into_keys().filter(|name| !list.iter().any(|new| new.instance_id == *name));
            left.collect::<Vec<_>>().into_iter().for_each(|name| self.remember(name));
        }
        for node in &list {
            let name = &node.instance_id;
            if node.lifecycle == "gone" {
                self.told.remove(name);
                self.remember(name.clone());
            } else {
                drop(self.told.insert(name.clone(), node.clone()))
            }
        }
        list.into_iter().map(|node| self.heard(node)).collect()
    }

    /// All that is listed now, as the module is to hear it.
    pub(super) fn all(&self) -> Vec<Instance> {
        self.told.values().map(|node| self.heard(node.clone())).collect()
    }

    /// What discovery told last of a node, if it is listed.
    pub(super) fn listed(&self, name: &str) -> Option<&Instance> {
        self.told.get(name)
    }

    /// Holds a node out; what the module is to hear of it, if it is listed. To do so twice changes nothing.
    pub(super) fn hold(&mut self, name: &str, now: Time) -> Result<Option<Instance>, MaintenanceError> {
        self.known(name)?;
        if !self.out.contains_key(name) && self.out.len() >= MOST_OUT {
            return Err(MaintenanceError::TooMany);
        }
        self.out.entry(name.to_owned()).or_insert(now);
        Ok(self.hear(name))
    }

    /// Lets a node serve again, however often it was held out.
    pub(super) fn release(&mut self, name: &str, now: Time) -> Result<Option<Instance>, MaintenanceError> {
        self.known(name)?;
        if let Some(since) = self.out.remove(name) {
            self.back.insert(name.to_owned(), (since, now));
        }
        Ok(self.hear(name))
    }

    fn known(&self, name: &str) -> Result<(), MaintenanceError> {
        if self.told.contains_key(name) || self.gone.contains(name) || self.out.contains_key(name) {
            Ok(())
        } else {
            Err(MaintenanceError::NeverListed(name.to_owned()))
        }
    }

    fn hear(&self, name: &str) -> Option<Instance> {
        self.told.get(name).map(|node| self.heard(node.clone()))
    }

    /// A node as the module is to hear of it.
    fn heard(&self, mut node: Instance) -> Instance {
        if self.out.contains_key(&node.instance_id) && node.lifecycle == "ready" {
            node.lifecycle = "draining".to_owned();
        }
        // Danger: discovery is seconds late. A node that was restarted while it was out comes back cold before
        // its start is told of, and falls over if it is taken for warm.
        if let Some((out, back)) = self.back.get(&node.instance_id) {
            if node.started_at_ms < *out {
                node.started_at_ms = *back;
            }
        }
        node
    }

    fn remember(&mut self, name: String) {
        if self.gone.insert(name.clone()) {
            self.gone_in_order.push_back(name);
        }
        while self.gone_in_order.len() > MOST_GONE {
            let Some(oldest) = self.gone_in_order.pop_front() else { break };
            self.gone.remove(&oldest);
            if !self.told.contains_key(&oldest) {
                self.back.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
mod tests;
