//! One day in simulated time: proxies that fetch from one origin, each within its share, and what befalls them.

use pinetrail_quota::WHOLE_PARTS;
use pinetrail_simulation::origin::Origin;
use pinetrail_simulation::quota::QuotaSimulation;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::collections::VecDeque;

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
    /// Seven in ten are asked to end, one after the other within 20 s, and have ended 2 s later; they return 23 s after that.
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
    /// Fetches that were wanted, and the percentage that was served in time, from the event on until its end.
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

/// A step, in ms.
const STEP: u64 = 10;
/// When the event begins; shares have settled by then.
const BEGINS: u64 = 30_000;
const ENDS: u64 = 90_000;
/// After so long others know that one is there no longer, or again.
const NOTICED: u64 = 2_500;
/// Calls that the origin bears for each proxy, and how long one takes.
const BEARS: usize = 4;
const TAKES: u64 = 100;
/// A fetch is of use for so long.
const DEADLINE: u64 = 400;
/// The most founders that a fleet has here.
const FOUNDERS: usize = 15;

struct World {
    day: Day,
    now: u64,
    rng: StdRng,
    alive: Vec<bool>,
    /// On which side of a cut each is.
    side: Vec<u8>,
    /// What is noticed later: when, who is alive by then, and the sides.
    later: VecDeque<(u64, Vec<bool>, Vec<u8>)>,
    noticed: (Vec<bool>, Vec<u8>),
    waiting: Vec<VecDeque<u64>>,
    out: Vec<VecDeque<u64>>,
    origin: Origin,
    sharing: Option<QuotaSimulation>,
}

impl Day {
    /// Plays it.
    pub(super) fn play(&self) -> Outcome {
        let count = self.proxies;
        let mut world = World {
            day: *self,
            now: 0,
            rng: StdRng::seed_from_u64(self.seed),
            alive: vec![true; count],
            side: vec![0; count],
            later: VecDeque::new(),
            noticed: (vec![true; count], vec![0; count]),
            waiting: vec![VecDeque::new(); count],
            out: vec![VecDeque::new(); count],
            origin: Origin::new(BEARS * count, TAKES, 3_000),
            sharing: (self.rule == Rule::Leased).then(|| {
                let mut sharing = QuotaSimulation::new(count, FOUNDERS.min(count), count, self.seed);
                sharing.settings.longest_call = DEADLINE;
                (0..count).for_each(|host| sharing.start(host));
                sharing.update_all_live_processes();
                sharing
            }),
        };
        world.play()
    }

    /// What happens when, to whom.
    fn script(&self, rng: &mut StdRng) -> Vec<(u64, Fault)> {
        let mut all: Vec<usize> = (0..self.proxies).collect();
        all.shuffle(rng);
        let seven = all[..self.proxies * 7 / 10].to_vec();
        let zone: Vec<usize> = (0..self.proxies).filter(|one| one % 3 == 0).collect();
        let died = |at: u64, back: u64, who: Vec<usize>| -> Vec<(u64, Fault)> {
            let deaths = who.iter().map(|one| (at, Fault::Die(*one)));
            deaths.chain(who.iter().map(|one| (back, Fault::Return(*one)))).collect()
        };
        match self.event {
            Event::Release | Event::Deaths => {
                let asked = if self.event == Event::Release { 2_000 } else { 0 };
                let each = 20_000 / seven.len() as u64;
                let at = |nth: usize| BEGINS + nth as u64 * each;
                let leaves = seven.iter().enumerate().map(|(nth, one)| (at(nth), Fault::Leave(*one)));
                let deaths = seven.iter().enumerate().map(|(nth, one)| (at(nth) + asked, Fault::Die(*one)));
                let returns = seven.iter().map(|one| (BEGINS + 45_000, Fault::Return(*one)));
                let mut script: Vec<(u64, Fault)> =
                    leaves.filter(|_| asked > 0).chain(deaths).chain(returns).collect();
                script.sort_by_key(|(at, _)| *at);
                script
            }
            Event::Crash => died(BEGINS, BEGINS + 40_000, seven),
            Event::Zone => died(BEGINS, BEGINS + 40_000, zone),
            Event::Cut => vec![(BEGINS, Fault::Cut), (BEGINS + 6_000, Fault::Heal)],
        }
    }

    /// What is wanted, over what the origin bears.
    fn demand(&self, now: u64) -> f64 {
        match self.event {
            Event::Cut if (BEGINS..BEGINS + 12_000).contains(&now) => 1.6,
            Event::Cut => 0.6,
            _ => 0.55,
        }
    }

    /// When it is over, for what is counted.
    fn over(&self) -> u64 {
        match self.event {
            Event::Cut => BEGINS + 12_000,
            Event::Release | Event::Deaths => BEGINS + 45_000,
            _ => BEGINS + 40_000,
        }
    }
}

/// Takes the first of a queue if it is due.
fn due<T>(queue: &mut VecDeque<T>, is_due: impl Fn(&T) -> bool) -> Option<T> {
    queue.front().is_some_and(is_due).then(|| queue.pop_front()).flatten()
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Leave(usize),
    Die(usize),
    Return(usize),
    Cut,
    Heal,
}

impl World {
    fn play(&mut self) -> Outcome {
        let day = self.day;
        let mut script: VecDeque<(u64, Fault)> = day.script(&mut self.rng).into();
        let deaths = script.iter().filter(|(_, fault)| matches!(fault, Fault::Die(_)));
        let last_death = deaths.map(|(at, _)| *at).max();
        let (mut wanted, mut served, mut over_ms) = (0, 0, 0);
        let (mut sum, mut grown, mut shares) = (0f64, None, Vec::new());
        let (mut begun, mut in_second, mut fetches) = (VecDeque::new(), 0, 0);
        while self.now < ENDS {
            self.now += STEP;
            while let Some((_, fault)) = due(&mut script, |(at, _)| *at <= self.now) {
                self.befall(fault);
            }
            self.notice();
            if let Some(sharing) = &mut self.sharing {
                sharing.run(STEP);
            }
            let counts = (BEGINS..day.over()).contains(&self.now);
            let in_time = self.end_calls();
            served += if counts { in_time } else { 0 };
            let asked = self.ask();
            wanted += if counts { asked } else { 0 };
            let started = self.call();
            begun.push_back((self.now, started));
            in_second += started;
            while let Some((_, old)) = due(&mut begun, |(at, _)| *at + 1_000 <= self.now) {
                in_second -= old;
            }
            fetches = fetches.max(in_second);
            over_ms += if self.origin.calls_in_flight() > self.origin.capacity { STEP } else { 0 };
            let all: f64 = (0..day.proxies).filter(|one| self.alive[*one]).map(|one| self.share(one)).sum();
            sum = sum.max(all);
            if self.now.is_multiple_of(200) {
                shares.push((self.now as f64 / 1000.0, all));
            }
            let left = self.alive.iter().filter(|alive| **alive).count() as f64 / day.proxies as f64;
            if last_death.is_some_and(|at| self.now > at && self.now < day.over()) && grown.is_none() {
                // Base and lease of those who are left; a part of a call is nobody's.
                grown = (all >= 0.99 * (0.5 + 0.5 * left)).then(|| self.now - last_death.unwrap_or(0));
            }
        }
        let most =
            self.sharing.as_ref().map_or(sum, |sharing| sharing.max_parts_in_use as f64 / WHOLE_PARTS as f64);
        let second = self.origin.capacity as f64 * 1000.0 / TAKES as f64;
        Outcome {
            proxies: day.proxies,
            event: day.event,
            rule: day.rule,
            wanted,
            served_percent: 100.0 * served as f64 / wanted.max(1) as f64,
            most: self.origin.max_calls as f64 / self.origin.capacity as f64,
            over_ms,
            falls: self.origin.outages,
            fetches: fetches as f64 / second,
            sum: sum.max(most),
            grown_ms: grown,
            shares,
        }
    }

    fn befall(&mut self, fault: Fault) {
        match fault {
            Fault::Leave(one) => self.sharing.iter_mut().for_each(|sharing| sharing.leave(one)),
            Fault::Die(one) => {
                self.alive[one] = false;
                self.waiting[one].clear();
                self.out[one].clear();
                self.sharing.iter_mut().for_each(|sharing| sharing.kill(one));
            }
            Fault::Return(one) => {
                self.alive[one] = true;
                self.sharing.iter_mut().for_each(|sharing| sharing.start(one));
            }
            Fault::Cut => {
                let count = self.side.len();
                self.side = (0..count).map(|one| u8::from(one % 2 == 0)).collect();
                let (even, odd): (Vec<usize>, Vec<usize>) = (0..count).partition(|one| one % 2 == 0);
                self.sharing.iter_mut().for_each(|sharing| sharing.network.cut_into(&[&even, &odd]));
            }
            Fault::Heal => {
                self.side.fill(0);
                self.sharing.iter_mut().for_each(|sharing| sharing.network.heal());
            }
        }
        self.later.push_back((self.now + NOTICED, self.alive.clone(), self.side.clone()));
    }

    fn notice(&mut self) {
        while let Some((_, alive, side)) = due(&mut self.later, |(at, ..)| *at <= self.now) {
            self.noticed = (alive, side);
            let Some(sharing) = &mut self.sharing else { continue };
            let (alive, side) = &self.noticed;
            for host in 0..alive.len() {
                let known = (0..alive.len()).filter(|one| alive[*one] && side[*one] == side[host]);
                let known = known.map(|one| sharing.process(one)).collect();
                sharing.set_live_processes(host, known);
            }
        }
    }

    fn share(&self, one: usize) -> f64 {
        match self.day.rule {
            Rule::Static => 1.0 / self.day.proxies as f64,
            Rule::Live => {
                let (alive, side) = &self.noticed;
                let there = (0..alive.len())
                    .filter(|other| *other != one && alive[*other] && side[*other] == side[one]);
                1.0 / (there.count() + 1) as f64
            }
            Rule::Leased => {
                self.sharing.as_ref().map_or(0.0, |s| s.usable_parts(one) as f64 / WHOLE_PARTS as f64)
            }
        }
    }

    /// Clients want fetches of those that are alive; how many.
    fn ask(&mut self) -> u64 {
        let alive: Vec<usize> = (0..self.alive.len()).filter(|one| self.alive[*one]).collect();
        let a_step = self.day.demand(self.now) * self.origin.capacity as f64 * STEP as f64 / TAKES as f64;
        let more = self.rng.random_bool(a_step.fract());
        let count = a_step as u64 + u64::from(more);
        for _ in 0..count {
            let one = alive[self.rng.random_range(0..alive.len())];
            self.waiting[one].push_back(self.now);
        }
        count
    }

    /// Calls that ended; how many of them in time.
    fn end_calls(&mut self) -> u64 {
        let mut in_time = 0;
        for one in self.origin.take_ended(self.now) {
            let asked = self.out[one].pop_front();
            in_time += u64::from(asked.is_some_and(|asked| asked + DEADLINE >= self.now));
        }
        in_time
    }

    /// Each begins what its share allows; how many.
    fn call(&mut self) -> u64 {
        let mut started = 0;
        let bears = self.origin.capacity as f64;
        for one in (0..self.alive.len()).filter(|one| self.alive[*one]).collect::<Vec<_>>() {
            // Who would be answered too late is given up at once.
            self.waiting[one].retain(|asked| asked + DEADLINE >= self.now + TAKES);
            let may = (self.share(one) * bears + 1e-9).floor() as usize;
            while self.out[one].len() < may {
                let Some(asked) = self.waiting[one].pop_front() else { break };
                self.out[one].push_back(asked);
                started += 1;
                for lost in self.origin.begin_call(self.now, one) {
                    self.out[lost].pop_front();
                }
            }
        }
        started
    }
}

#[cfg(test)]
mod tests;
