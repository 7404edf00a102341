//! Simulates a scenario: proxies that fetch from one origin, each within its quota, and their
//! faults. Read [`Scenario`] first; [`Outcome`] has its figures.

mod script;
mod tally;
#[cfg(test)]
mod tests;
mod world;

use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::Serialize;
use std::collections::VecDeque;
use tally::Measurements;
use world::ScenarioSimulation;

/// The rule by which a proxy determines its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Rule {
    /// Each configured proxy has an equal part: `GroupSize`.
    Static,
    /// Each proxy divides the total by the number of proxies that it believes to be alive.
    Live,
    /// Each proxy has a guaranteed minimum and a lease, as in service.
    Leased,
}

/// The faults of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Event {
    /// Seven in ten proxies shut down one after the other within 20 s. Each shutdown takes 2 s, and
    /// all proxies restart 45 s after the first shutdown began.
    Release,
    /// Seven in ten proxies crash one after the other within 20 s, and restart 45 s after the first
    /// crash.
    Deaths,
    /// Seven in ten proxies crash at once, and restart 40 s later.
    Crash,
    /// The proxies are partitioned into halves for 6 s, while the demand exceeds the origin's
    /// capacity.
    Cut,
    /// All proxies of one zone, a third, crash at once, and restart 40 s later.
    Zone,
}

/// A scenario to simulate. The same scenario gives the same outcome.
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
    /// The number of fetches that clients requested during the event.
    pub wanted: u64,
    /// The percentage of the fetches requested during the event that were served in time.
    pub served_percent: f64,
    /// The most concurrent calls at the origin, as a multiple of the origin's capacity.
    pub most: f64,
    /// The time in ms for which the origin was over its capacity.
    pub over_ms: u64,
    /// The number of outages of the origin.
    pub falls: u64,
    /// The most fetches that began within a second, as a multiple of the origin's capacity.
    pub fetches: f64,
    /// The largest sum of quotas, as a multiple of the origin's capacity. Calls that began under
    /// earlier quotas are included.
    pub sum: f64,
    /// The time in ms from the last crash until the survivors had their quota; none if they did not
    /// reach it, or if no proxy crashed.
    pub grown_ms: Option<u64>,
    /// The sum of quotas over time, as points of a time in s and a sum.
    #[serde(skip)]
    pub shares: Vec<(f64, f64)>,
}

/// The length of a step of simulated time.
const STEP_MS: u64 = 10;
/// The time at which the event begins. Quotas have settled by then.
const START_OF_EVENT_MS: u64 = 30_000;
/// The time at which the scenario ends.
const END_OF_SCENARIO_MS: u64 = 90_000;
/// The origin's capacity of concurrent calls for each proxy.
const CALLS_PER_PROXY: usize = 4;
/// The duration of a call while the origin is within its capacity.
const CALL_DURATION_MS: u64 = 100;
/// The time after a client's request within which its fetch must end to count as served.
const DEADLINE_MS: u64 = 400;
/// The demand as a multiple of the origin's capacity, in scenarios without a partition.
const NORMAL_DEMAND: f64 = 0.55;
/// The demand as a multiple of the origin's capacity, before and after the event of a partition.
const PARTITION_DEMAND: f64 = 0.6;
/// The demand as a multiple of the origin's capacity, during the event of a partition.
const OVERLOAD_DEMAND: f64 = 1.6;
/// The time from the beginning of a partition for which fetches are counted.
const PARTITION_EVENT_MS: u64 = 12_000;
/// The time from the beginning of a release for which fetches are counted.
const RELEASE_EVENT_MS: u64 = 45_000;
/// The time from a crash of many proxies for which fetches are counted.
const CRASH_EVENT_MS: u64 = 40_000;

impl Scenario {
    /// Simulates the scenario and returns its figures.
    pub(super) fn play(&self) -> Outcome {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut steps: VecDeque<script::ScriptStep> = script::steps(self, &mut rng).into();
        let mut measurements = Measurements::new(*self, &steps);
        let mut simulation = ScenarioSimulation::new(*self, rng);
        let mut now = 0;
        while now < END_OF_SCENARIO_MS {
            now += STEP_MS;
            let mut faults = Vec::new();
            while let Some(step) = take_due(&mut steps, |step| step.at <= now) {
                faults.push(step.fault);
            }
            simulation.advance(now, &faults);
            measurements.add_step(now, &mut simulation);
        }
        measurements.outcome(&simulation)
    }

    /// Returns the demand at a time, as a multiple of the origin's capacity.
    fn demand(&self, now: u64) -> f64 {
        match self.event {
            Event::Cut if (START_OF_EVENT_MS..self.end_of_event()).contains(&now) => OVERLOAD_DEMAND,
            Event::Cut => PARTITION_DEMAND,
            _ => NORMAL_DEMAND,
        }
    }

    /// Returns the time in ms at which the event ends: fetches are counted until then.
    fn end_of_event(&self) -> u64 {
        match self.event {
            Event::Cut => START_OF_EVENT_MS + PARTITION_EVENT_MS,
            Event::Release | Event::Deaths => START_OF_EVENT_MS + RELEASE_EVENT_MS,
            Event::Crash | Event::Zone => START_OF_EVENT_MS + CRASH_EVENT_MS,
        }
    }
}

/// Removes the first item of a queue if it is due.
fn take_due<T>(queue: &mut VecDeque<T>, is_due: impl Fn(&T) -> bool) -> Option<T> {
    if queue.front().is_some_and(is_due) {
        queue.pop_front()
    } else {
        None
    }
}
