//! One day in simulated time: proxies that fetch from one origin, each within its quota, and their
//! faults. [`Scenario`] is the scenario, [`Outcome`] its figures.

mod script;
mod tally;
#[cfg(test)]
mod tests;
mod world;

use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::Serialize;
use std::collections::VecDeque;
use tally::Tally;
use world::World;

/// How a proxy determines its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Rule {
    /// An equal part for each configured proxy: `GroupSize`.
    Static,
    /// An equal part for each proxy that it believes to be alive.
    Live,
    /// As it runs in service: a guaranteed minimum and a lease.
    Leased,
}

/// The event of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Event {
    /// Seven in ten are asked to end, one after the other within 20 s, and have ended 2 s later;
    /// they return 23 s after that.
    Release,
    /// The same, but they are killed.
    Deaths,
    /// Seven in ten die at once, and return 40 s later.
    Crash,
    /// They are partitioned into halves for 6 s, while the demand exceeds the origin's capacity.
    Cut,
    /// A third of them, a zone, dies at once, and returns 40 s later.
    Zone,
}

/// A day to play.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub proxies: usize,
    pub event: Event,
    pub rule: Rule,
    pub seed: u64,
}

/// The figures of a scenario.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Outcome {
    pub proxies: usize,
    pub event: Event,
    pub rule: Rule,
    /// Fetches that were wanted, and the percentage that was served in time, from the event on
    /// until its end.
    pub wanted: u64,
    pub served_percent: f64,
    /// The most concurrent calls at the origin, as a multiple of its capacity.
    pub most: f64,
    /// How long it was over its capacity, in ms, and how often it went down.
    pub over_ms: u64,
    pub falls: u64,
    /// The most fetches that began in a second, as a multiple of its capacity.
    pub fetches: f64,
    /// The largest sum of quotas, calls under earlier quotas included.
    pub sum: f64,
    /// The time from the last death until the survivors had their quota, in ms.
    pub grown_ms: Option<u64>,
    /// The sum of quotas by time, in s.
    #[serde(skip)]
    pub shares: Vec<(f64, f64)>,
}

/// A step of simulated time.
const STEP_MS: u64 = 10;
/// When the event begins; quotas have settled by then.
const START_OF_EVENT_MS: u64 = 30_000;
/// When the day ends.
const END_OF_SCENARIO_MS: u64 = 90_000;
/// The origin's capacity of concurrent calls for each proxy.
const CALLS_PER_PROXY: usize = 4;
/// How long a call takes within the capacity.
const CALL_DURATION_MS: u64 = 100;
/// How long after its request a fetch is still in time.
const DEADLINE_MS: u64 = 400;
/// Demand as a multiple of the origin's capacity: on most days, on days with a partition, and
/// during the partition.
const NORMAL_DEMAND: f64 = 0.55;
const CUT_DEMAND: f64 = 0.6;
const OVERLOAD_DEMAND: f64 = 1.6;
/// How long a day counts from the beginning of its event: a partition, a release, a crash.
const CUT_EVENT_MS: u64 = 12_000;
const RELEASE_EVENT_MS: u64 = 45_000;
const CRASH_EVENT_MS: u64 = 40_000;

impl Scenario {
    /// Plays it.
    pub(super) fn play(&self) -> Outcome {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut steps: VecDeque<script::ScriptStep> = script::steps(self, &mut rng).into();
        let mut tally = Tally::new(*self, &steps);
        let mut world = World::new(*self, rng);
        let mut now = 0;
        while now < END_OF_SCENARIO_MS {
            now += STEP_MS;
            let mut faults = Vec::new();
            while let Some(step) = take_due(&mut steps, |step| step.at <= now) {
                faults.push(step.fault);
            }
            world.advance(now, &faults);
            tally.add_step(now, &mut world);
        }
        tally.outcome(&world)
    }

    /// The demand at this time, as a multiple of the origin's capacity.
    fn demand(&self, now: u64) -> f64 {
        match self.event {
            Event::Cut if (START_OF_EVENT_MS..self.end_of_event()).contains(&now) => OVERLOAD_DEMAND,
            Event::Cut => CUT_DEMAND,
            _ => NORMAL_DEMAND,
        }
    }

    /// Until when an event counts, in ms.
    fn end_of_event(&self) -> u64 {
        match self.event {
            Event::Cut => START_OF_EVENT_MS + CUT_EVENT_MS,
            Event::Release | Event::Deaths => START_OF_EVENT_MS + RELEASE_EVENT_MS,
            Event::Crash | Event::Zone => START_OF_EVENT_MS + CRASH_EVENT_MS,
        }
    }
}

/// Takes the first of a queue if it is due.
fn take_due<T>(queue: &mut VecDeque<T>, is_due: impl Fn(&T) -> bool) -> Option<T> {
    if queue.front().is_some_and(is_due) {
        queue.pop_front()
    } else {
        None
    }
}
