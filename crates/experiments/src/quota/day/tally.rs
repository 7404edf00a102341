//! The measurements of a scenario: [`Measurements`].

use super::script::{Fault, ScriptStep};
use super::world::ScenarioSimulation;
use super::{take_due, Outcome, Scenario, CALL_DURATION_MS, START_OF_EVENT_MS, STEP_MS};
use std::collections::VecDeque;

/// The time between two points of the plot of quotas.
const PLOT_INTERVAL_MS: u64 = 200;
/// The length of the sliding window over which the rate of fetches is measured.
const RATE_WINDOW_MS: u64 = 1_000;
/// The fraction of their quota from which the survivors count as recovered.
const RECOVERED_FRACTION: f64 = 0.99;

/// The number of fetches that began in one step.
struct StartedFetches {
    at: u64,
    fetches: u64,
}

/// The measurements of a scenario so far.
pub(super) struct Measurements {
    scenario: Scenario,
    last_crash: Option<u64>,
    wanted: u64,
    served: u64,
    over_ms: u64,
    largest_quota_sum: f64,
    recovery_ms: Option<u64>,
    quota_sums: Vec<(f64, f64)>,
    /// The fetches that began within the last [`RATE_WINDOW_MS`].
    begun: VecDeque<StartedFetches>,
    fetches_in_window: u64,
    most_fetches_in_window: u64,
}

impl Measurements {
    pub(super) fn new(scenario: Scenario, steps: &VecDeque<ScriptStep>) -> Measurements {
        let crashes = steps.iter().filter(|step| matches!(step.fault, Fault::Crash(_)));
        Measurements {
            scenario,
            last_crash: crashes.map(|step| step.at).max(),
            wanted: 0,
            served: 0,
            over_ms: 0,
            largest_quota_sum: 0.0,
            recovery_ms: None,
            quota_sums: Vec::new(),
            begun: VecDeque::new(),
            fetches_in_window: 0,
            most_fetches_in_window: 0,
        }
    }

    /// Plays the fetches of one step and counts them: those that end, those that clients request
    /// and those that begin.
    pub(super) fn add_step(&mut self, now: u64, simulation: &mut ScenarioSimulation) {
        let in_time = simulation.end_fetches();
        let wanted = simulation.request_fetches();
        if (START_OF_EVENT_MS..self.scenario.end_of_event()).contains(&now) {
            self.served += in_time;
            self.wanted += wanted;
        }
        self.add_started_fetches(now, simulation.begin_fetches());
        if simulation.origin.calls_in_flight() > simulation.origin.capacity {
            self.over_ms += STEP_MS;
        }
        self.add_quota_sum(now, simulation);
    }

    fn add_started_fetches(&mut self, now: u64, fetches: u64) {
        self.begun.push_back(StartedFetches { at: now, fetches });
        self.fetches_in_window += fetches;
        while let Some(old) = take_due(&mut self.begun, |begun| begun.at + RATE_WINDOW_MS <= now) {
            self.fetches_in_window -= old.fetches;
        }
        self.most_fetches_in_window = self.most_fetches_in_window.max(self.fetches_in_window);
    }

    fn add_quota_sum(&mut self, now: u64, simulation: &ScenarioSimulation) {
        let sum = simulation.quota_sum();
        self.largest_quota_sum = self.largest_quota_sum.max(sum);
        if now.is_multiple_of(PLOT_INTERVAL_MS) {
            self.quota_sums.push((now as f64 / 1000.0, sum));
        }
        let Some(last_crash) = self.last_crash else { return };
        if self.recovery_ms.is_some() || now <= last_crash || now >= self.scenario.end_of_event() {
            return;
        }
        // Half of the capacity is guaranteed and divided among all proxies, so that the survivors
        // have their part of it only. The other half is leased to the survivors. Rounding down to
        // complete attempts loses a small part.
        if sum >= RECOVERED_FRACTION * (0.5 + 0.5 * simulation.live_fraction()) {
            self.recovery_ms = Some(now - last_crash);
        }
    }

    pub(super) fn outcome(self, simulation: &ScenarioSimulation) -> Outcome {
        let largest_in_use = simulation.largest_quota_in_use().unwrap_or(self.largest_quota_sum);
        let capacity = simulation.origin.capacity as f64;
        let fetches_a_second = capacity * 1000.0 / CALL_DURATION_MS as f64;
        Outcome {
            proxies: self.scenario.proxies,
            event: self.scenario.event,
            rule: self.scenario.rule,
            wanted: self.wanted,
            served_percent: 100.0 * self.served as f64 / self.wanted.max(1) as f64,
            most: simulation.origin.max_calls as f64 / capacity,
            over_ms: self.over_ms,
            falls: simulation.origin.outages,
            fetches: self.most_fetches_in_window as f64 / fetches_a_second,
            sum: self.largest_quota_sum.max(largest_in_use),
            grown_ms: self.recovery_ms,
            shares: self.quota_sums,
        }
    }
}
