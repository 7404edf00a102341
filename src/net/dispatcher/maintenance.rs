//! Which nodes operators keep in maintenance. [`MaintenanceSet`] keeps apart what discovery listed
//! last and what is in maintenance; what the decision module is told is derived from both, so that
//! neither overwrites the other, in whatever order they come.

use super::snapshot::{EndpointSnapshot, MaintenancePeriod};
use crate::interface::{ListForm, Time};
use crate::net::config::Instance;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use thiserror::Error;

/// Names remembered of nodes that are no longer listed, the oldest forgotten first.
const MAX_UNLISTED: usize = 4096;
/// Nodes that may be in maintenance at once.
const MAX_IN_MAINTENANCE: usize = 4096;

/// Why a node cannot enter or leave maintenance.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MaintenanceError {
    /// Discovery has never listed it.
    #[error("{0} was never listed")]
    NeverListed(String),
    /// The origin is no cache node: without it every miss and every write would fail.
    #[error("{0} is the origin, which is no cache node")]
    Origin(String),
    /// As many are in maintenance as are remembered.
    #[error("{MAX_IN_MAINTENANCE} nodes are held out already")]
    TooMany,
}

/// What discovery listed of each node, and which are in maintenance.
#[derive(Debug, Default)]
pub(super) struct MaintenanceSet {
    /// What discovery listed last, by name.
    listed: BTreeMap<String, Instance>,
    unlisted: UnlistedNames,
    /// Since when each is in maintenance.
    in_maintenance: BTreeMap<String, Time>,
    /// The last maintenance of each that is back.
    past_maintenance: BTreeMap<String, MaintenancePeriod>,
}

/// Names of nodes that were listed once and are no longer, each once.
#[derive(Debug, Default)]
struct UnlistedNames {
    names: BTreeSet<String>,
    oldest_first: VecDeque<String>,
}

impl UnlistedNames {
    /// Remembers a name, which keeps its age if it is remembered already.
    fn insert(&mut self, name: String) {
        if self.names.insert(name.clone()) {
            self.oldest_first.push_back(name);
        }
    }

    /// Forgets the oldest name if there are more than [`MAX_UNLISTED`], and returns it.
    fn pop_excess(&mut self) -> Option<String> {
        if self.oldest_first.len() <= MAX_UNLISTED {
            return None;
        }
        let oldest = self.oldest_first.pop_front()?;
        self.names.remove(&oldest);
        Some(oldest)
    }
}

impl MaintenanceSet {
    /// What another process is to know.
    pub(super) fn snapshot(&self) -> EndpointSnapshot {
        EndpointSnapshot {
            listed: self.listed.values().cloned().collect(),
            unlisted: self.unlisted.oldest_first.iter().cloned().collect(),
            in_maintenance: self.in_maintenance.clone(),
            past_maintenance: self.past_maintenance.clone(),
            peers: Vec::new(),
        }
    }

    /// Takes over what another process knew, except what is listed: that comes in like any list.
    pub(super) fn restore(&mut self, snapshot: EndpointSnapshot) {
        for name in snapshot.unlisted {
            self.remember_unlisted(name);
        }
        self.in_maintenance = snapshot.in_maintenance;
        self.past_maintenance = snapshot.past_maintenance;
    }

    /// Takes in a list of discovery's, and returns it as the module is to be told of it.
    pub(super) fn update(&mut self, form: ListForm, list: Vec<Instance>) -> Vec<Instance> {
        if matches!(form, ListForm::Cached | ListForm::Full) {
            self.forget_unlisted(&list);
        }
        for node in &list {
            let name = node.instance_id.clone();
            if node.lifecycle == Instance::GONE {
                self.listed.remove(&name);
                self.remember_unlisted(name);
            } else {
                self.listed.insert(name, node.clone());
            }
        }
        list.into_iter().map(|node| self.effective(node)).collect()
    }

    /// Empties what is listed before a whole list, and remembers the names that this no longer has.
    fn forget_unlisted(&mut self, list: &[Instance]) {
        for name in std::mem::take(&mut self.listed).into_keys() {
            if !list.iter().any(|node| node.instance_id == name) {
                self.remember_unlisted(name);
            }
        }
    }

    /// All that is listed now, as the module is to be told of it.
    pub(super) fn all_listed(&self) -> Vec<Instance> {
        self.listed.values().map(|node| self.effective(node.clone())).collect()
    }

    /// What discovery listed last of a node, if it is listed.
    pub(super) fn listed(&self, name: &str) -> Option<&Instance> {
        self.listed.get(name)
    }

    /// Puts a node in maintenance, and returns what the module is to be told of it, if it is
    /// listed. To do so twice changes nothing.
    ///
    /// # Errors
    ///
    /// If the node was never listed, or too many are in maintenance.
    pub(super) fn enter(&mut self, name: &str, now: Time) -> Result<Option<Instance>, MaintenanceError> {
        self.require_known(name)?;
        if !self.in_maintenance.contains_key(name) && self.in_maintenance.len() >= MAX_IN_MAINTENANCE {
            return Err(MaintenanceError::TooMany);
        }
        self.in_maintenance.entry(name.to_owned()).or_insert(now);
        Ok(self.effective_if_listed(name))
    }

    /// Lets a node serve again, however often it was put in maintenance, and returns what the
    /// module is to be told of it, if it is listed.
    ///
    /// # Errors
    ///
    /// If the node was never listed.
    pub(super) fn leave(&mut self, name: &str, now: Time) -> Result<Option<Instance>, MaintenanceError> {
        self.require_known(name)?;
        if let Some(began) = self.in_maintenance.remove(name) {
            self.past_maintenance.insert(name.to_owned(), MaintenancePeriod { began, ended: now });
        }
        Ok(self.effective_if_listed(name))
    }

    fn require_known(&self, name: &str) -> Result<(), MaintenanceError> {
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

    /// A node as the module is to be told of it.
    fn effective(&self, mut node: Instance) -> Instance {
        if self.in_maintenance.contains_key(&node.instance_id) && node.lifecycle == Instance::READY {
            node.lifecycle = Instance::DRAINING.to_owned();
        }
        // Danger: discovery is seconds late. A node that was restarted while it was in maintenance
        // comes back cold before its start is listed, and is overloaded if it is taken for warm.
        if let Some(period) = self.past_maintenance.get(&node.instance_id) {
            if node.started_at_ms < period.began {
                node.started_at_ms = period.ended;
            }
        }
        node
    }

    /// Remembers the name of a node that is no longer listed, and forgets the oldest beyond the
    /// limit.
    fn remember_unlisted(&mut self, name: String) {
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
