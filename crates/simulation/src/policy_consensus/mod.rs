//! The rulebook's own tasks, as they run in service, on simulated hosts, network and time (`turmoil`): crashes, cuts and slow ways
//! from a seed, which replays them. Judged by what is admitted where and when, and by nothing that the code says of itself.

mod host;
mod judge;
mod net;
mod plan;

pub use judge::{Admitted, Verdict};
pub use plan::{Fault, Plan};

use host::SimulatedFleet;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::time::Duration;

/// One step of simulated time; what happens within one is at the same moment.
const TICK: Duration = Duration::from_millis(2);

/// How a run ended.
#[derive(Clone, Debug)]
pub struct Run {
    /// What was played.
    pub plan: Plan,
    /// What is wrong, if anything.
    pub verdict: Verdict,
    /// Changes by how they ended: taken, refused, abandoned, and those of which no door knows.
    pub outcomes: [u32; 4],
    /// Of those taken: how long each took from its proposal until the first request was admitted under it, in ms.
    pub took: Vec<u64>,
    /// The longest that a host which was up and not cut off admitted nothing, in ms.
    pub longest_gap: u64,
    /// What was logged, in its order; the same for the same seed.
    pub log: Vec<String>,
}

/// Plays the plan of a seed.
pub fn play_seed(seed: u64) -> Run {
    play(Plan::of(seed))
}

/// Plays a plan.
pub fn play(plan: Plan) -> Run {
    let world = SimulatedFleet::new(&plan);
    let mut builder = turmoil::Builder::new();
    builder
        .simulation_duration(Duration::from_millis(plan.ends + 10_000))
        .tick_duration(TICK)
        .min_message_latency(Duration::from_millis(plan.latency.0))
        .max_message_latency(Duration::from_millis(plan.latency.1))
        .rng_seed(plan.seed)
        .tcp_capacity(4096);
    let mut sim = builder.build();
    for host in 0..plan.hosts {
        world.add(&mut sim, host);
    }
    let mut rng = StdRng::seed_from_u64(plan.seed ^ 0x5eed);
    let mut left = plan.faults.iter().peekable();
    loop {
        let now = u64::try_from(sim.elapsed().as_millis()).unwrap_or(u64::MAX);
        while let Some((_, fault)) = left.next_if(|(at, _)| *at <= now) {
            world.cause(&mut sim, fault, now, &mut rng);
        }
        if now >= plan.ends || sim.step().is_err() {
            break;
        }
    }
    drop(sim);
    world.judged(plan)
}
