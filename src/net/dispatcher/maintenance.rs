//! The nodes that operators keep in maintenance. [`MaintenanceSet`] stores the endpoint list of
//! discovery separately from the nodes in maintenance, and derives from both the list that the
//! decision module receives. Therefore neither overwrites the other, in whatever order they change.

use super::snapshot::{EndpointSnapshot, MaintenancePeriod};
use crate::interface::ListForm;
use crate::time::Timestamp;
use pinetrail_config::Instance;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use thiserror::Error;

/// The maximum number of stored names of nodes that are no longer listed. The oldest name is
/// removed first.
const MAX_UNLISTED_NAMES: usize = 4096;
/// The maximum number of nodes in maintenance at once.
const MAX_IN_MAINTENANCE: usize = 4096;

/// The reason why a node cannot enter or leave maintenance.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MaintenanceError {
    /// Discovery has never listed the node.
    #[error("{0} was never listed")]
    NeverListed(String),
    /// The node is the origin, without which every miss and every write would fail.
    #[error("{0} is the origin, which is no cache node")]
    Origin(String),
    /// `MAX_IN_MAINTENANCE` nodes are in maintenance already.
    #[error("{MAX_IN_MAINTENANCE} nodes are held out already")]
    TooMany,
}

/// The endpoint list of discovery, and the nodes in maintenance.
#[derive(Debug, Default)]
pub(super) struct MaintenanceSet {
    /// The entries that discovery listed last, by name.
    listed: BTreeMap<String, Instance>,
    unlisted: UnlistedNames,
    /// The nodes in maintenance, each with the beginning of its maintenance in Unix ms.
    in_maintenance: BTreeMap<String, Timestamp>,
    /// The last maintenance period of each node that has left maintenance.
    past_maintenance: BTreeMap<String, MaintenancePeriod>,
}

/// The names of nodes that were once listed and are no longer, without duplicates.
#[derive(Debug, Default)]
struct UnlistedNames {
    names: BTreeSet<String>,
    oldest_first: VecDeque<String>,
}

impl UnlistedNames {
    /// Adds a name. A name that is already stored keeps its age.
    fn insert(&mut self, name: String) {
        if self.names.insert(name.clone()) {
            self.oldest_first.push_back(name);
        }
    }

    /// Removes and returns the oldest name if there are more than [`MAX_UNLISTED_NAMES`].
    fn pop_excess(&mut self) -> Option<String> {
        if self.oldest_first.len() <= MAX_UNLISTED_NAMES {
            return None;
        }
        let oldest = self.oldest_first.pop_front()?;
        self.names.remove(&oldest);
        Some(oldest)
    }
}

impl MaintenanceSet {
    /// Returns the state for the other process of a hot restart.
    pub(super) fn snapshot(&self) -> EndpointSnapshot {
        EndpointSnapshot {
            listed: self.listed.values().cloned().collect(),
            unlisted: self.unlisted.oldest_first.iter().cloned().collect(),
            in_maintenance: self.in_maintenance.clone(),
            past_maintenance: self.past_maintenance.clone(),
            peers: Vec::new(),
            shares_ids: false,
            ends_ids: false,
        }
    }

    /// Restores the state of the other process, except its endpoint list, which the caller applies
    /// like a list of discovery.
    pub(super) fn restore(&mut self, snapshot: EndpointSnapshot) {
        for name in snapshot.unlisted {
            self.insert_unlisted(name);
        }
        self.in_maintenance = snapshot.in_maintenance;
        self.past_maintenance = snapshot.past_maintenance;
    }

    /// Stores a list of discovery, and returns the list that the decision module receives.
    pub(super) fn update(&mut self, form: ListForm, list: Vec<Instance>) -> Vec<Instance> {
        if matches!(form, ListForm::Cached | ListForm::Full) {
            self.clear_listed(&list);
        }
        for node in &list {
            let name = node.instance_id.clone();
            if node.lifecycle == Instance::GONE {
                self.listed.remove(&name);
                self.insert_unlisted(name);
            } else {
                self.listed.insert(name, node.clone());
            }
        }
        list.into_iter().map(|node| self.effective(node)).collect()
    }

    /// Clears the stored list before a full one, and stores the names that are missing in the full
    /// one.
    fn clear_listed(&mut self, list: &[Instance]) {
        for name in std::mem::take(&mut self.listed).into_keys() {
            if !list.iter().any(|node| node.instance_id == name) {
                self.insert_unlisted(name);
            }
        }
    }

    /// Returns all listed nodes as the decision module receives them.
    pub(super) fn all_listed(&self) -> Vec<Instance> {
        self.listed.values().map(|node| self.effective(node.clone())).collect()
    }

    /// Returns the entry of a node as discovery listed it last; `None` if the node is not listed.
    pub(super) fn listed(&self, name: &str) -> Option<&Instance> {
        self.listed.get(name)
    }

    /// Decides whether a node may enter maintenance, and puts the node in maintenance if so.
    /// Returns the entry that the decision module receives; `None` if the node is not listed. A
    /// second call for the same node changes nothing.
    ///
    /// Inputs: the node's name, the names that were ever listed, and the number of nodes in
    /// maintenance.
    /// Reason: a wrong name must be reported to the operator, and the stored state is bounded.
    /// Source: docs/daily-operation.md.
    ///
    /// # Errors
    ///
    /// Returns an error if the node was never listed, or too many nodes are in maintenance.
    pub(super) fn enter(&mut self, name: &str, now: Timestamp) -> Result<Option<Instance>, MaintenanceError> {
        self.require_listed_once(name)?;
        if !self.in_maintenance.contains_key(name) && self.in_maintenance.len() >= MAX_IN_MAINTENANCE {
            return Err(MaintenanceError::TooMany);
        }
        self.in_maintenance.entry(name.to_owned()).or_insert(now);
        Ok(self.effective_if_listed(name))
    }

    /// Ends the maintenance of a node, however often it was started, and returns the entry that the
    /// decision module receives; `None` if the node is not listed.
    ///
    /// # Errors
    ///
    /// Returns an error if the node was never listed.
    pub(super) fn leave(&mut self, name: &str, now: Timestamp) -> Result<Option<Instance>, MaintenanceError> {
        self.require_listed_once(name)?;
        if let Some(began) = self.in_maintenance.remove(name) {
            self.past_maintenance.insert(name.to_owned(), MaintenancePeriod { began, ended: now });
        }
        Ok(self.effective_if_listed(name))
    }

    fn require_listed_once(&self, name: &str) -> Result<(), MaintenanceError> {
        let is_known = self.listed.contains_key(name)
            || self.unlisted.names.contains(name)
            || self.in_maintenance.contains_key(name);
        if is_known {
            Ok(())
        } else {
            Err(MaintenanceError::NeverListed(name.to_owned()))
        }
    }

    fn effective_if_listed(&self, name: &str) -> Option<Instance> {
        self.listed.get(name).map(|node| self.effective(node.clone()))
    }

    /// Decides the entry of a listed node that the decision module receives. A ready node in
    /// maintenance becomes draining. A node that has left maintenance counts as started at the end
    /// of the maintenance, if its listed start precedes the beginning.
    ///
    /// Inputs: the listed entry, whether the node is in maintenance, and its last maintenance
    /// period in Unix ms.
    /// Reason: discovery lags by seconds, so a node that restarted during maintenance is back
    /// before its new start is listed. It is cold, and would be overloaded if it counted as warm.
    /// Source: docs/daily-operation.md.
    fn effective(&self, mut node: Instance) -> Instance {
        if self.in_maintenance.contains_key(&node.instance_id) && node.lifecycle == Instance::READY {
            node.lifecycle = Instance::DRAINING.to_owned();
        }
        if let Some(period) = self.past_maintenance.get(&node.instance_id) {
            if node.started_at_ms < period.began.as_ms() {
                node.started_at_ms = period.ended.as_ms();
            }
        }
        node
    }

    /// Stores the name of a node that is no longer listed, and removes the oldest beyond the limit.
    fn insert_unlisted(&mut self, name: String) {
        self.unlisted.insert(name);
        while let Some(oldest) = self.unlisted.pop_excess() {
            if !self.listed.contains_key(&oldest) {
                self.past_maintenance.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
mod tests;
