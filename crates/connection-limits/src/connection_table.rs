//! The connections of a server, what each is doing, and which are to be closed. Read
//! [`ConnectionTable`] first, then [`Phase`].
//!
//! `entry` is the record of one connection, `eviction` decides which are closed, and `life_tables`
//! keeps the life tables up to date.

mod entry;
mod eviction;
mod life_tables;

use crate::growth_estimator::GrowthEstimator;
use crate::limits::Limits;
use crate::reuse_estimator::{interval_end, ReuseEstimator};
use crate::Timestamp;
use entry::{Entry, Queue, ReuseKind, QUEUE_COUNT, REUSE_KIND_COUNT};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A connection, numbered by the driver in the order of arrival.
pub type ConnectionId = u64;
/// Counts the phases of a connection. A [`CloseOrder`] carries it: an order is outdated once its
/// connection has entered another phase.
pub type PhaseNumber = u32;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has arrived and sent nothing.
    Silent,
    /// It has sent a part of its first command.
    PartialFirstCommand,
    /// A command is being executed. Such a connection is never closed.
    CommandOpen,
    /// Every command has its response, and the client has sent nothing more.
    Idle,
    /// It has sent a part of a later command.
    PartialCommand,
    /// The client does not read a response. Each entry into this phase counts as progress.
    ResponseUnread,
    /// It is closing; input is discarded.
    Closing,
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseOrderReason {
    /// It was in its phase for longer than any connection may be.
    Overdue,
    /// It is idle or silent, few connections of its kind are used again, and the pressure is high.
    UnlikelyToReturn,
    /// Too many connections are in its phase.
    OverBudget,
    /// The capacity was used up.
    Evicted,
}

/// A connection to close, unless it has entered another phase in the meantime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseOrder {
    /// Which connection.
    pub id: ConnectionId,
    /// In which of its phases; see [`PhaseNumber`].
    pub phase_number: PhaseNumber,
    /// What it was doing.
    pub phase: Phase,
    /// Why.
    pub reason: CloseOrderReason,
}

/// How long connections of a kind may now be idle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdleLimits {
    /// Connections that have sent nothing.
    pub silent: Duration,
    /// Idle connections that have sent one request.
    pub after_one_request: Duration,
    /// Idle connections that have sent several requests.
    pub after_several_requests: Duration,
}

/// The state of a [`ConnectionTable`] at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Connections.
    pub open_connections: usize,
    /// The most connections that there may be.
    pub capacity: usize,
    /// Connections that have sent nothing.
    pub silent: usize,
    /// Connections with a partial command.
    pub partial_command: usize,
    /// Idle connections.
    pub idle: usize,
    /// Connections that are closing.
    pub closing: usize,
    /// The share of the capacity that is used or soon will be.
    pub pressure: f64,
    /// How long connections may now be idle.
    pub idle_limits: IdleLimits,
}

/// The connections of one server.
///
/// The driver reports what each connection does: [`ConnectionTable::insert`],
/// [`ConnectionTable::set_phase`], [`ConnectionTable::record_request`],
/// [`ConnectionTable::remove`]. Every few milliseconds it closes those that
/// [`ConnectionTable::expired`] returns, and those of [`ConnectionTable::make_room`] when the
/// capacity is used up.
pub struct ConnectionTable {
    limits: Limits,
    capacity: usize,
    entries: BTreeMap<ConnectionId, Entry>,
    /// The connections that may be closed, by [`Queue`] and the beginning of their phase.
    ///
    /// Invariant: an entry is in the queue that its `queue` names, and in no other.
    queues: [BTreeSet<(Timestamp, ConnectionId)>; QUEUE_COUNT],
    /// When each connection with a life table reaches the next interval of it.
    interval_ends: BTreeSet<(Timestamp, ConnectionId)>,
    /// By [`ReuseKind`].
    life_tables: [ReuseEstimator; REUSE_KIND_COUNT],
    growth: GrowthEstimator,
    accepts: bool,
}

impl ConnectionTable {
    /// A table without connections.
    pub fn new(limits: Limits, capacity: usize) -> ConnectionTable {
        ConnectionTable {
            limits,
            capacity: capacity.max(1),
            entries: BTreeMap::new(),
            queues: Default::default(),
            interval_ends: BTreeSet::new(),
            life_tables: Default::default(),
            growth: GrowthEstimator::default(),
            accepts: true,
        }
    }

    /// Changes the capacity. Connections beyond it stay for the time being.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
    }

    /// No connection arrives from now on, so that none needs the capacity and limits are generous
    /// again. A client whose connection was closed could not connect to this server again.
    pub fn stop_accepting(&mut self) {
        self.accepts = false;
    }

    /// How many connections there are.
    pub fn open_connections(&self) -> usize {
        self.entries.len()
    }

    /// Whether the capacity is used up.
    pub fn is_full(&self) -> bool {
        self.open_connections() >= self.capacity
    }

    /// A connection has arrived; it has sent nothing yet.
    pub fn insert(&mut self, now: Timestamp, id: ConnectionId) {
        self.growth.record_arrival(now);
        self.entries.insert(id, Entry::new(now));
        self.enqueue(id);
    }

    /// A connection has sent a request.
    pub fn record_request(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.requests = entry.requests.saturating_add(1);
        }
    }

    /// A connection enters a phase; returns the count of its phases. Entering the current phase
    /// again changes nothing, except for [`Phase::ResponseUnread`].
    pub fn set_phase(&mut self, now: Timestamp, id: ConnectionId, phase: Phase) -> PhaseNumber {
        let Some(entry) = self.entries.get(&id) else { return 0 };
        if entry.phase == phase && phase != Phase::ResponseUnread {
            return entry.phase_number;
        }
        // Input on a closing connection is no reuse. A connection that was ordered to close, but is
        // used before it closes, counts as reused.
        if phase != Phase::Closing {
            self.record_reuse(now, id);
        }
        self.dequeue(id);
        let Some(entry) = self.entries.get_mut(&id) else { return 0 };
        entry.enter(now, phase);
        let phase_number = entry.phase_number;
        self.enqueue(id);
        phase_number
    }

    /// A connection was closed, by the client or by the server.
    pub fn remove(&mut self, now: Timestamp, id: ConnectionId) {
        // After a close by the server it is unknown what the client would have done.
        if self.entries.get(&id).is_some_and(|entry| !entry.is_ordered_to_close) {
            self.record_client_close(now, id);
        }
        self.dequeue(id);
        if self.entries.remove(&id).is_some() {
            self.growth.record_departure(now);
        }
    }

    /// The share of the capacity that is used, or soon will be if connections go on arriving and
    /// ending at the present rates; 0 once the server accepts no more. It can exceed 1.
    pub fn pressure(&self, now: Timestamp) -> f64 {
        if !self.accepts {
            return 0.0;
        }
        let growth = self.growth.growth(now, self.limits.growth_horizon);
        (self.open_connections() as f64 + growth) / self.capacity as f64
    }

    /// The state at this moment.
    pub fn counts(&self, now: Timestamp) -> Counts {
        let in_phases =
            |phases: &[Phase]| self.entries.values().filter(|entry| phases.contains(&entry.phase)).count();
        let pressure = self.pressure(now);
        Counts {
            open_connections: self.open_connections(),
            capacity: self.capacity,
            silent: in_phases(&[Phase::Silent]),
            partial_command: in_phases(&[Phase::PartialFirstCommand, Phase::PartialCommand]),
            idle: in_phases(&[Phase::Idle]),
            closing: in_phases(&[Phase::Closing]),
            pressure,
            idle_limits: IdleLimits {
                silent: self.idle_limit(ReuseKind::Silent, pressure),
                after_one_request: self.idle_limit(ReuseKind::UsedOnce, pressure),
                after_several_requests: self.idle_limit(ReuseKind::UsedAgain, pressure),
            },
        }
    }

    /// Puts a connection into the queue of its phase, and schedules the end of its first interval.
    fn enqueue(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let sample = &self.queues[Queue::Sample as usize];
        let is_sampled =
            id.is_multiple_of(self.limits.sample_one_in.max(1)) && sample.len() < self.phase_budget();
        let has_life_table = entry.reuse_kind().is_some();
        let queue = if is_sampled && has_life_table { Some(Queue::Sample) } else { entry.queue_of_phase() };
        if let Some(end) = interval_end(entry.interval).filter(|_| has_life_table) {
            self.interval_ends.insert((entry.since + end, id));
        }
        if let (Some(queue), Some(entry)) = (queue, self.entries.get_mut(&id)) {
            entry.queue = Some(queue);
            self.queues[queue as usize].insert((entry.since, id));
        }
    }

    /// Takes a connection out of its queues.
    fn dequeue(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Some(queue) = entry.queue.take() {
            self.queues[queue as usize].remove(&(entry.since, id));
        }
        if let Some(end) = interval_end(entry.interval) {
            self.interval_ends.remove(&(entry.since + end, id));
        }
    }

    /// How many connections may be in each of the phases with a budget above low pressure.
    fn phase_budget(&self) -> usize {
        ((self.capacity as f64 * self.limits.phase_budget_share) as usize).max(1)
    }
}
