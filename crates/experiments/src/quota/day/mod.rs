//! One day in simulated time: proxies that fetch from one origin, each within its quota, and what
//! happens to them. [`Day`] says what is played, [`Outcome`] what was seen.

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

/// How a proxy knows its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Rule {
    /// One of all, for ever: `GroupSize`.
    Static,
    /// One of those that it takes for alive.
    Live,
    /// As it runs in service: a base and a lease.
    Leased,
}

/// What befalls them.
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
    /// They are cut in halves for 6 s, while there is more to fetch than the origin bears.
    Cut,
    /// A third of them, a zone, dies at once, and returns 40 s later.
    Zone,
}

/// A day to play.
#[derive(Clone, Copy, Debug)]
pub(super) struct Day {
    pub proxies: usize,
    pub event: Event,
    pub rule: Rule,
    pub seed: u64,
}

/// What was seen of it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Outcome {
    pub proxies: usize,
    pub event: Event,
    pub rule: Rule,
    /// Fetches that were wanted, and the percentage that was served in time, from the event on
    /// until its end.
    pub wanted: u64,
    pub served_percent: f64,
    /// The most calls at the origin at once, over what it bears.
    pub most: f64,
    /// How long it had more than it bears, in ms, and how often it fell.
    pub over_ms: u64,
    pub falls: u64,
    /// The most fetches that began in a second, over what it bears.
    pub fetches: f64,
    /// The most that shares added up to, with what calls of before still used.
    pub sum: f64,
    /// After the last death: until the survivors had what is theirs, in ms.
    pub grown_ms: Option<u64>,
    /// The sum of shares by time, in s.
    #[serde(skip)]
    pub shares: Vec<(f64, f64)>,
}

/// A step of simulated time, in ms.
const STEP: u64 = 10;
/// When the event begins, in ms; quotas have settled by then.
const START_OF_EVENT: u64 = 30_000;
/// When the day ends, in ms.
const END_OF_DAY: u64 = 90_000;
/// How many attempts at once the origin bears for each proxy.
const CALLS_PER_PROXY: usize = 4;
/// How long an attempt lasts, in ms.
const CALL_LASTS: u64 = 100;
/// How long after it was wanted a fetch is of use, in ms.
const DEADLINE: u64 = 400;

impl Day {
    /// Plays it.
    pub(super) fn play(&self) -> Outcome {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut steps: VecDeque<script::ScriptStep> = script::steps(self, &mut rng).into();
        let mut tally = Tally::new(*self, &steps);
        let mut world = World::new(*self, rng);
        let mut now = 0;
        while now < END_OF_DAY {
            now += STEP;
            let mut faults = Vec::new();
            while let Some(step) = take_due(&mut steps, |step| step.at <= now) {
                faults.push(step.fault);
            }
            world.advance(now, &faults);
            tally.add_step(now, &mut world);
        }
        tally.outcome(&world)
    }

    /// What is wanted at this time, over what the origin bears.
    fn demand(&self, now: u64) -> f64 {
        match self.event {
            Event::Cut if (START_OF_EVENT..self.end_of_event()).contains(&now) => 1.6,
            Event::Cut => 0.6,
            _ => 0.55,
        }
    }

    /// When the event is over, for what is counted, in ms.
    fn end_of_event(&self) -> u64 {
        match self.event {
            Event::Cut => START_OF_EVENT + 12_000,
            Event::Release | Event::Deaths => START_OF_EVENT + 45_000,
            Event::Crash | Event::Zone => START_OF_EVENT + 40_000,
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
