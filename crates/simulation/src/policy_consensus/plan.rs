//! What happens to a fleet, from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Something that happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A host dies.
    Crash(usize),
    /// It starts anew; without its disk, if so told.
    Start(usize, bool),
    /// Nothing passes between these and the others.
    Cut(Vec<usize>),
    /// Nothing passes from one to another.
    CutOneWay(usize, usize),
    /// All pass again.
    Heal,
    /// A host's ways take so many ms.
    Slow(usize, u64),
    /// A change is proposed at a host's door.
    Propose(usize),
    /// A change is proposed at a host's door that this other host refuses.
    ProposeBad(usize, usize),
    /// A host's disk takes nothing more; or does again.
    DiskFull(usize, bool),
}

/// All that happens.
#[derive(Clone, Debug)]
pub struct Plan {
    /// It replays the run.
    pub seed: u64,
    /// Hosts in all.
    pub hosts: usize,
    /// Those of them that found, the first ones.
    pub founders: usize,
    /// How long a message takes, in ms: at least and at the most.
    pub latency: (u64, u64),
    /// What happens when, in ms.
    pub faults: Vec<(u64, Fault)>,
    /// When it ends, in ms; from a while before all is well.
    pub ends: u64,
}

/// Faults fall into this time, in ms; then all is healed and has the rest to come to order.
const FAULTS: u64 = 14_000;
const AFTER: u64 = 12_000;
/// The fleet has begun by then.
const BEGUN: u64 = 3_000;

impl Plan {
    /// A quiet one.
    pub fn quiet(seed: u64, hosts: usize, founders: usize) -> Plan {
        Plan { seed, hosts, founders, latency: (1, 3), faults: Vec::new(), ends: 8_000 }
    }

    /// With this as well.
    pub fn with(mut self, at: u64, fault: Fault) -> Plan {
        self.faults.push((at, fault));
        self.faults.sort_by_key(|(at, _)| *at);
        self
    }

    /// The plan of a seed.
    pub fn of(seed: u64) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let founders = [1, 2, 3, 3, 3, 4, 5][rng.random_range(0..7)];
        let hosts = founders + rng.random_range(0..3);
        let mut faults = Vec::new();
        let mut at = BEGUN;
        // Of several founders only one ever loses its disk: a majority that does has lost the book.
        let loses = rng.random_range(0..founders);
        while at < FAULTS {
            at += rng.random_range(20..900);
            let host = rng.random_range(0..hosts);
            faults.push((
                at,
                match rng.random_range(0..20) {
                    0..=5 => Fault::Propose(host),
                    6 => Fault::ProposeBad(host, rng.random_range(0..hosts)),
                    7..=9 => Fault::Crash(host),
                    10..=12 => Fault::Start(host, host == loses && founders > 2 && rng.random_bool(0.3)),
                    13 | 14 => Fault::Cut((0..hosts).filter(|_| rng.random_bool(0.4)).collect()),
                    15 => Fault::CutOneWay(host, rng.random_range(0..hosts)),
                    16 | 17 => Fault::Heal,
                    18 => Fault::Slow(host, rng.random_range(5..400)),
                    _ => Fault::DiskFull(host, rng.random_bool(0.5)),
                },
            ));
        }
        faults.push((FAULTS + 900, Fault::Heal));
        for host in 0..hosts {
            faults.push((FAULTS + 900, Fault::DiskFull(host, false)));
            faults.push((FAULTS + 900, Fault::Slow(host, 3)));
            faults.push((FAULTS + 900, Fault::Start(host, false)));
        }
        faults.sort_by_key(|(at, _)| *at);
        Plan { seed, hosts, founders, latency: (1, 4), faults, ends: FAULTS + AFTER }
    }
}
