//! Model checking of the quota with `stateright`: [`QuotaModel`] runs the transition functions that
//! run in service, in every order of faults up to a bound.
//!
//! Three founders share a quota. The exploration begins when all have their leases. Messages arrive
//! at once unless a fault loses, holds back or duplicates them.

mod state;
mod transitions;

pub use state::{Action, Delivery, Link, MessageFault, State};

use pinetrail_clock::Timestamp;
use pinetrail_quota::{Parts, Settings, LEASABLE_PARTS, TOTAL_PARTS};
use state::{host_address, HOSTS};
use stateright::{Checker, Expectation, Model, Property};
use std::fmt;
use std::time::Duration;

/// The quota of three processes, and the bounds of its exploration.
#[derive(Clone, Debug)]
pub struct QuotaModel {
    settings: Settings,
    /// The rate of each host's clock, in thousandths of the simulated time.
    clock_rates: [u64; HOSTS],
    max_faults: usize,
    max_ticks: u64,
}

/// A property that does not hold.
#[derive(Clone, Debug)]
pub struct PropertyViolation {
    /// The name of the property.
    pub property: &'static str,
    /// The actions that lead to the violation; none if the property should hold in some state and
    /// holds in no state.
    pub actions: Option<Vec<Action>>,
}

impl fmt::Display for PropertyViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.actions {
            Some(actions) => write!(formatter, "{}: violated by {actions:?}", self.property),
            None => write!(formatter, "{}: holds in no state", self.property),
        }
    }
}

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct Exploration {
    /// The number of states that were visited, with repetitions.
    pub states: usize,
    /// The number of different states that were visited.
    pub unique_states: usize,
    /// The properties that do not hold.
    pub violations: Vec<PropertyViolation>,
}

impl QuotaModel {
    /// Creates a model with at most `max_faults` faults within `max_ticks` ticks. The clocks run at
    /// these rates, in thousandths of the simulated time.
    pub fn new(max_faults: usize, max_ticks: u64, clock_rates: [u64; HOSTS]) -> QuotaModel {
        let settings = Settings {
            heartbeat_period: Duration::from_millis(100),
            vote_duration: Duration::from_millis(200),
            lease_duration: Duration::from_millis(300),
            max_attempt_duration: Duration::ZERO,
            growth_steps: 1,
            ..Settings::with_defaults((0..HOSTS).map(host_address).collect(), HOSTS)
        };
        QuotaModel { settings, clock_rates, max_faults, max_ticks }
    }

    /// Explores every state within the bounds, or ends with the first violation.
    pub fn explore(&self, threads: usize) -> Exploration {
        let checker = self.clone().checker().threads(threads).spawn_bfs().join();
        let mut discoveries = checker.discoveries();
        let mut violations = Vec::new();
        for property in self.properties() {
            let path = discoveries.remove(property.name);
            let is_example = matches!(property.expectation, Expectation::Sometimes);
            // The path is an example of a `sometimes` property, a counterexample of any other.
            if path.is_some() != is_example {
                let actions = path.map(stateright::Path::into_actions);
                violations.push(PropertyViolation { property: property.name, actions });
            }
        }
        Exploration { states: checker.state_count(), unique_states: checker.unique_state_count(), violations }
    }

    /// Returns the time that the clock of a host shows.
    fn clock(&self, state: &State, host: usize) -> Timestamp {
        Timestamp::from_millis(state.now * self.clock_rates[host] / 1000)
    }

    fn usable_parts(&self, state: &State, host: usize) -> Parts {
        let now = self.clock(state, host);
        state.hosts[host].as_ref().map_or(0, |leases| leases.usable_parts(now))
    }

    fn is_leader(&self, state: &State, host: usize) -> bool {
        let now = self.clock(state, host);
        state.hosts[host].as_ref().is_some_and(|leases| leases.is_leader(now))
    }

    fn has_only_minimum(&self, state: &State, host: usize) -> bool {
        let minimum = self.settings.guaranteed_minimum();
        state.hosts[host].is_some() && self.usable_parts(state, host) == minimum
    }

    /// Whether all hosts have equal parts of the leasable total.
    fn all_have_equal_leases(&self, state: &State) -> bool {
        let equal = self.settings.guaranteed_minimum() + LEASABLE_PARTS / HOSTS as Parts;
        (0..HOSTS).all(|host| self.usable_parts(state, host) == equal)
    }
}

/// Returns the properties that must hold in every state.
fn safety_properties() -> Vec<Property<QuotaModel>> {
    vec![
        Property::always("quotas add up to one at the most", |model: &QuotaModel, state: &State| {
            (0..HOSTS).map(|host| model.usable_parts(state, host)).sum::<Parts>() <= TOTAL_PARTS
        }),
        Property::always("one leader at the most", |model: &QuotaModel, state: &State| {
            (0..HOSTS).filter(|host| model.is_leader(state, *host)).count() <= 1
        }),
        Property::always("leases are equal after the faults end", |model: &QuotaModel, state: &State| {
            state.ticks < model.max_ticks || model.recovers(state)
        }),
    ]
}

/// Returns the properties that must hold in some state, as evidence that the exploration covers
/// such states.
fn reachable_properties() -> Vec<Property<QuotaModel>> {
    vec![
        Property::sometimes("the view changes", |_, state: &State| {
            state.hosts.iter().flatten().any(|leases| leases.view_number() > 2)
        }),
        Property::sometimes("a host has more than an equal quota", |model: &QuotaModel, state: &State| {
            let third = model.settings.guaranteed_minimum() + LEASABLE_PARTS / 3;
            (0..HOSTS).any(|host| model.usable_parts(state, host) > third)
        }),
        Property::sometimes("a host has only its guaranteed minimum", |model: &QuotaModel, state: &State| {
            (0..HOSTS).any(|host| model.has_only_minimum(state, host))
        }),
    ]
}

impl Model for QuotaModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.settled_state()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.ticks < self.max_ticks {
            actions.push(Action::Tick);
        }
        state.recoveries(actions);
        if state.faults < self.max_faults {
            state.possible_faults(actions);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        Some(self.after(state, action))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = safety_properties();
        properties.extend(reachable_properties());
        properties
    }
}
