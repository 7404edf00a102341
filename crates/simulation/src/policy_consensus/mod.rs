//! The tasks of the policy's consensus, as they run in service, on simulated hosts, network and
//! time (`turmoil`): crashes, partitions and slow connections from a seed, which replays them. Read
//! [`play`] first.
//!
//! A run is checked by what is admitted where and when, and by nothing that the code says of
//! itself.

mod disk;
mod fleet;
mod host;
mod network;
mod plan;
mod proxy;
mod run_checker;

pub use plan::{DiskAtStart, DiskSpace, Fault, Plan, ScheduledFault};
pub use run_checker::{Admitted, Verdict};

use fleet::SimulatedFleet;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// One step of simulated time; what happens within one happens at the same moment.
const TICK: Duration = Duration::from_millis(2);
/// The simulation could go on for so long after the end of a plan, in ms.
const SPARE_TIME_MS: u64 = 10_000;
/// Bytes in flight that a simulated connection holds.
const TCP_CAPACITY: usize = 4096;

/// How a run ended.
#[derive(Clone, Debug)]
pub struct Run {
    /// What was played.
    pub plan: Plan,
    /// What is wrong, if anything.
    pub verdict: Verdict,
    /// How the changes finished.
    pub outcomes: OutcomeCounts,
    /// Of each committed change, the time from its proposal until the first request was admitted
    /// under it, in ms.
    pub commit_latencies_ms: Vec<u64>,
    /// The longest time for which a host that was up admitted nothing, in ms.
    pub longest_gap_ms: u64,
    /// What was logged, in its order; the same for the same seed.
    pub log: Vec<String>,
}

/// Numbers of changes by how they finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Their version became active.
    pub committed: u32,
    /// A host rejected them.
    pub rejected: u32,
    /// They took too long.
    pub abandoned: u32,
    /// No host knows how they finished.
    pub unknown: u32,
}

/// Plays the plan of a seed.
#[must_use]
pub fn play_seed(seed: u64) -> Run {
    play(Plan::from_seed(seed))
}

/// Plays a plan.
#[must_use]
pub fn play(plan: Plan) -> Run {
    let mut fleet = SimulatedFleet::new(&plan);
    let mut builder = turmoil::Builder::new();
    builder
        .simulation_duration(Duration::from_millis(plan.end_ms + SPARE_TIME_MS))
        .tick_duration(TICK)
        .min_message_latency(plan.min_latency)
        .max_message_latency(plan.max_latency)
        .rng_seed(plan.seed)
        .tcp_capacity(TCP_CAPACITY);
    let mut sim = builder.build();
    for host in 0..plan.hosts {
        fleet.add_host(&mut sim, host);
    }
    let mut rng = StdRng::seed_from_u64(plan.seed ^ 0x5eed);
    let mut faults = plan.faults.iter().peekable();
    loop {
        let now_ms = as_millis(sim.elapsed());
        while let Some(due) = faults.next_if(|scheduled| scheduled.at_ms <= now_ms) {
            fleet.inject(&mut sim, &due.fault, now_ms, &mut rng);
        }
        if now_ms >= plan.end_ms || sim.step().is_err() {
            break;
        }
    }
    drop(sim);
    fleet.check(plan)
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
