//! Simulation of a fleet: several decision modules that share no state, cache nodes, an origin,
//! clients, and faults generated from a seed. Everything that is visible from outside is recorded.
//! Read [`simulate`] first.

mod faults;

// Not every test program that includes this module uses these items.
#[allow(unused_imports)]
pub(crate) use faults::{random_script, Fault};

use super::recorded_events::EventRecorder;
use super::*;
use pinetrail_history_checker::{History, HistoryEvent, ProxyEnd, ResponseOutcome};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) const PROXIES: usize = 4;
pub(crate) const NODES: u32 = 6;
/// Work of one attempt.
const ATTEMPT_WORK: f64 = 10.0;
/// Capacity of a warm node, in work per ms.
const NODE_WORK_PER_MS: f64 = 1.1;
/// Duration of the recording after the last request. Every open request ends within it.
const RECORDING_AFTER_MS: Milliseconds = 3000.0;
/// Mean interval between two requests of all clients together.
const REQUEST_INTERVAL_MS: Milliseconds = 2.0;

/// An event of the simulation.
enum FleetEvent {
    RequestArrives,
    /// A timer with this token fires at this incarnation of a proxy.
    TimerFires(usize, u32, u64),
    AttemptArrives(SentAttempt),
    AttemptEnds(SentAttempt, Outcome),
    /// A change of the endpoint list arrives at a proxy.
    ListArrives(usize, Vec<EndpointInfo>),
    Fault(Fault),
    ClientLeaves(usize, RequestNumber),
    ProxyStarts(usize),
}

#[derive(Clone, Copy)]
struct SentAttempt {
    proxy: usize,
    incarnation: u32,
    id: RequestNumber,
    /// Number of the attempt among those of its request.
    ordinal: u8,
    server: BackendNumber,
    sent: Milliseconds,
    /// Time at which the attempt times out.
    until: Milliseconds,
    /// Number of the attempt among all recorded attempts.
    number: u64,
}

struct Proxy {
    balancer: Balancer,
    incarnation: u32,
    alive: bool,
    discovery_cut_until: Milliseconds,
    /// Requests without a final response.
    open: BTreeMap<RequestNumber, OpenRequest>,
}

#[derive(Default)]
struct OpenRequest {
    key: KeyNumber,
    attempts: u8,
    missed_at: Vec<BackendNumber>,
}

#[derive(Default)]
struct StubNode {
    keys: BTreeSet<KeyNumber>,
    silent_until: Milliseconds,
    refuses_until: Milliseconds,
    fails_until: Milliseconds,
    /// Time at which each attempt in progress ends.
    attempt_ends: Vec<Milliseconds>,
}

pub(crate) struct Fleet {
    now: Milliseconds,
    until: Milliseconds,
    rng: SmallRng,
    /// Scheduled events by time in µs, and by sequence number if the times are equal.
    event_queue: BTreeMap<(u64, u64), FleetEvent>,
    /// Sequence number of the event that was scheduled last.
    sequence: u64,
    proxies: Vec<Proxy>,
    nodes: BTreeMap<BackendNumber, StubNode>,
    /// Endpoint list of discovery.
    list: BTreeMap<BackendNumber, EndpointInfo>,
    next_request: RequestNumber,
    recorder: EventRecorder,
}

/// Simulates a fleet for `until` ms under the faults of a script; returns the recorded history.
pub(crate) fn simulate(seed: u64, until: Milliseconds, script: &[(Milliseconds, Fault)]) -> History {
    let mut fleet = Fleet::new(seed, until);
    for (at, fault) in script {
        fleet.schedule(*at, FleetEvent::Fault(*fault));
    }
    fleet.run();
    // An event at the end shows that the recording extends past the deadline of every request.
    fleet.recorder.record_list(fleet.until + RECORDING_AFTER_MS, "p0", false, &[]);
    fleet.recorder.history()
}

impl Fleet {
    fn new(seed: u64, until: Milliseconds) -> Fleet {
        let mut list: BTreeMap<BackendNumber, EndpointInfo> =
            (1..=NODES).map(|id| (id, endpoint(id))).collect();
        list.insert(ORIGIN, endpoint(ORIGIN));
        let mut fleet = Fleet {
            now: 100_000.0,
            until: 100_000.0 + until,
            rng: SmallRng::seed_from_u64(seed),
            event_queue: BTreeMap::new(),
            sequence: 0,
            proxies: Vec::new(),
            nodes: list.keys().map(|id| (*id, StubNode::default())).collect(),
            list,
            next_request: 1,
            recorder: EventRecorder::default(),
        };
        for number in 0..PROXIES {
            let proxy = Proxy {
                balancer: balancer(number, 0),
                incarnation: 0,
                alive: false,
                discovery_cut_until: 0.0,
                open: BTreeMap::new(),
            };
            fleet.proxies.push(proxy);
            let list = fleet.list.values().copied().collect();
            fleet.start_proxy(number, list);
        }
        fleet.schedule(1.0, FleetEvent::RequestArrives);
        fleet
    }

    /// Schedules an event `after` ms from now.
    fn schedule(&mut self, after: Milliseconds, event: FleetEvent) {
        self.sequence += 1;
        let at = ((self.now + after) * 1000.0).ceil() as u64;
        self.event_queue.insert((at, self.sequence), event);
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.event_queue.pop_first() {
            self.now = self.now.max(at as f64 / 1000.0);
            if self.now > self.until + RECORDING_AFTER_MS {
                break;
            }
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::RequestArrives if self.now < self.until => self.send_request(),
            FleetEvent::RequestArrives => {}
            FleetEvent::TimerFires(proxy, incarnation, token) => {
                self.feed(proxy, incarnation, Event::Timer(token))
            }
            FleetEvent::AttemptArrives(attempt) => self.receive_attempt(attempt),
            FleetEvent::AttemptEnds(attempt, outcome) => self.end_attempt(attempt, outcome),
            FleetEvent::ListArrives(proxy, members) => {
                let incarnation = self.proxies[proxy].incarnation;
                if self.now < self.proxies[proxy].discovery_cut_until {
                    let wait = self.proxies[proxy].discovery_cut_until - self.now;
                    return self.schedule(wait, FleetEvent::ListArrives(proxy, members));
                }
                if self.proxies[proxy].alive {
                    self.recorder.record_list(self.now, &proxy_name(proxy), false, &members);
                    self.feed(
                        proxy,
                        incarnation,
                        Event::EndpointList { form: ListForm::Delta, endpoints: members },
                    );
                }
            }
            FleetEvent::Fault(fault) => self.inject(fault),
            FleetEvent::ClientLeaves(proxy, id) => {
                if self.proxies[proxy].open.remove(&id).is_some() {
                    self.recorder.record(
                        self.now,
                        HistoryEvent::ClientDisconnected { request: request_name(proxy, id) },
                    );
                    self.feed(proxy, self.proxies[proxy].incarnation, Event::ClientGone(RequestId(id)));
                }
            }
            FleetEvent::ProxyStarts(proxy) => {
                let list = self.list.values().copied().collect();
                self.start_proxy(proxy, list);
            }
        }
    }

    fn send_request(&mut self) {
        let wait = REQUEST_INTERVAL_MS * -(1.0 - self.rng.gen::<f64>()).ln();
        self.schedule(wait, FleetEvent::RequestArrives);
        let proxy = self.rng.gen_range(0..PROXIES);
        if !self.proxies[proxy].alive {
            return;
        }
        let id = self.next_request;
        self.next_request += 1;
        let skew: f64 = self.rng.gen();
        let key = 1 + (400.0 * skew * skew) as KeyNumber;
        let class = if self.rng.gen_bool(0.9) { SAFE } else { self.rng.gen_range(KEYED_ALL..=UNSAFE) };
        let budget = [120.0, 400.0, 800.0][self.rng.gen_range(0..3)];
        self.proxies[proxy].open.insert(id, OpenRequest { key, ..OpenRequest::default() });
        let (request, name) = (request_name(proxy, id), CLASSES[usize::from(class)].to_owned());
        self.recorder.record(
            self.now,
            HistoryEvent::RequestSent { proxy: self::proxy_name(proxy), request, class: name, budget },
        );
        if self.rng.gen_bool(0.02) {
            let wait = self.rng.gen_range(1.0..budget);
            self.schedule(wait, FleetEvent::ClientLeaves(proxy, id));
        }
        let write = class != SAFE;
        self.feed(
            proxy,
            self.proxies[proxy].incarnation,
            Event::Request(Request { class, budget: span(budget), is_write: write, ..read(id, key) }),
        );
    }

    fn feed(&mut self, proxy: usize, incarnation: u32, event: Event) {
        let (now, state) = (self.now, &mut self.proxies[proxy]);
        if !state.alive || state.incarnation != incarnation {
            return;
        }
        let mut actions = Vec::new();
        state.balancer.handle(time(now), event, &mut actions);
        for action in actions {
            match action {
                Action::StartAttempt { request: id, backend: server, timeout: limit, .. } => {
                    self.send_attempt(proxy, id.0, server.0, limit.as_ms())
                }
                Action::Reject { request: id, .. } => self.respond(proxy, id.0, ResponseOutcome::Rejected),
                Action::Fail { request: id, .. } => self.respond(proxy, id.0, ResponseOutcome::Failed),
                Action::SetTimer { delay: wait, token }
                | Action::SetRequestTimer { delay: wait, token, .. } => {
                    self.schedule(wait.as_ms().max(0.001), FleetEvent::TimerFires(proxy, incarnation, token));
                }
                _ => {}
            }
        }
    }

    fn respond(&mut self, proxy: usize, id: RequestNumber, answer: ResponseOutcome) {
        self.proxies[proxy].open.remove(&id);
        self.recorder.record_response(self.now, &request_name(proxy, id), answer);
    }

    fn send_attempt(&mut self, proxy: usize, id: RequestNumber, server: BackendNumber, limit: Milliseconds) {
        let incarnation = self.proxies[proxy].incarnation;
        let Some(open) = self.proxies[proxy].open.get_mut(&id) else { return };
        let ordinal = open.attempts;
        open.attempts += 1;
        let number = self.recorder.record_attempt(
            self.now,
            &proxy_name(proxy),
            &request_name(proxy, id),
            server,
            ATTEMPT_WORK,
        );
        let (sent, until) = (self.now, self.now + limit);
        let attempt = SentAttempt { proxy, incarnation, id, ordinal, server, sent, until, number };
        self.schedule(0.3, FleetEvent::AttemptArrives(attempt));
    }

    fn receive_attempt(&mut self, attempt: SentAttempt) {
        let key = self.proxies[attempt.proxy].open.get(&attempt.id).map_or(0, |open| open.key);
        let now = self.now;
        let draw: f64 = self.rng.gen();
        let node = self.nodes.entry(attempt.server).or_default();
        if now < node.refuses_until {
            return self.schedule(0.1, FleetEvent::AttemptEnds(attempt, Outcome::ConnectFailed));
        }
        if now < node.silent_until {
            return self.schedule(
                (attempt.until - now).max(0.0),
                FleetEvent::AttemptEnds(attempt, Outcome::Timeout),
            );
        }
        let origin = attempt.server == ORIGIN;
        node.attempt_ends.retain(|until| *until > now);
        let outcome = if node.attempt_ends.len() >= 24 {
            Outcome::Full
        } else if now < node.fails_until && draw < 0.5 {
            Outcome::Error
        } else if draw < 0.005 {
            [Outcome::Error, Outcome::Reset, Outcome::Full][(draw * 600.0) as usize]
        } else if origin || node.keys.contains(&key) {
            Outcome::Ok
        } else {
            Outcome::Miss
        };
        let time = match (outcome, origin) {
            (Outcome::Full, _) => 0.2,
            (_, true) => 8.0 + 30.0 * draw,
            (Outcome::Ok, false) => 2.0 + 6.0 * draw,
            _ => 0.5,
        };
        node.attempt_ends.push(now + time);
        if attempt.until - now < time {
            self.schedule((attempt.until - now).max(0.0), FleetEvent::AttemptEnds(attempt, Outcome::Timeout))
        } else {
            self.schedule(time, FleetEvent::AttemptEnds(attempt, outcome))
        }
    }

    fn end_attempt(&mut self, attempt: SentAttempt, outcome: Outcome) {
        let value = format!("{}-{}", attempt.id, attempt.number);
        self.recorder.record_end(self.now, attempt.number, outcome, &value);
        let proxy = &mut self.proxies[attempt.proxy];
        if proxy.incarnation != attempt.incarnation || !proxy.alive {
            return;
        }
        let mut is_request_finished = !proxy.open.contains_key(&attempt.id);
        match outcome {
            Outcome::Miss => {
                if let Some(open) = proxy.open.get_mut(&attempt.id) {
                    open.missed_at.push(attempt.server);
                }
            }
            Outcome::Ok if !is_request_finished => {
                is_request_finished = true;
                let served = proxy.open.remove(&attempt.id).unwrap_or_default();
                for server in &served.missed_at {
                    self.node(*server).keys.insert(served.key);
                }
                self.recorder.record_response(
                    self.now,
                    &request_name(attempt.proxy, attempt.id),
                    ResponseOutcome::Served(value),
                );
            }
            _ => {}
        }
        let end = AttemptEnd {
            id: RequestId(attempt.id),
            attempt: attempt.ordinal,
            backend: BackendId(attempt.server),
            latency: span(self.now - attempt.sent),
            is_request_finished,
            outcome,
            load_report: Vec::new(),
        };
        self.feed(attempt.proxy, attempt.incarnation, Event::AttemptEnd(end));
    }

    fn node(&mut self, server: BackendNumber) -> &mut StubNode {
        self.nodes.entry(server).or_default()
    }

    /// Changes an entry of the endpoint list. The change reaches each proxy after a random delay.
    fn update_list(&mut self, member: EndpointInfo) {
        self.list.insert(member.backend.0, member);
        for proxy in 0..PROXIES {
            let wait = self.rng.gen_range(1.0..300.0);
            self.schedule(wait, FleetEvent::ListArrives(proxy, vec![member]));
        }
    }

    fn start_proxy(&mut self, proxy: usize, list: Vec<EndpointInfo>) {
        let state = &mut self.proxies[proxy];
        state.balancer = balancer(proxy, state.incarnation);
        state.alive = true;
        let (incarnation, limits) = (state.incarnation, recorded_events::limits());
        self.recorder.record(self.now, HistoryEvent::ConfigActivated { proxy: proxy_name(proxy), limits });
        self.recorder.record_list(self.now, &proxy_name(proxy), true, &list);
        self.feed(proxy, incarnation, Event::EndpointList { form: ListForm::Full, endpoints: list });
    }
}

fn balancer(number: usize, incarnation: u32) -> Balancer {
    let numbered = format!(r#""GroupSize":{PROXIES},"MyNumber":{number}"#);
    let json = settings_json(true).replace(r#""GroupSize":3"#, &numbered);
    let settings = Settings::from_json(json.as_bytes()).expect("the settings are valid");
    Balancer::new(settings, number as u64 + 100 * u64::from(incarnation))
}

fn proxy_name(proxy: usize) -> String {
    format!("p{proxy}")
}

fn request_name(proxy: usize, id: RequestNumber) -> String {
    format!("p{proxy}-{id}")
}
