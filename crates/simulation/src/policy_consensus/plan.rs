//! The size of a fleet and the faults that happen to it in a run. Read [`Plan`] first.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// An event that the simulation injects into a fleet: a fault, the end of a fault, or a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A host crashes.
    Crash(usize),
    /// A host that crashed starts again.
    Start {
        /// The number of the host.
        host: usize,
        /// Whether the disk still has what the host stored.
        disk: DiskAtStart,
    },
    /// Nothing passes between these hosts and the others.
    Partition(Vec<usize>),
    /// Nothing passes from one host to another.
    PartitionOneWay {
        /// The host whose messages are lost.
        from: usize,
        /// The host that does not get the messages.
        to: usize,
    },
    /// All partitions end.
    Heal,
    /// The connections of a host become slow.
    Slow {
        /// The number of the host.
        host: usize,
        /// The longest latency of a message, in ms.
        latency_ms: u64,
    },
    /// A change is proposed at a host.
    Propose(usize),
    /// A change is proposed that one host rejects.
    ProposeRejected {
        /// The host at which the change is proposed.
        host: usize,
        /// The host that rejects the change.
        rejected_by: usize,
    },
    /// The disk of a host becomes full, or has free space again.
    SetDisk {
        /// The number of the host.
        host: usize,
        /// Whether the disk has free space.
        space: DiskSpace,
    },
}

/// Whether a disk has free space.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskSpace {
    /// The disk is full, so that each write fails.
    Full,
    /// The disk has free space.
    Free,
}

/// The content of a host's disk when the host starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskAtStart {
    /// The disk has what the host stored last.
    Kept,
    /// The disk has lost everything.
    Lost,
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// When the fault happens, in ms of simulated time.
    pub at_ms: u64,
    /// The fault that happens.
    pub fault: Fault,
}

/// The inputs of a run: the seed, the size of the fleet, the latencies and the faults. Equal plans
/// give equal runs.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed of the random numbers of the run.
    pub seed: u64,
    /// The number of hosts.
    pub hosts: usize,
    /// The number of voters, which are the first hosts.
    pub voters: usize,
    /// The shortest latency of a message.
    pub min_latency: Duration,
    /// The longest latency of a message.
    pub max_latency: Duration,
    /// The faults, in the order of time.
    pub faults: Vec<ScheduledFault>,
    /// When the run ends, in ms. The faults end some time before, so that the fleet can recover.
    pub end_ms: u64,
}

/// The time from which faults happen, in ms. The fleet has started by then.
const FAULTS_BEGIN_MS: u64 = 3_000;
/// The time after which no more random faults are drawn, in ms.
const FAULTS_END_MS: u64 = 14_000;
/// The time at which all faults are repaired, in ms.
const REPAIR_MS: u64 = FAULTS_END_MS + 900;
/// The time from the end of faults to the end of the run, in which a fleet must recover, in ms.
const RECOVERY_TIME_MS: u64 = 12_000;

impl Plan {
    /// Creates a plan without faults.
    #[must_use]
    pub fn without_faults(seed: u64, hosts: usize, voters: usize) -> Plan {
        Plan {
            seed,
            hosts,
            voters,
            min_latency: Duration::from_millis(1),
            max_latency: Duration::from_millis(3),
            faults: Vec::new(),
            end_ms: 8_000,
        }
    }

    /// Adds a fault to the plan.
    #[must_use]
    pub fn with_fault(mut self, at_ms: u64, fault: Fault) -> Plan {
        self.faults.push(ScheduledFault { at_ms, fault });
        self.faults.sort_by_key(|scheduled| scheduled.at_ms);
        self
    }

    /// Draws the plan of a seed.
    #[must_use]
    pub fn from_seed(seed: u64) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let voters = [1, 2, 3, 3, 3, 4, 5][rng.random_range(0..7)];
        let hosts = voters + rng.random_range(0..3);
        let mut faults = random_faults(&mut rng, hosts, voters);
        faults.extend(repairs(hosts));
        faults.sort_by_key(|scheduled| scheduled.at_ms);
        Plan {
            seed,
            hosts,
            voters,
            min_latency: Duration::from_millis(1),
            max_latency: Duration::from_millis(4),
            faults,
            end_ms: FAULTS_END_MS + RECOVERY_TIME_MS,
        }
    }
}

fn random_faults(rng: &mut StdRng, hosts: usize, voters: usize) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut at_ms = FAULTS_BEGIN_MS;
    // With three or more voters only one of them ever loses its disk, with fewer voters none does,
    // because a majority that loses its disks has lost the state.
    let disk_loss_host = Some(rng.random_range(0..voters)).filter(|_| voters > 2);
    while at_ms < FAULTS_END_MS {
        at_ms += rng.random_range(20..900);
        let host = rng.random_range(0..hosts);
        let fault = random_fault(rng, host, hosts, disk_loss_host);
        faults.push(ScheduledFault { at_ms, fault });
    }
    faults
}

/// Draws a fault at a host. `disk_loss_host` is the only host that may lose its disk.
fn random_fault(rng: &mut StdRng, host: usize, hosts: usize, disk_loss_host: Option<usize>) -> Fault {
    match rng.random_range(0..20) {
        0..=5 => Fault::Propose(host),
        6 => Fault::ProposeRejected { host, rejected_by: rng.random_range(0..hosts) },
        7..=9 => Fault::Crash(host),
        10..=12 => {
            let is_lost = disk_loss_host == Some(host) && rng.random_bool(0.3);
            let disk = if is_lost { DiskAtStart::Lost } else { DiskAtStart::Kept };
            Fault::Start { host, disk }
        }
        13 | 14 => Fault::Partition((0..hosts).filter(|_| rng.random_bool(0.4)).collect()),
        15 => Fault::PartitionOneWay { from: host, to: rng.random_range(0..hosts) },
        16 | 17 => Fault::Heal,
        18 => Fault::Slow { host, latency_ms: rng.random_range(5..400) },
        _ => {
            let space = if rng.random_bool(0.5) { DiskSpace::Full } else { DiskSpace::Free };
            Fault::SetDisk { host, space }
        }
    }
}

/// Returns the steps that end all faults, so that every host is up and connected and its disk has
/// room.
fn repairs(hosts: usize) -> Vec<ScheduledFault> {
    let mut repairs = vec![Fault::Heal];
    for host in 0..hosts {
        repairs.push(Fault::SetDisk { host, space: DiskSpace::Free });
        repairs.push(Fault::Slow { host, latency_ms: 3 });
        repairs.push(Fault::Start { host, disk: DiskAtStart::Kept });
    }
    repairs.into_iter().map(|fault| ScheduledFault { at_ms: REPAIR_MS, fault }).collect()
}
