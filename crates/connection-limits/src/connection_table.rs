//! Tracks what each connection of a server is doing, and selects the connections to close. Read
//! [`ConnectionTable`] first, then [`Phase`].
//!
//! `entry` has the record of one connection, `eviction` decides which connections are closed, and
//! `life_tables` keeps the life tables up to date.

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

/// The id of a connection. The driver numbers connections in the order of arrival.
pub type ConnectionId = u64;
/// The number of a phase within its connection: 0 for the first phase, one more for each phase that
/// the connection enters. A [`CloseOrder`] contains the number because an order is outdated once
/// the connection has entered another phase.
pub type PhaseNumber = u32;

/// The phase of a connection, by the state of its commands and responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The client has connected and sent nothing.
    Silent,
    /// The client has sent a part of its first command.
    PartialFirstCommand,
    /// A command is being executed. The connection is never closed in this phase.
    CommandOpen,
    /// Every command has its response, and the client has sent nothing more.
    Idle,
    /// The client has sent a part of a later command.
    PartialCommand,
    /// The client has not read all of a response. Each entry into this phase counts as progress of
    /// the client.
    ResponseUnread,
    /// The connection is closing, and its input is discarded.
    Closing,
}

/// The reason for an order to close a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseOrderReason {
    /// The connection was in its phase for longer than any connection may be.
    Overdue,
    /// The pressure is high, and the connection is idle or silent at an age from which on few
    /// connections of its kind are used again.
    UnlikelyToReturn,
    /// More connections are in the phase than its budget allows.
    OverBudget,
    /// The capacity was used up, and another client needed it.
    Evicted,
}

/// An order to close a connection, unless it has entered another phase in the meantime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseOrder {
    /// The connection to close.
    pub id: ConnectionId,
    /// The number of the phase to which the order applies.
    pub phase_number: PhaseNumber,
    /// The phase to which the order applies.
    pub phase: Phase,
    /// The reason for the order.
    pub reason: CloseOrderReason,
}

/// The maximum idle time of connections of each kind at the present pressure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdleLimits {
    /// The maximum time for which a connection may stay open without sending anything.
    pub silent: Duration,
    /// The maximum idle time of connections that have sent one request.
    pub after_one_request: Duration,
    /// The maximum idle time of connections that have sent several requests.
    pub after_several_requests: Duration,
}

/// The state of a [`ConnectionTable`] at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// The number of connections in all phases.
    pub open_connections: usize,
    /// The maximum number of connections.
    pub capacity: usize,
    /// The number of connections that have sent nothing.
    pub silent: usize,
    /// The number of connections with a partial command.
    pub partial_command: usize,
    /// The number of idle connections.
    pub idle: usize,
    /// The number of connections that are closing.
    pub closing: usize,
    /// The share of the capacity that is used or soon will be.
    pub pressure: f64,
    /// The maximum idle times at this pressure.
    pub idle_limits: IdleLimits,
}

/// The connections of one server.
///
/// The driver reports what each connection does: [`ConnectionTable::insert`],
/// [`ConnectionTable::set_phase`], [`ConnectionTable::record_request`],
/// [`ConnectionTable::remove`]. Every few milliseconds it closes the connections that
/// [`ConnectionTable::expired`] returns. When the capacity is used up, it also closes those that
/// [`ConnectionTable::make_room`] returns.
pub struct ConnectionTable {
    limits: Limits,
    capacity: usize,
    entries: BTreeMap<ConnectionId, Entry>,
    /// The connections that may be closed, by [`Queue`] and by the time from which the limits of
    /// their phase count.
    ///
    /// Invariant: an entry is in the queue that its field `queue` names, and in no other queue.
    queues: [BTreeSet<(Timestamp, ConnectionId)>; QUEUE_COUNT],
    /// The connections that have a life table, by the time at which each of them reaches the next
    /// interval of the table.
    interval_ends: BTreeSet<(Timestamp, ConnectionId)>,
    /// The life tables, indexed by [`ReuseKind`].
    life_tables: [ReuseEstimator; REUSE_KIND_COUNT],
    growth: GrowthEstimator,
    accepts: bool,
}

impl ConnectionTable {
    /// Creates a table without connections.
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

    /// Changes the capacity. Connections above a lower capacity are not closed at once.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
    }

    /// Records that the server has stopped accepting connections. The pressure then stays at 0, so
    /// that no limit is lowered: no new connection needs the capacity, and a client whose
    /// connection was closed could not connect to this server again.
    pub fn stop_accepting(&mut self) {
        self.accepts = false;
    }

    /// Returns the number of connections in all phases.
    pub fn open_connections(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of connections with a response that is not complete, or not written.
    pub fn responding_connections(&self) -> usize {
        self.count_in_phases(&[Phase::CommandOpen, Phase::ResponseUnread])
    }

    /// Returns whether the capacity is used up.
    pub fn is_full(&self) -> bool {
        self.open_connections() >= self.capacity
    }

    /// Adds a connection that has arrived and has sent nothing yet.
    pub fn insert(&mut self, now: Timestamp, id: ConnectionId) {
        self.growth.record_arrival(now);
        self.entries.insert(id, Entry::new(now));
        self.enqueue(id);
    }

    /// Records that a connection has sent a request.
    pub fn record_request(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.requests = entry.requests.saturating_add(1);
        }
    }

    /// Records that a connection enters a phase, and returns the number of that phase. Entering the
    /// current phase again changes nothing, except for [`Phase::ResponseUnread`].
    pub fn set_phase(&mut self, now: Timestamp, id: ConnectionId, phase: Phase) -> PhaseNumber {
        let Some(entry) = self.entries.get(&id) else { return 0 };
        if entry.phase == phase && phase != Phase::ResponseUnread {
            return entry.phase_number;
        }
        // Input on a closing connection does not count as reuse. A connection that was ordered to
        // close but is used before it closes counts as reused.
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

    /// Restarts the time of a connection's phase at `progressed_at`, because its client has made
    /// progress in the phase then. Returns the new number of the phase, or `None` if that was so long
    /// ago that the connection is overdue all the same.
    ///
    /// Note: progress counts only where a connection would close as overdue. If it counted at once, a
    /// client that sends one byte at a time would never be among the oldest of its phase.
    pub fn restart_phase(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        progressed_at: Timestamp,
    ) -> Option<PhaseNumber> {
        if now.saturating_duration_since(progressed_at) >= self.limits.command_timeout {
            return None;
        }
        self.dequeue(id);
        let entry = self.entries.get_mut(&id)?;
        entry.restart(progressed_at);
        let phase_number = entry.phase_number;
        self.enqueue(id);
        Some(phase_number)
    }

    /// Removes a connection that the client or the server has closed.
    pub fn remove(&mut self, now: Timestamp, id: ConnectionId) {
        // If the server closed the connection, it is unknown what the client would have done.
        if self.entries.get(&id).is_some_and(|entry| !entry.is_ordered_to_close) {
            self.record_client_close(now, id);
        }
        self.dequeue(id);
        if self.entries.remove(&id).is_some() {
            self.growth.record_departure(now);
        }
    }

    /// Returns the share of the capacity that is used, or soon will be if connections continue to
    /// arrive and end at the present rates. The pressure can exceed 1, and is 0 once the server
    /// accepts no more connections.
    pub fn pressure(&self, now: Timestamp) -> f64 {
        if !self.accepts {
            return 0.0;
        }
        let growth = self.growth.growth(now, self.limits.growth_horizon);
        (self.open_connections() as f64 + growth) / self.capacity as f64
    }

    /// Returns the state of the table at this moment.
    pub fn counts(&self, now: Timestamp) -> Counts {
        let pressure = self.pressure(now);
        Counts {
            open_connections: self.open_connections(),
            capacity: self.capacity,
            silent: self.count_in_phases(&[Phase::Silent]),
            partial_command: self.count_in_phases(&[Phase::PartialFirstCommand, Phase::PartialCommand]),
            idle: self.count_in_phases(&[Phase::Idle]),
            closing: self.count_in_phases(&[Phase::Closing]),
            pressure,
            idle_limits: IdleLimits {
                silent: self.idle_limit(ReuseKind::Silent, pressure),
                after_one_request: self.idle_limit(ReuseKind::UsedOnce, pressure),
                after_several_requests: self.idle_limit(ReuseKind::UsedAgain, pressure),
            },
        }
    }

    fn count_in_phases(&self, phases: &[Phase]) -> usize {
        self.entries.values().filter(|entry| phases.contains(&entry.phase)).count()
    }

    /// Adds a connection to the queue of its phase or of the sample, and schedules the end of its
    /// first interval.
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

    /// Removes a connection from its queue, and cancels the end of its interval.
    fn dequeue(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Some(queue) = entry.queue.take() {
            self.queues[queue as usize].remove(&(entry.since, id));
        }
        if let Some(end) = interval_end(entry.interval) {
            self.interval_ends.remove(&(entry.since + end, id));
        }
    }

    /// Returns the budget, in connections, of each phase that has one, and the maximum size of the
    /// sample.
    fn phase_budget(&self) -> usize {
        ((self.capacity as f64 * self.limits.phase_budget_share) as usize).max(1)
    }
}
