//! The simulated proxies of a scenario, their quotas and their origin: [`ScenarioSimulation`].

use super::script::Fault;
use super::{take_due, Rule, Scenario, CALLS_PER_PROXY, CALL_DURATION_MS, DEADLINE_MS, STEP_MS};
use pinetrail_quota::TOTAL_PARTS;
use pinetrail_simulation::origin::Origin;
use pinetrail_simulation::quota::QuotaSimulation;
use rand::rngs::StdRng;
use rand::RngExt;
use std::collections::VecDeque;
use std::time::Duration;

/// The time after the end or restart of a proxy, or after a change of the partition, until the
/// other proxies detect it.
const DETECTION_DELAY_MS: u64 = 2_500;
/// The duration of an outage of the origin after an overload.
const OUTAGE_DURATION_MS: u64 = 3_000;
/// The tolerance that keeps a quota of a complete number of attempts from being rounded down by
/// one.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// The maximum number of founders of a simulated fleet.
const MAX_FOUNDERS: usize = 15;

/// The live proxies and the side of the partition of each proxy, either as they are or as the
/// proxies observe them.
#[derive(Clone)]
struct Liveness {
    alive: Vec<bool>,
    /// The side of the partition on which each proxy is.
    side: Vec<u8>,
}

impl Liveness {
    /// Returns the live proxies that one proxy reaches, itself included if it is alive.
    fn reached_by(&self, proxy: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.alive.len()).filter(move |other| self.alive[*other] && self.side[*other] == self.side[proxy])
    }
}

/// A state of the proxies and the time at which they detect it.
struct LivenessUpdate {
    at: u64,
    liveness: Liveness,
}

/// The proxies of a scenario, their origin and their quotas at one moment.
pub(super) struct ScenarioSimulation {
    scenario: Scenario,
    now: u64,
    rng: StdRng,
    actual: Liveness,
    /// The liveness and the sides that the proxies have detected.
    observed: Liveness,
    pending_updates: VecDeque<LivenessUpdate>,
    /// For each proxy, the times at which its waiting fetches were requested.
    waiting: Vec<VecDeque<u64>>,
    /// For each proxy, the times at which its fetches in flight were requested.
    in_flight: Vec<VecDeque<u64>>,
    pub(super) origin: Origin,
    /// The quota processes as they run in service, for [`Rule::Leased`] only.
    quota: Option<QuotaSimulation>,
}

impl ScenarioSimulation {
    pub(super) fn new(scenario: Scenario, rng: StdRng) -> ScenarioSimulation {
        let count = scenario.proxies;
        let all_alive = Liveness { alive: vec![true; count], side: vec![0; count] };
        ScenarioSimulation {
            scenario,
            now: 0,
            rng,
            actual: all_alive.clone(),
            observed: all_alive,
            pending_updates: VecDeque::new(),
            waiting: vec![VecDeque::new(); count],
            in_flight: vec![VecDeque::new(); count],
            origin: Origin::new(CALLS_PER_PROXY * count, CALL_DURATION_MS, OUTAGE_DURATION_MS),
            quota: (scenario.rule == Rule::Leased).then(|| start_quota(&scenario)),
        }
    }

    /// Injects the faults of a step and advances simulated time to `now`, in ms.
    pub(super) fn advance(&mut self, now: u64, faults: &[Fault]) {
        self.now = now;
        for fault in faults {
            self.inject(*fault);
        }
        while let Some(update) = take_due(&mut self.pending_updates, |update| update.at <= now) {
            self.apply_update(update.liveness);
        }
        if let Some(quota) = &mut self.quota {
            quota.run(STEP_MS);
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Shutdown(proxy) => {
                if let Some(quota) = &mut self.quota {
                    quota.begin_shutdown(proxy);
                }
            }
            Fault::Crash(proxy) => {
                self.actual.alive[proxy] = false;
                self.waiting[proxy].clear();
                self.in_flight[proxy].clear();
                if let Some(quota) = &mut self.quota {
                    quota.kill(proxy);
                }
            }
            Fault::Restart(proxy) => {
                self.actual.alive[proxy] = true;
                if let Some(quota) = &mut self.quota {
                    quota.start(proxy);
                }
            }
            Fault::Partition => self.partition(),
            Fault::Heal => {
                self.actual.side.fill(0);
                if let Some(quota) = &mut self.quota {
                    quota.network.heal();
                }
            }
        }
        self.pending_updates
            .push_back(LivenessUpdate { at: self.now + DETECTION_DELAY_MS, liveness: self.actual.clone() });
    }

    fn partition(&mut self) {
        let count = self.scenario.proxies;
        let (even, odd): (Vec<usize>, Vec<usize>) = (0..count).partition(|proxy| proxy % 2 == 0);
        for proxy in &even {
            self.actual.side[*proxy] = 1;
        }
        if let Some(quota) = &mut self.quota {
            quota.network.partition(&[&even, &odd]);
        }
    }

    /// Applies a detected state to the view of the proxies, from which they compute their quotas.
    fn apply_update(&mut self, liveness: Liveness) {
        self.observed = liveness;
        let Some(quota) = &mut self.quota else { return };
        for proxy in 0..self.scenario.proxies {
            let known = self.observed.reached_by(proxy).map(|other| quota.process(other)).collect();
            quota.set_live_processes(proxy, known);
        }
    }

    /// Returns the quota of one proxy as a fraction of the origin's capacity.
    fn quota_of(&self, proxy: usize) -> f64 {
        match self.scenario.rule {
            Rule::Static => 1.0 / self.scenario.proxies as f64,
            Rule::Live => {
                let others = self.observed.reached_by(proxy).filter(|other| *other != proxy);
                1.0 / (others.count() + 1) as f64
            }
            Rule::Leased => {
                let parts = self.quota.as_ref().map_or(0, |quota| quota.usable_parts(proxy));
                parts as f64 / TOTAL_PARTS as f64
            }
        }
    }

    /// Returns the sum of the quotas of all live proxies, as a multiple of the origin's capacity.
    pub(super) fn quota_sum(&self) -> f64 {
        self.live_proxies().into_iter().map(|proxy| self.quota_of(proxy)).sum()
    }

    /// Returns the largest sum of leased quotas so far, with attempts that began under earlier
    /// quotas; none under the other rules.
    pub(super) fn largest_quota_in_use(&self) -> Option<f64> {
        let quota = self.quota.as_ref()?;
        Some(quota.max_parts_in_use as f64 / TOTAL_PARTS as f64)
    }

    fn live_proxies(&self) -> Vec<usize> {
        (0..self.scenario.proxies).filter(|proxy| self.actual.alive[*proxy]).collect()
    }

    /// Returns the fraction of proxies that are alive.
    pub(super) fn live_fraction(&self) -> f64 {
        self.live_proxies().len() as f64 / self.scenario.proxies as f64
    }

    /// Adds the fetches that clients request from live proxies in this step; returns their number.
    pub(super) fn request_fetches(&mut self) -> u64 {
        let live_proxies = self.live_proxies();
        let capacity = self.origin.capacity as f64;
        let wanted = self.scenario.demand(self.now) * capacity * STEP_MS as f64 / CALL_DURATION_MS as f64;
        let one_more = self.rng.random_bool(wanted.fract());
        let count = wanted as u64 + u64::from(one_more);
        for _ in 0..count {
            let proxy = live_proxies[self.rng.random_range(0..live_proxies.len())];
            self.waiting[proxy].push_back(self.now);
        }
        count
    }

    /// Ends the fetches that the origin has completed; returns how many of them were in time.
    pub(super) fn end_fetches(&mut self) -> u64 {
        let mut in_time = 0;
        for proxy in self.origin.take_ended(self.now) {
            let wanted_at = self.in_flight[proxy].pop_front();
            in_time += u64::from(wanted_at.is_some_and(|at| at + DEADLINE_MS >= self.now));
        }
        in_time
    }

    /// Begins the fetches that the quotas of the proxies allow; returns their number.
    pub(super) fn begin_fetches(&mut self) -> u64 {
        let mut begun = 0;
        for proxy in self.live_proxies() {
            // Fetches that would end after their deadline are dropped before they use the quota.
            self.waiting[proxy].retain(|wanted_at| wanted_at + DEADLINE_MS >= self.now + CALL_DURATION_MS);
            let allowed =
                (self.quota_of(proxy) * self.origin.capacity as f64 + ROUNDING_TOLERANCE).floor() as usize;
            while self.in_flight[proxy].len() < allowed {
                let Some(wanted_at) = self.waiting[proxy].pop_front() else { break };
                self.in_flight[proxy].push_back(wanted_at);
                begun += 1;
                for lost in self.origin.begin_call(self.now, proxy) {
                    self.in_flight[lost].pop_front();
                }
            }
        }
        begun
    }
}

fn start_quota(scenario: &Scenario) -> QuotaSimulation {
    let count = scenario.proxies;
    let mut quota = QuotaSimulation::new(count, MAX_FOUNDERS.min(count), count, scenario.seed);
    quota.settings.max_attempt_duration = Duration::from_millis(DEADLINE_MS);
    for proxy in 0..count {
        quota.start(proxy);
    }
    quota.update_all_live_processes();
    quota
}
