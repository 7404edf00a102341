//! What happens to a fleet in a run. Read [`Plan`] first.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Something that happens to a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A host crashes.
    Crash(usize),
    /// A host that crashed starts again.
    Start {
        /// The host.
        host: usize,
        /// Whether it still has what its disk had.
        disk: DiskAtStart,
    },
    /// Nothing passes between these hosts and the others.
    Partition(Vec<usize>),
    /// Nothing passes in one direction.
    PartitionOneWay {
        /// Messages of this host are lost
        from: usize,
        /// on their way to this one.
        to: usize,
    },
    /// All connections work again.
    Heal,
    /// The connections of a host become slow.
    Slow {
        /// The host.
        host: usize,
        /// How long a message takes at most, in ms.
        latency_ms: u64,
    },
    /// A change is proposed at a host.
    Propose(usize),
    /// A change is proposed that one host rejects.
    ProposeRejected {
        /// The host at which it is proposed.
        host: usize,
        /// The host that rejects it.
        rejected_by: usize,
    },
    /// The disk of a host becomes full, or has room again.
    SetDisk {
        /// The host.
        host: usize,
        /// Whether its disk has room.
        space: DiskSpace,
    },
}

/// Whether a disk has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskSpace {
    /// It takes nothing more.
    Full,
    /// It has room.
    Free,
}

/// What a host finds on its disk when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskAtStart {
    /// What it stored last.
    Kept,
    /// Nothing.
    Lost,
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// When it happens, in ms of simulated time.
    pub at_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// All that happens in a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seeds the run, and replays it.
    pub seed: u64,
    /// The number of hosts.
    pub hosts: usize,
    /// How many of them are voters, from the first one on.
    pub voters: usize,
    /// How long a message takes at least.
    pub min_latency: Duration,
    /// How long a message takes at most.
    pub max_latency: Duration,
    /// The faults by their times.
    pub faults: Vec<ScheduledFault>,
    /// When the run ends, in ms. For a while before that there are no faults.
    pub end_ms: u64,
}

/// When the fleet has begun, in ms: there are no faults before.
const FAULTS_BEGIN_MS: u64 = 3_000;
/// No fault begins later, in ms.
const FAULTS_END_MS: u64 = 14_000;
/// When everything is repaired, in ms.
const REPAIR_MS: u64 = FAULTS_END_MS + 900;
/// How long a fleet has to recover, in ms.
const RECOVERY_TIME_MS: u64 = 12_000;

impl Plan {
    /// A plan without faults.
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

    /// This plan with one more fault.
    #[must_use]
    pub fn with_fault(mut self, at_ms: u64, fault: Fault) -> Plan {
        self.faults.push(ScheduledFault { at_ms, fault });
        self.faults.sort_by_key(|scheduled| scheduled.at_ms);
        self
    }

    /// The plan of a seed.
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
    // Of several voters only one ever loses its disk: a majority that does has lost the state.
    let disk_loss_host = Some(rng.random_range(0..voters)).filter(|_| voters > 2);
    while at_ms < FAULTS_END_MS {
        at_ms += rng.random_range(20..900);
        let host = rng.random_range(0..hosts);
        let fault = random_fault(rng, host, hosts, disk_loss_host);
        faults.push(ScheduledFault { at_ms, fault });
    }
    faults
}

/// A fault at this host. `disk_loser` is the one host that may lose its disk.
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

/// What ends all faults: at the end of a run every host is up, connected and has a disk with room.
fn repairs(hosts: usize) -> Vec<ScheduledFault> {
    let mut repairs = vec![Fault::Heal];
    for host in 0..hosts {
        repairs.push(Fault::SetDisk { host, space: DiskSpace::Free });
        repairs.push(Fault::Slow { host, latency_ms: 3 });
        repairs.push(Fault::Start { host, disk: DiskAtStart::Kept });
    }
    repairs.into_iter().map(|fault| ScheduledFault { at_ms: REPAIR_MS, fault }).collect()
}
