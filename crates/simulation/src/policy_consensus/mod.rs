//! Runs the tasks of the policy consensus, as they run in service, on simulated hosts, network and
//! time (`turmoil`). Crashes, partitions and slow connections are drawn from a seed, so that a run
//! can be replayed. Read [`play`] first.
//!
//! The check of a run rests on which requests are admitted where and when, not on the state that
//! the code reports of itself.

mod disk;
mod environment;
mod fleet;
mod host;
mod network;
mod plan;
mod policies;
mod proxy;
mod run;
mod run_checker;
mod shared;

pub use plan::{DiskAtStart, DiskSpace, Fault, Plan, ScheduledFault};
pub use run::{Admitted, OutcomeCounts, Run, Verdict};

use fleet::SimulatedFleet;
use rand::rngs::StdRng;
use rand::SeedableRng;
use shared::as_millis;
use std::time::Duration;

/// The step of simulated time. All events within a step happen at the same moment.
const TICK: Duration = Duration::from_millis(2);
/// The time for which the simulation may go on after the end of a plan, in ms.
const SPARE_TIME_MS: u64 = 10_000;
/// The capacity of a simulated connection, in segments.
const TCP_CAPACITY_SEGMENTS: usize = 4096;
/// The mask that makes the seed of the proposed policies differ from that of the network.
const POLICY_SEED_MASK: u64 = 0x5eed;

/// Simulates the plan that a seed determines.
#[must_use]
pub fn play_seed(seed: u64) -> Run {
    play(Plan::from_seed(seed))
}

/// Simulates a plan, and checks what was observed.
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
        .tcp_capacity(TCP_CAPACITY_SEGMENTS);
    let mut sim = builder.build();
    for host in 0..plan.hosts {
        fleet.add_host(&mut sim, host);
    }
    let mut rng = StdRng::seed_from_u64(plan.seed ^ POLICY_SEED_MASK);
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
