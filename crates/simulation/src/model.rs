//! Shares as a model for `stateright`: the transition functions that run in service, in every order of faults up to a
//! bound. Three founders share, from the moment on at which all have their leases. What is sent arrives at once unless a
//! fault has it lost, held back, or arrive twice.

use pinetrail_quota::{
    Message, Output, Parts, Process, QuotaLeases, Settings, Time, LEASED_PARTS, WHOLE_PARTS,
};
use stateright::{Checker, Expectation, Model, Property};
use std::collections::BTreeSet;
use std::net::SocketAddr;

const HOSTS: usize = 3;
const STEP: Time = 100;

fn place(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8], 1))
}

/// What is explored.
#[derive(Clone, Debug)]
pub struct Scope {
    settings: Settings,
    /// How fast each clock runs, in thousandths.
    rates: [u64; HOSTS],
    faults: usize,
    ticks: u64,
}

/// What was found.
#[derive(Clone, Debug)]
pub struct Found {
    /// States looked at.
    pub states: usize,
    /// How many of them differ.
    pub unique: usize,
    /// What does not hold, each with what happens until it shows.
    pub broken: Vec<String>,
}

impl Scope {
    /// So many faults within so many ticks, with clocks that run at these rates, in thousandths.
    pub fn new(faults: usize, ticks: u64, rates: [u64; HOSTS]) -> Scope {
        let usual = Settings::with_defaults((0..HOSTS).map(place).collect(), HOSTS);
        let settings = Settings {
            heartbeat_period: 100,
            vote_duration: 200,
            lease_duration: 300,
            longest_call: 0,
            growth_steps: 1,
            ..usual
        };
        Scope { settings, rates, faults, ticks }
    }

    /// Explores all of it on so many threads; it ends with the first thing that does not hold.
    pub fn explore(&self, threads: usize) -> Found {
        let checker = self.clone().checker().threads(threads).spawn_bfs().join();
        let mut found = checker.discoveries();
        let mut broken = Vec::new();
        for property in self.properties() {
            let way = found.remove(property.name).map(|path| format!("{:?}", path.into_actions()));
            match (property.expectation, way) {
                (Expectation::Sometimes, Some(_)) | (Expectation::Always | Expectation::Eventually, None) => {
                }
                (_, way) => broken.push(format!("{}: {}", property.name, way.unwrap_or("never".to_owned()))),
            }
        }
        Found { states: checker.state_count(), unique: checker.unique_state_count(), broken }
    }
}

/// What happens to the next message on a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fate {
    Lost,
    Held,
    Twice,
}

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Do {
    Tick,
    Fate(usize, usize, Fate),
    /// Nothing passes from and to a host, or on a way.
    CutOff(usize),
    Cut(usize, usize),
    Heal,
    Release,
    Crash(usize),
    Start(usize),
    Pause(usize),
    Wake(usize),
    /// Everybody takes this host for dead, or for alive: the view changes.
    Deny(usize),
    Admit(usize),
}

/// All there is at a moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: Time,
    hosts: Vec<Option<QuotaLeases>>,
    starts: Vec<u64>,
    paused: BTreeSet<usize>,
    denied: BTreeSet<usize>,
    cuts: BTreeSet<(usize, usize)>,
    fates: BTreeSet<(usize, usize, Fate)>,
    held: Vec<(usize, Message)>,
    inbox: Vec<(usize, Message)>,
    faults: usize,
    ticks: u64,
}

impl State {
    fn process(&self, host: usize) -> Process {
        Process { address: place(host), start: self.starts[host] }
    }

    fn know(&mut self) {
        let there: Vec<Process> = (0..HOSTS)
            .filter(|host| self.hosts[*host].is_some() && !self.denied.contains(host))
            .map(|host| self.process(host))
            .collect();
        self.hosts.iter_mut().flatten().for_each(|shares| shares.set_live_processes(there.clone()));
    }
}

impl Scope {
    fn clock(&self, state: &State, host: usize) -> Time {
        state.now * self.rates[host] / 1000
    }

    fn share(&self, state: &State, host: usize) -> Parts {
        state.hosts[host].as_ref().map_or(0, |shares| shares.usable_parts(self.clock(state, host)))
    }

    fn send(&self, state: &mut State, from: usize, out: Vec<Output>, queue: &mut Vec<(usize, Message)>) {
        for output in out {
            let Output::Send(to, message) = output else { continue };
            let to = (0..HOSTS).find(|host| place(*host) == to).expect("a host");
            let fate = |fate| (from, to, fate);
            if state.cuts.contains(&(from, to)) || state.fates.remove(&fate(Fate::Lost)) {
                continue;
            }
            if state.fates.remove(&fate(Fate::Held)) {
                state.held.push((to, message));
                continue;
            }
            if state.fates.remove(&fate(Fate::Twice)) {
                queue.push((to, message.clone()));
            }
            queue.push((to, message));
        }
    }

    /// Delivers what is under way, and what that leads to.
    fn settle(&self, state: &mut State, mut queue: Vec<(usize, Message)>) {
        while !queue.is_empty() {
            let (to, message) = queue.remove(0);
            if state.paused.contains(&to) {
                state.inbox.push((to, message));
                continue;
            }
            let now = self.clock(state, to);
            let mut out = Vec::new();
            if let Some(shares) = state.hosts[to].as_mut() {
                shares.handle_message(now, &message, &mut out);
            }
            self.send(state, to, out, &mut queue);
        }
    }

    fn wake(&self, state: &mut State, host: usize) {
        let now = self.clock(state, host);
        let mut out = Vec::new();
        if let Some(shares) = state.hosts[host].as_mut().filter(|shares| shares.next_timeout() <= now) {
            shares.handle_timeout(now, &mut out);
        }
        let mut queue = Vec::new();
        self.send(state, host, out, &mut queue);
        self.settle(state, queue);
    }

    fn tick(&self, state: &mut State) {
        state.now += STEP;
        for host in (0..HOSTS).filter(|host| !state.paused.contains(host)).collect::<Vec<_>>() {
            self.wake(state, host);
        }
    }

    fn start(&self, state: &mut State, host: usize) {
        state.starts[host] += 1;
        let now = self.clock(state, host);
        let shares = QuotaLeases::new(self.settings.clone(), state.process(host), now).expect("possible");
        state.hosts[host] = Some(shares);
        state.know();
    }

    fn done(&self, state: &State, action: Do) -> State {
        let mut next = state.clone();
        let mut queue = Vec::new();
        let is_fault =
            !matches!(action, Do::Tick | Do::Heal | Do::Release | Do::Start(_) | Do::Wake(_) | Do::Admit(_));
        next.faults += usize::from(is_fault);
        match action {
            Do::Tick => {
                next.ticks += 1;
                self.tick(&mut next);
            }
            Do::Fate(from, to, fate) => drop(next.fates.insert((from, to, fate))),
            Do::CutOff(host) => (0..HOSTS).filter(|other| *other != host).for_each(|other| {
                next.cuts.extend([(host, other), (other, host)]);
            }),
            Do::Cut(from, to) => drop(next.cuts.insert((from, to))),
            Do::Heal => next.cuts.clear(),
            Do::Release => queue = std::mem::take(&mut next.held),
            Do::Crash(host) => {
                next.hosts[host] = None;
                next.paused.remove(&host);
                next.inbox.retain(|(to, _)| *to != host);
                next.know();
            }
            Do::Start(host) => self.start(&mut next, host),
            Do::Pause(host) => drop(next.paused.insert(host)),
            Do::Wake(host) => {
                next.paused.remove(&host);
                self.wake(&mut next, host);
                let (own, others) =
                    std::mem::take(&mut next.inbox).into_iter().partition(|(to, _)| *to == host);
                (queue, next.inbox) = (own, others);
            }
            Do::Deny(host) => {
                next.denied.insert(host);
                next.know();
            }
            Do::Admit(host) => {
                next.denied.remove(&host);
                next.know();
            }
        }
        self.settle(&mut next, queue);
        next
    }

    /// The fleet once all have their leases.
    fn begun(&self) -> State {
        let mut state = State {
            now: 10_000,
            hosts: vec![None; HOSTS],
            starts: vec![0; HOSTS],
            paused: BTreeSet::new(),
            denied: BTreeSet::new(),
            cuts: BTreeSet::new(),
            fates: BTreeSet::new(),
            held: Vec::new(),
            inbox: Vec::new(),
            faults: 0,
            ticks: 0,
        };
        (0..HOSTS).for_each(|host| self.start(&mut state, host));
        for _ in 0..60 {
            self.tick(&mut state);
        }
        assert!(self.all_have_theirs(&state), "{state:#?}");
        state
    }

    fn all_have_theirs(&self, state: &State) -> bool {
        let due = self.settings.guaranteed_minimum() + LEASED_PARTS / HOSTS as u64;
        (0..HOSTS).all(|host| self.share(state, host) == due)
    }

    /// Whether all have theirs some time after the last fault.
    fn recovers(&self, state: &State) -> bool {
        let mut state = state.clone();
        (state.cuts, state.fates, state.denied) = Default::default();
        for host in 0..HOSTS {
            if state.hosts[host].is_none() {
                self.start(&mut state, host);
            }
            if state.paused.contains(&host) {
                state = self.done(&state, Do::Wake(host));
            }
        }
        state.know();
        (0..100).any(|_| {
            self.tick(&mut state);
            self.all_have_theirs(&state)
        })
    }
}

impl Model for Scope {
    type State = State;
    type Action = Do;

    fn init_states(&self) -> Vec<State> {
        vec![self.begun()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Do>) {
        if state.ticks < self.ticks {
            actions.push(Do::Tick);
        }
        if !state.cuts.is_empty() {
            actions.push(Do::Heal);
        }
        if !state.held.is_empty() {
            actions.push(Do::Release);
        }
        for host in 0..HOSTS {
            let undone = [
                (state.hosts[host].is_none(), Do::Start(host)),
                (state.paused.contains(&host), Do::Wake(host)),
                (state.denied.contains(&host), Do::Admit(host)),
            ];
            actions.extend(undone.into_iter().filter(|(may, _)| *may).map(|(_, action)| action));
        }
        if state.faults == self.faults {
            return;
        }
        for host in 0..HOSTS {
            if state.hosts[host].is_some() {
                actions.push(Do::Crash(host));
                if state.paused.is_empty() {
                    actions.push(Do::Pause(host));
                }
            }
            if state.denied.is_empty() {
                actions.push(Do::Deny(host));
            }
            if state.cuts.is_empty() {
                actions.push(Do::CutOff(host));
            }
            for to in (0..HOSTS).filter(|to| *to != host) {
                if state.cuts.is_empty() {
                    actions.push(Do::Cut(host, to));
                }
                for fate in [Fate::Lost, Fate::Held, Fate::Twice] {
                    if !state.fates.contains(&(host, to, fate)) {
                        actions.push(Do::Fate(host, to, fate));
                    }
                }
            }
        }
    }

    fn next_state(&self, state: &State, action: Do) -> Option<State> {
        Some(self.done(state, action))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("shares add up to one at the most", |scope: &Scope, state: &State| {
                (0..HOSTS).map(|host| scope.share(state, host)).sum::<Parts>() <= WHOLE_PARTS
            }),
            Property::always("one steward at the most", |scope: &Scope, state: &State| {
                let serves = |host: &usize| {
                    let now = scope.clock(state, *host);
                    state.hosts[*host].as_ref().is_some_and(|shares| shares.is_leader(now))
                };
                (0..HOSTS).filter(serves).count() <= 1
            }),
            Property::always("all have theirs once faults end", |scope: &Scope, state: &State| {
                state.ticks < scope.ticks || scope.recovers(state)
            }),
            // That something was explored at all.
            Property::sometimes("a view changes", |_, state: &State| {
                state.hosts.iter().flatten().any(|shares| shares.view_number() > 2)
            }),
            Property::sometimes("one has more than a third", |scope: &Scope, state: &State| {
                (0..HOSTS).any(|host| {
                    scope.share(state, host) > scope.settings.guaranteed_minimum() + LEASED_PARTS / 3
                })
            }),
            Property::sometimes("one has only its base", |scope: &Scope, state: &State| {
                (0..HOSTS).any(|host| {
                    state.hosts[host].is_some()
                        && scope.share(state, host) == scope.settings.guaranteed_minimum()
                })
            }),
        ]
    }
}
