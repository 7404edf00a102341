//! The places and who holds them.

use crate::growth_estimator::GrowthEstimator;
use crate::limits::Limits;
use crate::reuse_estimator::{interval, ReuseEstimator, EDGES};
use std::collections::{BTreeMap, BTreeSet};

/// A time in milliseconds since a beginning of the driver's choice.
pub type Millis = u64;
/// A connection, numbered by the driver in the order of arrival.
pub type ConnectionId = u64;
/// Which stay in a phase an order is about: a connection that has moved on meanwhile is past it.
pub type Seq = u32;

/// What a connection holds its place for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has connected and said nothing.
    Silent,
    /// It has said something, but no whole command yet.
    FirstHalf,
    /// A command is open. Nothing takes its place from it.
    AtWork,
    /// All is answered, and nothing more was said.
    Idle,
    /// A later command is half said.
    Half,
    /// An answer is not read. Each entry into this phase counts as progress.
    Unread,
    /// It is closing; what still comes is thrown away.
    Ending,
}

/// Why a connection is to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// It held its place beyond what anyone is granted.
    Overdue,
    /// Idle, and hardly any of its kind come back, while others want the place.
    UnlikelyToReturn,
    /// Too many places are held by those that owe what it owes.
    OverBudget,
    /// All places were taken.
    NoRoom,
}

/// A connection that is to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseOrder {
    /// Which one.
    pub id: ConnectionId,
    /// Unless it has moved on since.
    pub seq: Seq,
    /// What it held its place for.
    pub phase: Phase,
    /// Why.
    pub reason: Reason,
}

/// Idle connections differ by what was seen of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Queue {
    Silent,
    FirstHalf,
    Half,
    Unread,
    Ending,
    /// Idle and never brought a request, only courtesies.
    Greeted,
    /// Idle after one request.
    Once,
    /// Idle after several.
    Again,
    /// Idle or silent, and kept to learn from.
    Sample,
}

const QUEUES: usize = 9;
/// The kinds with life tables of their own: `Silent`, `Greeted`, `Once`, `Again`.
const KINDS: usize = 4;

struct Entry {
    phase: Phase,
    queue: Option<Queue>,
    since: Millis,
    arrived: Millis,
    seq: Seq,
    requests: u32,
    /// The interval of its life table that it is in.
    interval: usize,
    ordered: bool,
}

impl Entry {
    /// Which life table it belongs to, if any.
    fn kind(&self) -> Option<usize> {
        match (self.phase, self.requests) {
            (Phase::Silent, _) => Some(0),
            (Phase::Idle, 0) => Some(1),
            (Phase::Idle, 1) => Some(2),
            (Phase::Idle, _) => Some(3),
            _ => None,
        }
    }
}

/// What is held, and what holds now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Places held, and how many there are.
    pub open: usize,
    /// See `open`.
    pub capacity: usize,
    /// Held by those that have said nothing.
    pub silent: usize,
    /// Held by those with half a command.
    pub half: usize,
    /// Held by idle ones.
    pub idle: usize,
    /// Held by those that end.
    pub ending: usize,
    /// The share of the places that is or soon will be held.
    pub pressure: f64,
    /// How long those with nothing said, one request, and more than one may now be idle, in ms.
    pub limits: [Millis; 3],
}

/// The places of one server.
///
/// The driver says what each connection does: [`ConnectionTable::arrive`], [`ConnectionTable::enter`], [`ConnectionTable::asked`],
/// [`ConnectionTable::left`]. Every few milliseconds it asks [`ConnectionTable::overdue`] who is to close, and when all places
/// are taken [`ConnectionTable::make_room`].
pub struct ConnectionTable {
    limits: Limits,
    capacity: usize,
    entries: BTreeMap<ConnectionId, Entry>,
    queues: [BTreeSet<(Millis, ConnectionId)>; QUEUES],
    /// When those with a life table reach its next interval.
    crossings: BTreeSet<(Millis, ConnectionId)>,
    tables: [ReuseEstimator; KINDS],
    flow: GrowthEstimator,
    shut: bool,
}

impl ConnectionTable {
    /// So many places, all free.
    pub fn new(limits: Limits, most: usize) -> ConnectionTable {
        ConnectionTable {
            limits,
            capacity: most.max(1),
            entries: BTreeMap::new(),
            queues: Default::default(),
            crossings: BTreeSet::new(),
            tables: Default::default(),
            flow: GrowthEstimator::default(),
            shut: false,
        }
    }

    /// From now on there are so many. Who holds a place keeps it for the time being.
    pub fn set_capacity(&mut self, most: usize) {
        self.capacity = most.max(1);
    }

    /// From now on nobody comes any more, so that nobody's place is wanted: limits are generous again. Who is
    /// closed by a server that stops has nowhere to go.
    pub fn stop_accepting(&mut self) {
        self.shut = true;
    }

    /// Places held.
    pub fn open(&self) -> usize {
        self.entries.len()
    }

    /// Whether all places are held.
    pub fn is_full(&self) -> bool {
        self.open() >= self.capacity
    }

    /// A connection has come and holds a place; it has said nothing yet.
    pub fn insert(&mut self, now: Millis, id: ConnectionId) {
        self.flow.arrive(now);
        let entry = Entry {
            phase: Phase::Silent,
            queue: None,
            since: now,
            arrived: now,
            seq: 0,
            requests: 0,
            interval: 0,
            ordered: false,
        };
        self.entries.insert(id, entry);
        self.place(id);
    }

    /// A connection has brought a request.
    pub fn record_request(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.requests = entry.requests.saturating_add(1);
        }
    }

    /// A connection is in this phase now; the stay's number. To enter the phase that it is in changes nothing,
    /// but for `Unread`.
    pub fn set_phase(&mut self, now: Millis, id: ConnectionId, phase: Phase) -> Seq {
        let Some(entry) = self.entries.get(&id) else { return 0 };
        if entry.phase == phase && phase != Phase::Unread {
            return entry.seq;
        }
        // Who ends says nothing more that counts; who was told to close and speaks first counts as well.
        let spoke = phase != Phase::Ending;
        self.learn(now, id, |table, interval| {
            if spoke {
                table.spoke(now, interval)
            }
        });
        self.displace(id);
        let Some(entry) = self.entries.get_mut(&id) else { return 0 };
        entry.seq = entry.seq.wrapping_add(1);
        (entry.phase, entry.interval, entry.ordered) = (phase, 0, false);
        // Danger: a byte now and then would make a connection young for ever. Its first command is owed from
        // the time of its arrival on.
        entry.since = if phase == Phase::FirstHalf { entry.arrived } else { now };
        let seq = entry.seq;
        self.place(id);
        seq
    }

    /// A connection has ended, whoever ended it.
    pub fn remove(&mut self, now: Millis, id: ConnectionId) {
        let by_itself = self.entries.get(&id).is_some_and(|entry| !entry.ordered);
        // What the server ended says nothing of what the client would have done.
        self.learn(now, id, |table, interval| {
            if by_itself {
                table.left(now, interval)
            }
        });
        self.displace(id);
        if self.entries.remove(&id).is_some() {
            self.flow.leave(now);
        }
    }

    /// The share of the places that is held, or will be if they fill on as they do.
    pub fn pressure(&self, now: Millis) -> f64 {
        if self.shut {
            return 0.0;
        }
        (self.open() as f64 + self.flow.growth(now, self.limits.ahead)) / self.capacity as f64
    }

    /// Who has held a place for too long as things stand. Each is named once for each stay in a phase.
    pub fn expired(&mut self, now: Millis) -> Vec<CloseOrder> {
        self.cross(now);
        let pressure = self.pressure(now);
        let limits = self.limits;
        let mut orders = Vec::new();
        let plain = [
            (Queue::Silent, limits.whole_command),
            (Queue::FirstHalf, limits.whole_command),
            (Queue::Half, limits.whole_command),
            (Queue::Unread, limits.unread),
            (Queue::Ending, limits.linger),
            (Queue::Greeted, limits.idle_at(pressure)),
            (Queue::Once, limits.idle_at(pressure)),
            (Queue::Again, limits.idle_at(pressure)),
            (Queue::Sample, if pressure > limits.room { limits.idle } else { limits.idle_with_room }),
        ];
        for (queue, limit) in plain {
            self.order_older(now, queue, limit, Reason::Overdue, &mut orders);
        }
        // The silent among the sample are owed no more than others.
        let silent =
            |id: &ConnectionId| self.entries.get(id).is_some_and(|entry| entry.phase == Phase::Silent);
        let too_old = |since: Millis| now.saturating_sub(since) >= limits.whole_command;
        let sampled =
            self.queues[Queue::Sample as usize].iter().filter(|(since, id)| too_old(*since) && silent(id));
        for id in sampled.map(|(_, id)| *id).collect::<Vec<_>>() {
            orders.extend(self.order(id, Reason::Overdue));
        }
        if pressure <= limits.room {
            return orders;
        }
        for (queue, kind) in [(Queue::Silent, 0), (Queue::Greeted, 1), (Queue::Once, 2), (Queue::Again, 3)] {
            let limit = self.limit_of(kind, pressure);
            self.order_older(now, queue, limit, Reason::UnlikelyToReturn, &mut orders);
        }
        let budgets = [
            (Queue::Silent, limits.silent_floor),
            (Queue::FirstHalf, limits.half_floor),
            (Queue::Half, limits.half_floor),
            (Queue::Ending, limits.linger_floor),
        ];
        let budget = self.budget();
        for (queue, floor) in budgets {
            while self.queues[queue as usize].len() > budget {
                let Some(order) = self.order_oldest(now, queue, floor, Reason::OverBudget) else { break };
                orders.push(order);
            }
        }
        orders
    }

    /// Up to `count` connections that may go for others: first those that owe a word or an end, oldest first,
    /// then idle ones, first those that are least likely to come back. Never one at work.
    pub fn make_room(&mut self, now: Millis, count: usize) -> Vec<CloseOrder> {
        self.cross(now);
        let limits = self.limits;
        let mut orders = Vec::new();
        let owing = [
            (Queue::Silent, limits.silent_floor),
            (Queue::Ending, limits.linger_floor),
            (Queue::FirstHalf, limits.half_floor),
            (Queue::Half, limits.half_floor),
        ];
        for (queue, floor) in owing {
            while orders.len() < count {
                let Some(order) = self.order_oldest(now, queue, floor, Reason::NoRoom) else { break };
                orders.push(order);
            }
        }
        while orders.len() < count {
            let idle = [Queue::Greeted, Queue::Once, Queue::Again, Queue::Sample];
            let oldest = idle.iter().filter_map(|queue| self.queues[*queue as usize].first());
            let least = oldest.map(|(since, id)| (self.chance(*id), *since, *id));
            let least = least.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let Some(order) = least.and_then(|(.., id)| self.order(id, Reason::NoRoom)) else { break };
            orders.push(order);
        }
        orders
    }

    /// What is held now, and which limits hold.
    pub fn counts(&self, now: Millis) -> Counts {
        let held = |phases: &[Phase]| self.entries.values().filter(|e| phases.contains(&e.phase)).count();
        let pressure = self.pressure(now);
        Counts {
            open: self.open(),
            capacity: self.capacity,
            silent: held(&[Phase::Silent]),
            half: held(&[Phase::FirstHalf, Phase::Half]),
            idle: held(&[Phase::Idle]),
            ending: held(&[Phase::Ending]),
            pressure,
            limits: [0, 2, 3].map(|kind| self.limit_of(kind, pressure)),
        }
    }

    /// How many places the silent, the half said and the ending may each take under pressure.
    fn budget(&self) -> usize {
        ((self.capacity as f64 * self.limits.budget) as usize).max(1)
    }

    /// How long a connection of a kind may now be idle.
    fn limit_of(&self, kind: usize, pressure: f64) -> Millis {
        let limits = &self.limits;
        let (most, least) = match kind {
            0 => (limits.whole_command, limits.silent_floor),
            _ => (limits.idle_at(pressure), limits.idle_floor),
        };
        let stake = limits.stake_at(pressure);
        // Who comes back later than the shorter limit is nobody to keep a place for while others want it.
        let soon = most.min(limits.idle);
        match self.tables[kind].unlikely_to_return_from(stake, soon) {
            hopeless if stake > 0.0 && hopeless < soon => hopeless.max(least),
            _ => most,
        }
    }

    fn chance(&self, id: ConnectionId) -> f64 {
        let Some(entry) = self.entries.get(&id) else { return 0.0 };
        entry.kind().map_or(0.0, |kind| self.tables[kind].chance(entry.interval, self.limits.idle))
    }

    fn order_older(
        &mut self,
        now: Millis,
        queue: Queue,
        age: Millis,
        reason: Reason,
        orders: &mut Vec<CloseOrder>,
    ) {
        while let Some(order) = self.order_oldest(now, queue, age, reason) {
            orders.push(order);
        }
    }

    /// The oldest of a queue, if it has reached this age.
    fn order_oldest(&mut self, now: Millis, queue: Queue, age: Millis, reason: Reason) -> Option<CloseOrder> {
        let (since, id) = self.queues[queue as usize].first().copied()?;
        (now.saturating_sub(since) >= age).then(|| self.order(id, reason)).flatten()
    }

    fn order(&mut self, id: ConnectionId, reason: Reason) -> Option<CloseOrder> {
        self.displace(id);
        let entry = self.entries.get_mut(&id)?;
        entry.ordered = true;
        Some(CloseOrder { id, seq: entry.seq, phase: entry.phase, reason })
    }

    /// Puts a connection into the queue of its phase.
    fn place(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let sample = &self.queues[Queue::Sample as usize];
        let sampled = id.is_multiple_of(self.limits.sample.max(1)) && sample.len() < self.budget();
        let queue = match entry.phase {
            Phase::AtWork => None,
            Phase::FirstHalf => Some(Queue::FirstHalf),
            Phase::Half => Some(Queue::Half),
            Phase::Unread => Some(Queue::Unread),
            Phase::Ending => Some(Queue::Ending),
            Phase::Silent | Phase::Idle if sampled => Some(Queue::Sample),
            Phase::Silent => Some(Queue::Silent),
            Phase::Idle => Some(match entry.requests {
                0 => Queue::Greeted,
                1 => Queue::Once,
                _ => Queue::Again,
            }),
        };
        if entry.kind().is_some() {
            self.crossings.insert((entry.since + EDGES[1], id));
        }
        if let (Some(queue), Some(entry)) = (queue, self.entries.get_mut(&id)) {
            entry.queue = Some(queue);
            self.queues[queue as usize].insert((entry.since, id));
        }
    }

    /// Takes a connection out of its queues.
    fn displace(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Some(queue) = entry.queue.take() {
            self.queues[queue as usize].remove(&(entry.since, id));
        }
        if let Some(next) = EDGES.get(entry.interval + 1) {
            self.crossings.remove(&(entry.since + next, id));
        }
    }

    /// Tells the life table of a connection's kind, if it has one, in which interval it is.
    fn learn(&mut self, now: Millis, id: ConnectionId, tell: impl FnOnce(&mut ReuseEstimator, usize)) {
        let Some(entry) = self.entries.get(&id) else { return };
        if let Some(kind) = entry.kind() {
            tell(&mut self.tables[kind], interval(now.saturating_sub(entry.since)).max(entry.interval));
        }
    }

    /// Counts who has lived through an interval since the last look.
    fn cross(&mut self, now: Millis) {
        while let Some((at, id)) = self.crossings.first().copied().filter(|(at, _)| *at <= now) {
            self.crossings.remove(&(at, id));
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            let Some(kind) = entry.kind() else { continue };
            self.tables[kind].lived_through(now, entry.interval);
            entry.interval += 1;
            if let Some(next) = EDGES.get(entry.interval + 1) {
                self.crossings.insert((entry.since + next, id));
            }
        }
    }
}
