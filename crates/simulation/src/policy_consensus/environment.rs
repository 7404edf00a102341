//! The state that the hosts of a run share: [`Environment`].

use super::disk::SimulatedDisk;
use super::plan::Plan;
use super::run_checker::RunChecker;
use pinetrail_peer_transport::Peer;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// A change that an operator proposes.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    pub(super) id: String,
    pub(super) text: String,
}

/// Returns the name of a host in the simulation.
pub(super) fn host_name(host: usize) -> String {
    format!("n{host}")
}

/// The state that all hosts of a run share with the fleet that injects faults.
#[derive(Clone)]
pub(super) struct Environment {
    /// The number of voters, which are the first hosts.
    pub(super) voters: u8,
    pub(super) checker: RunChecker,
    /// The disks of the hosts, in the order of the hosts.
    pub(super) disks: Vec<SimulatedDisk>,
    /// The running processes by host, and their lock.
    pub(super) running: Arc<Mutex<BTreeMap<usize, Peer>>>,
    /// The changes that are not proposed yet, by host, and their lock.
    pub(super) proposals: Arc<Mutex<Vec<Vec<Proposal>>>>,
    pub(super) seed: u64,
}

impl Environment {
    /// Creates the environment of a plan, in which no host has started.
    pub(super) fn new(plan: &Plan) -> Environment {
        Environment {
            voters: plan.voters as u8,
            checker: RunChecker::default(),
            disks: (0..plan.hosts).map(|_| SimulatedDisk::new()).collect(),
            running: Arc::default(),
            proposals: Arc::new(Mutex::new(vec![Vec::new(); plan.hosts])),
            seed: plan.seed,
        }
    }
}
