//! A fleet on a clock of its own: several decision modules that share nothing, cache nodes, an origin, consumers,
//! and faults from a seed. What can be seen of it from outside goes onto a tape.

use super::recorded_events::Tape;
use super::*;
use pinetrail_history_checker::{Answer, History, HistoryEvent, ProxyEnd};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) const PROXIES: usize = 4;
pub(crate) const NODES: u32 = 6;
/// Work of a request, and what a warm node bears a ms.
const WORK: f64 = 10.0;
const CAPACITY: f64 = 1.1;
/// After the last request all that is open ends within this time.
const AFTER: Time = 3000.0;
/// Between two requests of all consumers together.
const EVERY: Time = 2.0;

/// What happens to the fleet at a time of the script.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// A node drains, is replaced at its place by another process, and is told of again.
    Restart(ServerId),
    /// It drains for good.
    Drain(ServerId),
    /// It is gone, and no list names it any more.
    Gone(ServerId),
    /// It says nothing for a time.
    Silent(ServerId, Time),
    /// It refuses connections for a time.
    Refuses(ServerId, Time),
    /// It fails every other call for a time.
    Fails(ServerId, Time),
    /// A proxy is killed, and starts anew with the whole list as it is then.
    Kill(usize),
    /// A proxy hears nothing of discovery for a time.
    Deaf(usize, Time),
}

enum Happening {
    Asked,
    Due(usize, u32, u64),
    Arrives(Call),
    Ends(Call, Outcome),
    Told(usize, Vec<Member>),
    Fault(Fault),
    Leaves(usize, RequestId),
    Starts(usize),
}

#[derive(Clone, Copy)]
struct Call {
    proxy: usize,
    life: u32,
    id: RequestId,
    attempt: u8,
    server: ServerId,
    sent: Time,
    until: Time,
    number: u64,
}

struct Proxy {
    balancer: Balancer,
    life: u32,
    alive: bool,
    deaf_until: Time,
    /// The open ones: key, calls so far, and where they missed.
    open: BTreeMap<RequestId, (Key, u8, Vec<ServerId>)>,
}

#[derive(Default)]
struct Station {
    keys: BTreeSet<Key>,
    silent_until: Time,
    refuses_until: Time,
    fails_until: Time,
    busy: Vec<Time>,
}

pub(crate) struct Fleet {
    now: Time,
    until: Time,
    rng: SmallRng,
    happenings: BTreeMap<(u64, u64), Happening>,
    order: u64,
    proxies: Vec<Proxy>,
    stations: BTreeMap<ServerId, Station>,
    /// What discovery knows.
    list: BTreeMap<ServerId, Member>,
    next: RequestId,
    tape: Tape,
}

/// Plays a day with these faults; what was seen of it.
pub(crate) fn play(seed: u64, until: Time, script: &[(Time, Fault)]) -> History {
    let mut fleet = Fleet::new(seed, until);
    for (at, fault) in script {
        fleet.at(*at, Happening::Fault(*fault));
    }
    fleet.run();
    // The recording goes on until everybody's time is over.
    fleet.tape.tell(fleet.until + AFTER, "p0", false, &[]);
    fleet.tape.history()
}

/// Faults drawn from a seed: each kind may come at any time, several at once.
pub(crate) fn script(seed: u64, until: Time) -> Vec<(Time, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xfa17);
    let mut draw = |_| {
        let at = rng.gen_range(300.0..until * 0.8);
        let (node, proxy) = (rng.gen_range(1..=NODES), rng.gen_range(0..PROXIES));
        let (short, long) = (rng.gen_range(50.0..600.0), rng.gen_range(500.0..4000.0));
        let fault = match rng.gen_range(0..8) {
            0 => Fault::Restart(node),
            1 => Fault::Drain(node),
            2 => Fault::Gone(node),
            3 => Fault::Silent(node, short),
            4 => Fault::Refuses(node, short),
            5 => Fault::Fails(node, long),
            6 => Fault::Kill(proxy),
            _ => Fault::Deaf(proxy, long),
        };
        (at, fault)
    };
    (0..8).map(&mut draw).collect()
}

impl Fleet {
    fn new(seed: u64, until: Time) -> Fleet {
        let mut list: BTreeMap<ServerId, Member> = (1..=NODES).map(|id| (id, member(id))).collect();
        list.insert(ORIGIN, member(ORIGIN));
        let mut fleet = Fleet {
            now: 100_000.0,
            until: 100_000.0 + until,
            rng: SmallRng::seed_from_u64(seed),
            happenings: BTreeMap::new(),
            order: 0,
            proxies: Vec::new(),
            stations: list.keys().map(|id| (*id, Station::default())).collect(),
            list,
            next: 1,
            tape: Tape::default(),
        };
        for number in 0..PROXIES {
            let proxy = Proxy {
                balancer: balancer(number, 0),
                life: 0,
                alive: false,
                deaf_until: 0.0,
                open: BTreeMap::new(),
            };
            fleet.proxies.push(proxy);
            let list = fleet.list.values().copied().collect();
            fleet.start(number, list);
        }
        fleet.at(1.0, Happening::Asked);
        fleet
    }

    /// Has something happen so long after the beginning of now.
    fn at(&mut self, after: Time, happening: Happening) {
        self.order += 1;
        let at = ((self.now + after) * 1000.0).ceil() as u64;
        self.happenings.insert((at, self.order), happening);
    }

    fn run(&mut self) {
        while let Some(((at, _), happening)) = self.happenings.pop_first() {
            self.now = self.now.max(at as f64 / 1000.0);
            if self.now > self.until + AFTER {
                break;
            }
            self.happen(happening);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Asked if self.now < self.until => self.ask(),
            Happening::Asked => {}
            Happening::Due(proxy, life, token) => self.feed(proxy, life, Event::Timer(token)),
            Happening::Arrives(call) => self.arrive(call),
            Happening::Ends(call, outcome) => self.end(call, outcome),
            Happening::Told(proxy, members) => {
                let life = self.proxies[proxy].life;
                if self.now < self.proxies[proxy].deaf_until {
                    let wait = self.proxies[proxy].deaf_until - self.now;
                    return self.at(wait, Happening::Told(proxy, members));
                }
                if self.proxies[proxy].alive {
                    self.tape.tell(self.now, &name(proxy), false, &members);
                    self.feed(proxy, life, Event::Members { form: ListForm::Delta, members });
                }
            }
            Happening::Fault(fault) => self.fault(fault),
            Happening::Leaves(proxy, id) => {
                if self.proxies[proxy].open.remove(&id).is_some() {
                    self.tape
                        .write(self.now, HistoryEvent::ClientDisconnected { request: request(proxy, id) });
                    self.feed(proxy, self.proxies[proxy].life, Event::ClientGone(id));
                }
            }
            Happening::Starts(proxy) => {
                let list = self.list.values().copied().collect();
                self.start(proxy, list);
            }
        }
    }

    fn ask(&mut self) {
        let wait = EVERY * -(1.0 - self.rng.gen::<f64>()).ln();
        self.at(wait, Happening::Asked);
        let proxy = self.rng.gen_range(0..PROXIES);
        if !self.proxies[proxy].alive {
            return;
        }
        let id = self.next;
        self.next += 1;
        let skew: f64 = self.rng.gen();
        let key = 1 + (400.0 * skew * skew) as Key;
        let class = if self.rng.gen_bool(0.9) { SAFE } else { self.rng.gen_range(KEYED_ALL..=UNSAFE) };
        let budget = [120.0, 400.0, 800.0][self.rng.gen_range(0..3)];
        self.proxies[proxy].open.insert(id, (key, 0, Vec::new()));
        let (request, name) = (request(proxy, id), CLASSES[usize::from(class)].to_owned());
        self.tape.write(
            self.now,
            HistoryEvent::RequestSent { proxy: self::name(proxy), request, class: name, budget },
        );
        if self.rng.gen_bool(0.02) {
            let wait = self.rng.gen_range(1.0..budget);
            self.at(wait, Happening::Leaves(proxy, id));
        }
        let write = class != SAFE;
        self.feed(
            proxy,
            self.proxies[proxy].life,
            Event::Request(Request { class, budget, write, ..read(id, key) }),
        );
    }

    fn feed(&mut self, proxy: usize, life: u32, event: Event) {
        let (now, state) = (self.now, &mut self.proxies[proxy]);
        if !state.alive || state.life != life {
            return;
        }
        let mut actions = Vec::new();
        state.balancer.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::StartAttempt { request: id, backend: server, timeout: limit, .. } => {
                    self.send(proxy, id, server, limit)
                }
                Action::Reject { request: id, .. } => self.answer(proxy, id, Answer::Rejected),
                Action::Fail(id) => self.answer(proxy, id, Answer::Failed),
                Action::SetTimer { delay: wait, token }
                | Action::SetRequestTimer { delay: wait, token, .. } => {
                    self.at(wait.max(0.001), Happening::Due(proxy, life, token));
                }
                _ => {}
            }
        }
    }

    fn answer(&mut self, proxy: usize, id: RequestId, answer: Answer) {
        self.proxies[proxy].open.remove(&id);
        self.tape.answer(self.now, &request(proxy, id), answer);
    }

    fn send(&mut self, proxy: usize, id: RequestId, server: ServerId, limit: Time) {
        let life = self.proxies[proxy].life;
        let Some(open) = self.proxies[proxy].open.get_mut(&id) else { return };
        let attempt = open.1;
        open.1 += 1;
        let number = self.tape.call(self.now, &name(proxy), &request(proxy, id), server, WORK);
        let (sent, until) = (self.now, self.now + limit);
        let call = Call { proxy, life, id, attempt, server, sent, until, number };
        self.at(0.3, Happening::Arrives(call));
    }

    fn arrive(&mut self, call: Call) {
        let key = self.proxies[call.proxy].open.get(&call.id).map_or(0, |open| open.0);
        let now = self.now;
        let luck: f64 = self.rng.gen();
        let here = self.stations.entry(call.server).or_default();
        if now < here.refuses_until {
            return self.at(0.1, Happening::Ends(call, Outcome::ConnectFailed));
        }
        if now < here.silent_until {
            return self.at((call.until - now).max(0.0), Happening::Ends(call, Outcome::Timeout));
        }
        let origin = call.server == ORIGIN;
        here.busy.retain(|until| *until > now);
        let outcome = match () {
            () if here.busy.len() >= 24 => Outcome::Full,
            () if now < here.fails_until && luck < 0.5 => Outcome::Error,
            () if luck < 0.005 => [Outcome::Error, Outcome::Reset, Outcome::Full][(luck * 600.0) as usize],
            () if origin || here.keys.contains(&key) => Outcome::Ok,
            () => Outcome::Miss,
        };
        let time = match (outcome, origin) {
            (Outcome::Full, _) => 0.2,
            (_, true) => 8.0 + 30.0 * luck,
            (Outcome::Ok, false) => 2.0 + 6.0 * luck,
            _ => 0.5,
        };
        here.busy.push(now + time);
        if call.until - now < time {
            self.at((call.until - now).max(0.0), Happening::Ends(call, Outcome::Timeout))
        } else {
            self.at(time, Happening::Ends(call, outcome))
        }
    }

    fn end(&mut self, call: Call, outcome: Outcome) {
        let value = format!("{}-{}", call.id, call.number);
        self.tape.close(self.now, call.number, outcome, &value);
        let proxy = &mut self.proxies[call.proxy];
        if proxy.life != call.life || !proxy.alive {
            return;
        }
        let mut last = !proxy.open.contains_key(&call.id);
        match outcome {
            Outcome::Miss => {
                proxy.open.get_mut(&call.id).into_iter().for_each(|open| open.2.push(call.server));
            }
            Outcome::Ok if !last => {
                last = true;
                let (key, _, missed) = proxy.open.remove(&call.id).unwrap_or_default();
                for server in &missed {
                    self.here(*server).keys.insert(key);
                }
                self.tape.answer(self.now, &request(call.proxy, call.id), Answer::Served(value));
            }
            _ => {}
        }
        let end = AttemptEnd {
            id: call.id,
            attempt: call.attempt,
            server: call.server,
            latency: self.now - call.sent,
            last,
            outcome,
            report: Vec::new(),
        };
        self.feed(call.proxy, call.life, Event::AttemptEnd(end));
    }

    fn fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Silent(server, until) => self.here(server).silent_until = now + until,
            Fault::Refuses(server, until) => self.here(server).refuses_until = now + until,
            Fault::Fails(server, until) => self.here(server).fails_until = now + until,
            Fault::Drain(server) => self.change(Member { state: State::Draining, ..member(server) }),
            Fault::Gone(server) => self.change(Member { state: State::Gone, ..member(server) }),
            Fault::Restart(server) => {
                *self.here(server) = Station::default();
                let address = recorded_events::address(server);
                self.tape.write(now, HistoryEvent::BackendStarted { address, capacity: CAPACITY });
                self.change(Member { started: now, ..member(server) });
            }
            Fault::Kill(proxy) => {
                let state = &mut self.proxies[proxy];
                (state.alive, state.life) = (false, state.life + 1);
                state.open.clear();
                self.tape.write(now, HistoryEvent::ProxyEnded { proxy: name(proxy), how: ProxyEnd::Killed });
                self.at(400.0, Happening::Starts(proxy));
            }
            Fault::Deaf(proxy, until) => self.proxies[proxy].deaf_until = now + until,
        }
    }

    fn here(&mut self, server: ServerId) -> &mut Station {
        self.stations.entry(server).or_default()
    }

    /// Discovery hears of a change, and tells each proxy a little later.
    fn change(&mut self, member: Member) {
        self.list.insert(member.server, member);
        for proxy in 0..PROXIES {
            let wait = self.rng.gen_range(1.0..300.0);
            self.at(wait, Happening::Told(proxy, vec![member]));
        }
    }

    fn start(&mut self, proxy: usize, list: Vec<Member>) {
        let state = &mut self.proxies[proxy];
        (state.balancer, state.alive) = (balancer(proxy, state.life), true);
        let (life, figures) = (state.life, recorded_events::figures());
        self.tape.write(self.now, HistoryEvent::ConfigActivated { proxy: name(proxy), figures });
        self.tape.tell(self.now, &name(proxy), true, &list);
        self.feed(proxy, life, Event::Members { form: ListForm::Full, members: list });
    }
}

fn balancer(number: usize, life: u32) -> Balancer {
    let numbered = format!(r#""GroupSize":{PROXIES},"MyNumber":{number}"#);
    let json = settings_json(true).replace(r#""GroupSize":3"#, &numbered);
    let settings = Settings::from_json(json.as_bytes()).expect("the settings are legal");
    Balancer::new(settings, number as u64 + 100 * u64::from(life))
}

fn name(proxy: usize) -> String {
    format!("p{proxy}")
}

fn request(proxy: usize, id: RequestId) -> String {
    format!("p{proxy}-{id}")
}
