//! The control of all simulated hosts from outside: [`SimulatedFleet`] adds them to the simulation,
//! and injects faults.

use super::environment::{host_name, Environment, Proposal};
use super::host;
use super::plan::{DiskAtStart, Fault, Plan};
use super::policies::{rejected_policy, valid_policy};
use super::run::Run;
use super::shared::lock;
use rand::rngs::StdRng;
use rand::RngExt;
use std::time::Duration;
use turmoil::Sim;

/// All hosts of a run, and their environment.
pub(super) struct SimulatedFleet {
    environment: Environment,
    proposal_count: u32,
    /// Whether each host is up.
    is_up: Vec<bool>,
}

impl SimulatedFleet {
    /// Creates the hosts of a plan, which are all up.
    pub(super) fn new(plan: &Plan) -> SimulatedFleet {
        let environment = Environment::new(plan);
        SimulatedFleet { environment, proposal_count: 0, is_up: vec![true; plan.hosts] }
    }

    /// Adds a host to the simulation, which starts the host now and again after each crash.
    pub(super) fn add_host(&self, sim: &mut Sim<'_>, host: usize) {
        let environment = self.environment.clone();
        sim.host(host_name(host), move || host::run(environment.clone(), host));
    }

    /// Injects a fault.
    pub(super) fn inject(&mut self, sim: &mut Sim<'_>, fault: &Fault, now_ms: u64, rng: &mut StdRng) {
        self.environment.checker.log(format!("{now_ms} {fault:?}"));
        match fault {
            Fault::Crash(host) => self.crash(sim, *host),
            Fault::Start { host, disk } => self.start(sim, *host, *disk),
            Fault::Partition(side) => self.partition(sim, side),
            Fault::PartitionOneWay { from, to } => {
                if from != to {
                    sim.partition_oneway(host_name(*from), host_name(*to));
                }
            }
            Fault::Heal => self.heal(sim),
            Fault::Slow { host, latency_ms } => self.slow_down(sim, *host, *latency_ms),
            Fault::Propose(host) => self.propose(*host, valid_policy(rng.random()), now_ms),
            Fault::ProposeRejected { host, rejected_by } => {
                self.propose(*host, rejected_policy(*rejected_by, rng.random()), now_ms);
            }
            Fault::SetDisk { host, space } => self.environment.disks[*host].set_space(*space),
        }
    }

    /// Checks what was observed in the run of a plan.
    pub(super) fn check(self, plan: Plan) -> Run {
        self.environment.checker.check(plan)
    }

    fn crash(&mut self, sim: &mut Sim<'_>, host: usize) {
        if !self.is_up[host] {
            return;
        }
        self.is_up[host] = false;
        lock(&self.environment.running).remove(&host);
        self.environment.checker.forget_host(host);
        sim.crash(host_name(host));
    }

    fn start(&mut self, sim: &mut Sim<'_>, host: usize, disk: DiskAtStart) {
        if self.is_up[host] {
            return;
        }
        if disk == DiskAtStart::Lost {
            self.environment.disks[host].erase();
        }
        self.is_up[host] = true;
        sim.bounce(host_name(host));
    }

    fn partition(&self, sim: &mut Sim<'_>, side: &[usize]) {
        for (a, b) in self.pairs() {
            if side.contains(&a) != side.contains(&b) {
                sim.partition(host_name(a), host_name(b));
            }
        }
    }

    fn heal(&self, sim: &mut Sim<'_>) {
        for (a, b) in self.pairs() {
            sim.repair(host_name(a), host_name(b));
        }
    }

    fn slow_down(&self, sim: &mut Sim<'_>, host: usize, latency_ms: u64) {
        let latency = Duration::from_millis(latency_ms.max(2));
        for other in (0..self.is_up.len()).filter(|other| *other != host) {
            sim.set_link_max_message_latency(host_name(host), host_name(other), latency);
        }
    }

    fn propose(&mut self, host: usize, text: String, now_ms: u64) {
        self.proposal_count += 1;
        let id = format!("c{}", self.proposal_count);
        self.environment.checker.record_proposal(&id, &text, now_ms);
        lock(&self.environment.proposals)[host].push(Proposal { id, text });
    }

    /// Returns all pairs of hosts.
    fn pairs(&self) -> impl Iterator<Item = (usize, usize)> {
        let hosts = self.is_up.len();
        (0..hosts).flat_map(move |a| (a + 1..hosts).map(move |b| (a, b)))
    }
}
