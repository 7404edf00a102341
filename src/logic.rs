//! Every decision of pinetrail. Its types, events and actions are in `src/interface.rs`.
//! HyLARD decides the ordinary path (docs/design.md); each exception names the danger it answers.

use crate::interface::*;
use crate::recent::Recent;
use crate::rendezvous::unit;
use crate::settings::{Class, Effect, Limits, Scope, Settings};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const M: f64 = 4.0; // paper: a set grows when its best member is this much busier than the fleet's
const Q: Time = 60_000.0; // paper: a set unchanged for this long drops a member
const LARGE_SHARE: f64 = 0.16; // paper: the share of keys that are large
const SUSPECT: f64 = 0.5; // share of failures, lately, from which on a server is a suspect
const TRIAL: Time = 1000.0; // a suspect is tried again after about this long
const SPREAD: f64 = 2.0; // a key's places in the rendezvous order, over its due share of the fleet
const CROWDED: f64 = 0.25; // share of slow answers, lately, from which on the origin has too much to do
const FIRST: f64 = 32.0; // in flight at a server at first, by all proxies together
const DEADLINE: u64 = 1 << 60; // timer tokens: kind in the top bits, request id below
const PATIENCE: u64 = 2 << 60;
const RESUBSCRIBE: u64 = 3 << 60;
const POLL: u64 = 4 << 60;

/// The decisions of one proxy.
pub struct Balancer {
    settings: Settings,
    rng: SmallRng,
    now: Time,
    servers: BTreeMap<ServerId, Server>,
    requests: BTreeMap<RequestId, Open>,
    table: Recent<Entry>,
    threshold: f64,
    mean_work: f64,
    mean_worth: f64,
    mean_size: f64,
    fetches: BTreeMap<Key, Fetch>,
    waiting: Vec<(Stage, f64, RequestId)>,
    polling: bool,
    retries: f64,
    ask_failures: i32,
    admit: [f64; 2], // at the fleet, at the origin
    share: Option<Quota>,
    learnt: f64, // the parts that made the whole when limits were learnt
}

#[derive(Default)]
struct Server {
    member: Member,
    calls: BTreeSet<(RequestId, u8)>, // out at this process of it; by request and attempt
    limit: f64,
    cut_at: Time,
    slow: f64,
    failing: f64,
    trial_at: Time,
    shut: Time,
    shut_until: Time,
}

#[derive(Default)]
struct Entry {
    large: bool,
    members: Vec<ServerId>,
    changed: Time,
    count: f64,
}

/// A fetch from the origin: who leads it, and the server that lacked the key.
struct Fetch {
    leader: RequestId,
    server: ServerId,
    waiters: Vec<RequestId>,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Out,
    ForServer,
    ForFetch,
    ForOrigin,
}

struct Open {
    request: Request,
    class: Class, // with the limits: as they were when it was taken, whatever settings come
    limits: Limits,
    deadline: Time,
    work: f64,
    stage: Stage,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Copy)]
struct Attempt {
    server: ServerId,
    sent: Time,
    outcome: Option<Outcome>,
}

impl Balancer {
    /// A balancer that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Balancer {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            table: Recent::new(1 << 16),
            threshold: 0.0,
            mean_work: 0.0,
            mean_worth: 1.0,
            mean_size: 1.0,
            fetches: BTreeMap::new(),
            waiting: Vec::new(),
            polling: false,
            retries: 1.0,
            ask_failures: 0,
            admit: [1.0; 2],
            share: None,
            learnt: 1.0,
        }
    }

    /// What it decides by.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// From now on these settings; open requests keep what they were taken with.
    pub fn retune(&mut self, settings: Settings) {
        let regrouped = self.share.is_none() && settings.group_size != self.settings.group_size;
        self.settings = settings;
        if regrouped {
            // What was learnt was this proxy's part of what others were more, or fewer, to share.
            let firsts: Vec<f64> = self.servers.values().map(|s| self.first_limit(&s.member)).collect();
            self.servers.values_mut().zip(firsts).for_each(|(server, limit)| server.limit = limit);
            self.admit = [1.0; 2];
        }
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        let wakes = matches!(event, Event::AttemptEnd(_) | Event::Members { .. } | Event::Timer(POLL));
        match event {
            Event::Members { form, members } => self.on_members(form, members, out),
            Event::Request(request) => self.on_request(request, out),
            Event::StreamBegan(id) => drop(self.requests.get_mut(&id).map(|open| open.deadline = f64::MAX)),
            Event::AttemptEnd(end) => self.on_attempt_end(end, out),
            Event::ClientGone(id) => self.close(id, out),
            Event::Timer(token) => self.on_timer(token, out),
            Event::Quota(share) => self.on_share(share),
            Event::Probed { .. } | Event::Peer { .. } => {}
        }
        if wakes {
            self.pump(out);
        }
        if !self.waiting.is_empty() && !self.polling {
            self.polling = true;
            out.push(Action::SetTimer { delay: self.settings.tick.max(20.0), token: POLL });
        }
    }

    fn on_request(&mut self, mut request: Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(usize::from(request.class)).copied() else {
            return out.push(Action::Reject { request: request.id, retry_after: 0.0 });
        };
        let budget = if request.budget.is_finite() { request.budget.max(0.0) } else { 0.0 };
        request.hint = request.hint.filter(|hint| hint.is_finite() && *hint > 0.0);
        let work = request.hint.unwrap_or(self.mean_work.max(1.0));
        self.mean_work += if self.mean_work == 0.0 { work } else { 0.02 * (work - self.mean_work) };
        let deadline = self.now + budget;
        let (limits, stage) = (self.settings.limits, Stage::ForServer);
        let open = Open { request, class, limits, deadline, work, stage, attempts: Vec::new() };
        self.requests.insert(request.id, open);
        self.retries = (self.retries + 0.2).min(10.0);
        let id = request.id;
        out.push(Action::SetRequestTimer {
            request: id,
            delay: (budget - self.settings.tick).max(0.0),
            token: DEADLINE | id,
        });
        // Held requests are shed well before their aim: failing later costs more and serves nobody.
        out.push(Action::SetRequestTimer {
            request: id,
            delay: class.aim.min(budget) * 0.5,
            token: PATIENCE | id,
        });
        self.mean_worth += 0.05 * (class.worth - self.mean_worth);
        if request.write && self.has_origin() {
            self.ask_origin(request.id, out);
        } else if self.rng.gen::<f64>() >= self.admit[0].powf(self.mean_worth / class.worth.max(0.01)) {
            self.give_up(request.id, out);
        } else {
            self.route(request.id, out);
        }
    }

    fn route(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        if !self.may_try(open) {
            return self.give_up(id, out);
        }
        let (key, hint, usable) = (open.request.key, open.request.hint, self.usable(open));
        let Some(server) = self.choose(key, hint, &usable) else { return self.hold(id, Stage::ForServer) };
        // One fetch a key: whoever comes while it is out would only miss as well.
        match self.fetches.get(&key).filter(|fetch| fetch.server == server) {
            Some(_) => self.join_fetch(id, key),
            None => self.send(id, server, out),
        }
    }

    /// Waits for a fetch that is out; its leader, if held itself, is now worth more.
    fn join_fetch(&mut self, id: RequestId, key: Key) {
        let Some(fetch) = self.fetches.get_mut(&key) else { return };
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.stage = Stage::ForFetch;
        fetch.waiters.push(id);
        let leader = self.waiting.iter_mut().find(|held| held.2 == fetch.leader);
        leader.into_iter().for_each(|held| held.1 += open.class.worth);
    }

    fn hold(&mut self, id: RequestId, stage: Stage) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.stage = stage;
        self.waiting.push((stage, open.class.worth, id));
    }

    /// HyLARD's choice of a server for a key, among those that may be asked.
    fn choose(&mut self, key: Key, hint: Option<f64>, usable: &[ServerId]) -> Option<ServerId> {
        let (idlest, least, places) = self.least_loaded(key, usable)?;
        if key == 0 {
            return Some(idlest);
        }
        let origin_busy = self.origin().is_some() && self.origin_room().is_none();
        let known = self.table.get(key);
        let large = known.map(|entry| entry.large);
        let members = known.map_or(&[][..], |entry| &entry.members);
        let open_members: Vec<ServerId> = members.iter().copied().filter(|id| usable.contains(id)).collect();
        let grows = members.len() < places && !members.contains(&idlest);
        let chosen = match self.least_loaded(key, &open_members) {
            Some((server, ..)) if large == Some(true) => server,
            // Danger: each new member starts with a miss. While the origin has no room, sets stay.
            Some((server, load, _)) if load - least < M && !grows || origin_busy => server,
            // Danger: a hot key drowns its server. What its members have no room for goes elsewhere.
            None if !members.is_empty() => return Some(idlest),
            _ => idlest,
        };
        let quiet = known.filter(|entry| self.now - entry.changed > Q && members.len() > 1);
        let by_load = |a: &ServerId, b: &ServerId| self.load(*a).total_cmp(&self.load(*b));
        let dropped = quiet.and_then(|_| members.iter().copied().filter(|id| *id != chosen).max_by(by_load));
        let large = large.unwrap_or_else(|| hint.is_some_and(|hint| self.is_large(hint)));
        let entry = self.table.touch(key);
        (entry.large, entry.count) = (large, entry.count + 1.0);
        if dropped.is_some() || !entry.members.contains(&chosen) {
            entry.members.retain(|id| Some(*id) != dropped && *id != chosen);
            entry.members.push(chosen);
            entry.changed = self.now;
        }
        Some(chosen)
    }

    /// The least loaded server for a key, the least load, and the places that the key is due. Tables
    /// agree unaided: under M apart, loads count as equal and the rendezvous order decides.
    fn least_loaded(&self, key: Key, ids: &[ServerId]) -> Option<(ServerId, f64, usize)> {
        let least = ids.iter().map(|id| self.load(*id)).min_by(f64::total_cmp)?;
        let near = ids.iter().copied().filter(|id| self.load(*id) - least < M);
        self.lives_at(key, near, 1).map(|(server, places)| (server, least, places))
    }

    /// Where a key lives among servers that are alike, and how many places it is due there.
    fn lives_at(
        &self,
        key: Key,
        ids: impl Iterator<Item = ServerId>,
        least: usize,
    ) -> Option<(ServerId, usize)> {
        let mut near: Vec<(f64, ServerId)> = ids.map(|id| (self.place(key, id), id)).collect();
        near.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Danger: of many proxies that share a hot key none sees a gap of M. They differ over as many
        // places as the key is due by its share of requests.
        let seen = self.table.get(key).map_or(0.0, |entry| entry.count) + 1.0;
        let due = SPREAD * seen / (self.table.uses() as f64 + 2.0) * near.len() as f64;
        let places = if self.is_one_of_many() { (due as usize).max(least) } else { 1 };
        near.truncate(places);
        let own = self.own(key);
        near.sort_by(|a, b| self.place(own, a.1).total_cmp(&self.place(own, b.1)));
        near.first().map(|best| (best.1, places))
    }

    /// A key of this proxy's own: what is drawn by it differs between proxies, but not in time.
    fn own(&self, key: Key) -> Key {
        key.rotate_left(32) ^ (u64::from(self.settings.my_number) + 1).wrapping_mul(0xd6e8_feb8_6659_fd93)
    }

    /// Weighted rendezvous: the same for every proxy, so that tables agree unaided. Lowest wins.
    fn place(&self, key: Key, server: ServerId) -> f64 {
        -unit(key, server).ln() / self.servers.get(&server).map_or(1.0, |s| s.member.weight())
    }

    /// Whether a hint is among the largest share; the quantile runs along with the keys seen.
    fn is_large(&mut self, hint: f64) -> bool {
        let threshold = if self.threshold == 0.0 { hint * 2.0 } else { self.threshold };
        let large = hint >= threshold;
        self.threshold = threshold * (1.0 + 0.05 * if large { 1.0 - LARGE_SHARE } else { -LARGE_SHARE });
        large
    }

    /// Requests in flight; a priced crossing weighs like a few of them.
    fn load(&self, id: ServerId) -> f64 {
        let Some(server) = self.servers.get(&id) else { return f64::MAX };
        let crosses = f64::from(u8::from(server.member.zone != self.settings.zone));
        server.calls.len() as f64 * self.mean_size / server.member.weight()
            + crosses * (self.settings.prices.cross_zone * 16.0).ceil()
    }

    /// Where a request may go now; where it has failed only if nothing else is left.
    fn usable(&self, open: &Open) -> Vec<ServerId> {
        let fleet: Vec<&Server> = self.servers.values().filter(|s| self.in_fleet(s)).collect();
        // Never eject most of the fleet: then the fault is rather on the way, or everywhere.
        let few = |held: fn(&Server, Time) -> bool| {
            fleet.iter().filter(|s| held(s, self.now)).count() * 2 <= fleet.len()
        };
        let (eject, keep_shut) = (few(|s, _| s.failing > SUSPECT), few(|s, now| now < s.shut_until));
        // Danger: a cold server collapses under its usual load, and one that is idle draws whoever looks for the least
        // loaded. It gets only of what lives there while loads are alike, and of that a share that each proxy draws for
        // itself: all together send half of what tips it, without counting. What is hot to a few proxies lives nowhere.
        let (key, many) = (open.request.key, self.is_one_of_many());
        let seen = self.table.get(key).map_or(0.0, |entry| entry.count) / (self.table.uses() as f64 + 2.0);
        let hot = key == 0 || !many && seen * fleet.len() as f64 > 0.25;
        let by = if hot { key ^ (open.request.id << 1 | 1) } else { key };
        let drawn = unit(self.own(by), ServerId::MAX);
        let crosses = self.settings.prices.cross_zone * 16.0 > M - 1.0;
        let own = fleet.iter().filter(|s| s.member.zone == self.settings.zone || !crosses);
        let cold = fleet.iter().any(|s| self.warmth(s) < 1.0);
        let home = cold.then(|| self.lives_at(by, own.map(|s| s.member.server), 2)).flatten();
        let lives_at = |s: &Server| home.is_some_and(|home| home.0 == s.member.server);
        let fit = |s: &Server| {
            let trial = s.calls.is_empty() && self.now >= s.trial_at;
            let healthy = s.failing <= SUSPECT || trial;
            // Danger: a full connection table fails whoever is new, again and again. Who is in stays.
            let is_shut = self.now < s.shut_until && (keep_shut || !trial);
            !is_shut
                && (healthy || !eject)
                && self.has_room(s)
                && (self.warmth(s) >= 1.0 || lives_at(s) && drawn < self.warmth(s))
                && self.is_harmless_at(open, &s.member)
        };
        let usable: Vec<ServerId> = fleet.iter().filter(|s| fit(s)).map(|s| s.member.server).collect();
        let failed =
            |id: &ServerId| open.attempts.iter().any(|a| a.server == *id && a.outcome != Some(Outcome::Miss));
        let fresh: Vec<ServerId> = usable.iter().copied().filter(|id| !failed(id)).collect();
        Some(fresh).filter(|fresh| !fresh.is_empty()).unwrap_or(usable)
    }

    /// Whether this proxy's share of a server is under M: then it can see no gap of M, nor cut a limit.
    fn is_one_of_many(&self) -> bool {
        FIRST < M * self.parts()
    }

    /// In flight at a server at first: this proxy's part of what all together may have there.
    fn first_limit(&self, member: &Member) -> f64 {
        let (all, least) = if self.is_origin(member) { (8.0, 2.0) } else { (FIRST, 1.0) };
        f64::max(all / self.parts(), least)
    }

    /// How many parts like this proxy's make the whole. Danger: to be asked at every use. What is held beyond the
    /// base ends by itself, and others have it then.
    fn parts(&self) -> f64 {
        let now = |share: &Quota| if self.now < share.expires_at { share.fraction } else { share.guaranteed };
        self.share.as_ref().map_or(f64::from(self.settings.group_size.max(1)), |share| 1.0 / now(share))
    }

    /// Limits were learnt by the part of before.
    fn on_share(&mut self, share: Quota) {
        let before = if self.share.is_some() { self.learnt } else { self.parts() };
        self.share = Some(share);
        self.learnt = self.parts();
        let scale = before / self.learnt;
        self.servers.values_mut().for_each(|server| server.limit = (server.limit * scale).max(1.0));
    }

    fn in_fleet(&self, server: &Server) -> bool {
        server.member.state == State::Ready && !self.is_origin(&server.member)
    }

    fn is_origin(&self, member: &Member) -> bool {
        i64::from(member.kind) == self.settings.family.origin_kind
    }

    /// Danger: a write that a cache node takes is lost. Where there is an origin at all, it waits for that.
    fn has_origin(&self) -> bool {
        self.settings.family.origin_kind >= 0
    }

    fn origin(&self) -> Option<ServerId> {
        let mut members = self.servers.values().map(|s| &s.member);
        members.find(|m| self.is_origin(m) && m.state == State::Ready).map(|m| m.server)
    }

    fn origin_room(&self) -> Option<ServerId> {
        self.origin().filter(|id| self.servers.get(id).is_some_and(|s| self.has_room(s)))
    }

    /// Danger: quick rejections become a hammer. At its last place a server rests after a cut.
    fn has_room(&self, server: &Server) -> bool {
        let rested = server.limit >= 2.0 || self.now - server.cut_at > 100.0;
        let room = self.share.map_or(server.limit, |share| {
            let whole = if self.is_origin(&server.member) {
                share.fleet_limits.origin
            } else {
                share.fleet_limits.per_node
            };
            (server.limit * self.learnt / self.parts()).max(1.0).min(whole / self.parts())
        });
        rested && (server.calls.len() as f64) < room.floor()
    }

    /// The share of what lives at a server that may go there; 1 once it is warm.
    fn warmth(&self, server: &Server) -> f64 {
        let safety = &self.settings.safety;
        let started = Some(server.member.started).filter(|at| *at > 0.0).unwrap_or(f64::MIN);
        let age = (self.now - started) / safety.cold.max(1.0);
        let capacity = safety.start_capacity + (1.0 - safety.start_capacity) * age.clamp(0.0, 1.0);
        (0.5 * safety.fall_multiple * capacity).max(f64::from(u8::from(age >= 1.0)))
    }

    /// Starts an attempt. The one place that sends. That the server is ready is known: `usable` and `origin` name no other.
    fn send(&mut self, id: RequestId, server: ServerId, out: &mut Vec<Action>) {
        let parties = self.requests.get(&id).zip(self.servers.get(&server));
        if !parties.is_some_and(|(open, to)| self.may_try(open) && self.is_harmless_at(open, &to.member)) {
            return self.give_up(id, out);
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(target) = self.servers.get_mut(&server) else { return };
        open.stage = Stage::Out;
        let attempt = open.attempts.len() as u8;
        let left = open.deadline - self.now;
        // Danger: a connection may come up only when repeats are no longer dropped.
        let keyed = may_have_run(open).filter(|_| open.class.effect == Effect::Keyed);
        let recalled = keyed.map_or(left, |first| first.sent + open.class.repeat_window - self.now);
        open.attempts.push(Attempt { server, sent: self.now, outcome: None });
        target.calls.insert((id, attempt));
        let timeout = left.max(1.0);
        let send_by = left.min(recalled - self.settings.tick).max(1.0);
        out.push(Action::StartAttempt { request: id, backend: server, timeout, send_by });
    }

    /// Whether one more attempt may be made, wherever that does no harm. None is out: `on_attempt_end` sees to that.
    fn may_try(&self, open: &Open) -> bool {
        repeat_is_harmless(open, |first| self.still_recalled(open, first))
            && open.attempts.len() < open.limits.max_attempts as usize
            && self.now < open.deadline
    }

    /// Danger: an effect twice. Whether one more attempt at this server can do no harm.
    fn is_harmless_at(&self, open: &Open, target: &Member) -> bool {
        repeat_is_harmless(open, |first| {
            // Nobody is forgotten while a request has been there (`on_members`); were one, nothing would be known.
            let Some(ran) = self.servers.get(&first.server).map(|s| s.member) else { return false };
            match open.class.scope {
                Scope::All => true,
                Scope::Zone => ran.zone == target.zone,
                Scope::Cell => ran.cell == target.cell,
            }
        })
    }

    /// Danger: a refusal invites a repeat. Whether the client may repeat it anywhere.
    fn may_refuse(&self, open: &Open) -> bool {
        repeat_is_harmless(open, |first| open.class.scope == Scope::All && self.still_recalled(open, first))
    }

    fn still_recalled(&self, open: &Open, first: &Attempt) -> bool {
        self.now - first.sent < open.class.repeat_window - self.settings.tick
    }

    /// The final answer that is no success: a refusal where that is true, else a failure.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        let wait = open.limits.max_retry_after / 4.0;
        out.push(if self.may_refuse(open) {
            Action::Reject { request: id, retry_after: wait }
        } else {
            Action::Fail(id)
        });
        self.close(id, out);
    }

    /// Forgets a request that is over; whoever waited for its fetch needs another.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.remove(&id) else { return };
        if open.stage != Stage::Out {
            self.waiting.retain(|held| held.2 != id);
        }
        let key = open.request.key;
        if self.fetches.get(&key).is_some_and(|fetch| fetch.leader == id) {
            let fetch = self.fetches.remove(&key);
            fetch.map_or(Vec::new(), |fetch| fetch.waiters).into_iter().for_each(|id| self.route(id, out));
        }
    }

    fn on_timer(&mut self, token: u64, out: &mut Vec<Action>) {
        let id = token & (DEADLINE - 1);
        let open = self.requests.get(&id);
        match token & !(DEADLINE - 1) {
            DEADLINE if open.is_some_and(|open| open.deadline < f64::MAX) => self.give_up(id, out),
            PATIENCE if open.is_some_and(|open| open.stage != Stage::Out) => self.give_up(id, out),
            PATIENCE if open.is_some_and(|o| o.attempts.last().map(|a| a.server) != self.origin()) => {
                self.let_in(0, true);
            }
            RESUBSCRIBE => out.push(Action::Subscribe),
            POLL => self.polling = false,
            _ => {}
        }
    }

    fn on_attempt_end(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        self.judge(&end);
        let Some(open) = self.requests.get_mut(&end.id) else { return };
        if let Some(attempt) = open.attempts.get_mut(usize::from(end.attempt)) {
            attempt.outcome = Some(end.outcome);
        }
        let key = open.request.key;
        // Danger: two attempts at once. While one is out, or the request is held, an end leads to no other.
        let waits = open.stage != Stage::Out || open.attempts.iter().any(|a| a.outcome.is_none());
        if end.outcome == Outcome::Ok && self.fetches.get(&key).is_some_and(|f| f.leader == end.id) {
            let Some(fetch) = self.fetches.remove(&key) else { return };
            for id in fetch.waiters {
                // The value is now where it missed: those who waited find it there, room permitting.
                let open = self.requests.get(&id);
                if open.is_some_and(|open| self.usable(open).contains(&fetch.server)) {
                    self.send(id, fetch.server, out)
                } else {
                    self.route(id, out)
                }
            }
        }
        match end.outcome {
            _ if end.last || end.outcome == Outcome::Ok => self.close(end.id, out),
            _ if waits => {}
            Outcome::Miss if self.rng.gen::<f64>() >= self.admit[1] => self.give_up(end.id, out),
            Outcome::Miss if self.origin().is_some() => match self.fetches.get(&key) {
                Some(fetch) if fetch.leader != end.id => self.join_fetch(end.id, key),
                _ => {
                    let fetch = Fetch { leader: end.id, server: end.server, waiters: Vec::new() };
                    (key != 0).then(|| self.fetches.insert(key, fetch));
                    self.ask_origin(end.id, out);
                }
            },
            _ => self.retry(end.id, out),
        }
    }

    /// Another try after a failure, within a budget lest it feed an outage; a failed connect is free.
    fn retry(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        let missed = open.attempts.iter().any(|a| a.outcome == Some(Outcome::Miss));
        let at_origin = open.request.write && self.has_origin() || missed && self.origin().is_some();
        let free = open.attempts.last().is_some_and(|a| a.outcome == Some(Outcome::ConnectFailed));
        if !self.may_try(open) || !free && self.retries < 1.0 {
            return self.give_up(id, out);
        }
        self.retries -= if free { 0.0 } else { 1.0 };
        if at_origin {
            self.ask_origin(id, out)
        } else {
            self.route(id, out)
        }
    }

    fn ask_origin(&mut self, id: RequestId, out: &mut Vec<Action>) {
        match self.origin_room() {
            Some(origin) => self.send(id, origin, out),
            None if self.requests.get(&id).is_some_and(|open| !self.may_try(open)) => self.give_up(id, out),
            None => self.hold(id, Stage::ForOrigin),
        }
    }

    /// Lets held requests go while there is room, the most worthy first.
    fn pump(&mut self, out: &mut Vec<Action>) {
        for stage in [Stage::ForOrigin, Stage::ForServer] {
            while stage == Stage::ForServer || self.origin_room().is_some() {
                let held = self.waiting.iter().filter(|held| held.0 == stage);
                let Some((_, worth, id)) = held.max_by(|a, b| a.1.total_cmp(&b.1)).copied() else { break };
                self.waiting.retain(|held| held.2 != id);
                match stage {
                    Stage::ForOrigin => self.ask_origin(id, out),
                    _ => self.route(id, out),
                }
                // Held again: it keeps the worth it had, and no other would fare better.
                if let Some(held) = self.waiting.last_mut().filter(|held| held.2 == id) {
                    held.1 = worth;
                    break;
                }
            }
        }
    }

    /// Danger: with one request out, no limit can be cut any more. A share of requests is let in.
    fn let_in(&mut self, place: usize, slow: bool) {
        if self.is_one_of_many() {
            let admit = self.admit[place];
            self.admit[place] = if slow { (admit * 0.8).max(0.02) } else { (admit + 0.1).min(1.0) };
        }
    }

    /// What an outcome tells of its server.
    fn judge(&mut self, end: &AttemptEnd) {
        use Outcome::*;
        let (now, jitter) = (self.now, self.rng.gen_range(0.75..1.25));
        let shortest = self.settings.classes.iter().map(|class| class.aim).fold(f64::MAX, f64::min);
        // The origin serves every class, so the most urgent one says what is slow there.
        let at_origin = self.origin() == Some(end.server);
        let slow_from = |o: &Open| if at_origin { shortest / 2.0 } else { o.class.aim / 4.0 } + o.work;
        let slow_from = self.requests.get(&end.id).map_or(f64::MAX, slow_from);
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        // Danger: how a call to the process before this one ended says nothing of this one.
        if !server.calls.remove(&(end.id, end.attempt)) {
            return;
        }
        let (fault, weight) = match end.outcome {
            Ok | Miss => (0.0, 0.5),
            Error | Timeout => (1.0, 0.2),
            Reset => (1.0, 0.4),
            _ => (0.0, 0.0),
        };
        if end.outcome == ConnectFailed {
            // Those that fail together, or while it is shut, say no more than the first of them.
            if now >= server.shut_until {
                server.shut = (server.shut * 4.0).min(self.settings.limits.conn_idle).max(4.0 * TRIAL);
                server.shut_until = now + server.shut * jitter;
            }
            server.trial_at = now + TRIAL * jitter;
        } else if matches!(end.outcome, Ok | Miss | Full | Error) {
            (server.shut, server.shut_until) = (0.0, 0.0);
        }
        server.failing += weight * (fault - server.failing);
        if server.failing > SUSPECT && fault > 0.0 {
            server.trial_at = now + TRIAL * jitter;
        }
        let slow = end.latency > slow_from || matches!(end.outcome, Full | Timeout);
        // Danger: fetches differ in length. A limit cut for each long one stays far under what the origin can
        // take, and misses wait for nothing: it is cut once a share of them is slow.
        server.slow += 0.1 * (f64::from(u8::from(slow)) - server.slow);
        // Danger: a node that stands still turns away who has waited there, however few. A limit cut for that
        // sends its keys to nodes that lack them, and the misses to the origin.
        let in_flight = server.calls.len() as f64 + 1.0;
        let few = in_flight * 2.0 < server.limit;
        let full = end.outcome == Full;
        let busy = if at_origin { server.slow > CROWDED || full } else { !few || !full };
        if slow && busy && now - end.latency >= server.cut_at {
            server.limit = (server.limit * 0.7).max(1.0);
            server.cut_at = now;
        } else if !slow && end.outcome == Ok && in_flight * 2.0 > server.limit {
            server.limit += 1.0 / server.limit;
        }
        if !matches!(end.outcome, ConnectFailed | Moot | Cancelled) && (!slow || server.limit <= 1.0) {
            self.let_in(usize::from(at_origin), slow);
        }
    }

    fn on_members(&mut self, form: ListForm, members: Vec<Member>, out: &mut Vec<Action>) {
        if form == ListForm::Failed {
            // Danger: a list service that fails is asked again by everyone at once.
            let wait = 500.0 * 2f64.powi(self.ask_failures.min(2)) * self.rng.gen_range(0.5..1.5);
            self.ask_failures += 1;
            return out.push(Action::SetTimer { delay: wait, token: RESUBSCRIBE });
        }
        if form == ListForm::Cached && self.settings.discovery == "ask" {
            out.push(Action::Subscribe);
        } else {
            self.ask_failures = 0;
        }
        let named: BTreeSet<ServerId> = members.iter().map(|m| m.server).collect();
        let known = self.servers.values().map(|s| s.member);
        let unnamed = known.filter(|m| form != ListForm::Delta && !named.contains(&m.server));
        let gone: Vec<Member> = unnamed.map(|m| Member { state: State::Gone, ..m }).collect();
        let mut left = BTreeSet::new();
        for member in gone.into_iter().chain(members) {
            let limit = self.first_limit(&member);
            let server = self.servers.entry(member.server).or_default();
            // Knowledge belongs to one process: who was gone, or started later, is another. Danger: a list that
            // is behind tells an older start; a cold node would pass for warm.
            let is_new = server.member.state == State::Gone || member.started > server.member.started;
            if is_new {
                *server = Server { limit, ..Server::default() };
            }
            let started = member.started.max(server.member.started);
            server.member = Member { started, ..member };
            if is_new || member.state != State::Ready {
                left.insert(member.server);
            }
        }
        let fleet = self.servers.values().filter(|s| self.in_fleet(s)).map(|s| s.member.weight());
        self.mean_size = fleet.clone().sum::<f64>() / fleet.count().max(1) as f64;
        // Servers are replaced for as long as a balancer runs: who is gone is forgotten, once no request
        // has been there.
        let attempts = self.requests.values().flat_map(|open| &open.attempts);
        let used: BTreeSet<ServerId> = attempts.map(|attempt| attempt.server).collect();
        self.servers.retain(|id, s| s.member.state != State::Gone || used.contains(id));
        // Drained, gone, or empty after a restart: no set may lead there.
        if !left.is_empty() {
            self.table.values_mut().for_each(|entry| entry.members.retain(|id| !left.contains(id)));
        }
    }
}

/// Whether a repeat does no harm: nothing ran, or the class allows it, or repeats are dropped.
fn repeat_is_harmless(open: &Open, dropped: impl Fn(&Attempt) -> bool) -> bool {
    may_have_run(open).is_none_or(|first| match open.class.effect {
        Effect::Safe => true,
        Effect::Keyed => dropped(first),
        Effect::Unsafe => false,
    })
}

/// The first attempt that may have run, if any.
fn may_have_run(open: &Open) -> Option<&Attempt> {
    use Outcome::*;
    let unrun = |a: &&Attempt| matches!(a.outcome, Some(Full | ConnectFailed | Moot | Miss));
    open.attempts.iter().find(|attempt| !unrun(attempt))
}
