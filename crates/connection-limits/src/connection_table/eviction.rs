//! Decides which connections are closed, with one function for each [`CloseOrderReason`]. Read
//! [`ConnectionTable::expired`] first, which applies the functions in order.

use super::entry::{Queue, ReuseKind};
use super::{CloseOrder, CloseOrderReason, ConnectionId, ConnectionTable, Phase, Timestamp};
use std::time::Duration;

/// An idle connection that may be closed for a new one.
struct Candidate {
    reuse_probability: f64,
    since: Timestamp,
    id: ConnectionId,
}

impl ConnectionTable {
    /// Returns orders to close the connections that have been in their phase for longer than the
    /// present pressure allows. A connection is returned at most once for each phase that it
    /// enters.
    pub fn expired(&mut self, now: Timestamp) -> Vec<CloseOrder> {
        self.record_survivals(now);
        let pressure = self.pressure(now);
        let mut orders = Vec::new();
        self.order_overdue(now, pressure, &mut orders);
        self.order_overdue_in_sample(now, &mut orders);
        if pressure > self.limits.low_pressure {
            self.order_unlikely_to_return(now, pressure, &mut orders);
            self.order_over_budget(now, &mut orders);
        }
        orders
    }

    /// Decides which connections, up to `count`, are evicted in favor of new ones
    /// ([`CloseOrderReason::Evicted`]), and returns the orders to close them. First come the
    /// connections whose client the server waits for and that have reached their floor, by phase,
    /// the oldest first; then idle connections, the least likely to be used again first.
    ///
    /// Invariant: a connection whose command is being executed is never closed.
    ///
    /// Inputs: ages and floors (ms), probabilities of reuse, `count` in connections.
    /// Reason: the capacity is used up, and a client that waits to connect needs it more than one
    /// that sends nothing.
    /// Source: docs/connection-limits.md, "Limit reached".
    pub fn make_room(&mut self, now: Timestamp, count: usize) -> Vec<CloseOrder> {
        self.record_survivals(now);
        let mut orders = Vec::new();
        for (queue, floor) in [
            (Queue::Silent, self.limits.silent_floor),
            (Queue::Closing, self.limits.linger_floor),
            (Queue::PartialFirstCommand, self.limits.partial_command_floor),
            (Queue::PartialCommand, self.limits.partial_command_floor),
        ] {
            while orders.len() < count {
                let order = self.order_oldest(now, queue, floor, CloseOrderReason::Evicted);
                let Some(order) = order else { break };
                orders.push(order);
            }
        }
        while orders.len() < count {
            let candidate = self.least_likely_to_return();
            let order = candidate.and_then(|id| self.order_close(id, CloseOrderReason::Evicted));
            let Some(order) = order else { break };
            orders.push(order);
        }
        orders
    }

    /// Orders the closing of connections that have been in their phase for longer than any
    /// connection may be ([`CloseOrderReason::Overdue`]).
    ///
    /// Inputs: ages in the phase and the timeouts of the phases (ms), the pressure (share of the
    /// capacity), which selects the idle timeout.
    /// Reason: a client that neither sends nor reads would hold its descriptor indefinitely.
    /// Source: docs/connection-limits.md, "Pressure".
    fn order_overdue(&mut self, now: Timestamp, pressure: f64, orders: &mut Vec<CloseOrder>) {
        let limits = self.limits;
        let idle = limits.idle_timeout_at(pressure);
        let is_low = pressure <= limits.low_pressure;
        let sample = if is_low { limits.idle_timeout_at_low_pressure } else { limits.idle_timeout };
        for (queue, limit) in [
            (Queue::Silent, limits.command_timeout),
            (Queue::PartialFirstCommand, limits.command_timeout),
            (Queue::PartialCommand, limits.command_timeout),
            (Queue::ResponseUnread, limits.unread_response_timeout),
            (Queue::Closing, limits.linger_timeout),
            (Queue::NeverUsed, idle),
            (Queue::UsedOnce, idle),
            (Queue::UsedAgain, idle),
            (Queue::Sample, sample),
        ] {
            self.order_older(now, queue, limit, CloseOrderReason::Overdue, orders);
        }
    }

    /// Orders the closing of overdue silent connections of the sample, which have the same time
    /// limit as other silent connections.
    fn order_overdue_in_sample(&mut self, now: Timestamp, orders: &mut Vec<CloseOrder>) {
        let limit = self.limits.command_timeout;
        let is_silent =
            |id: &ConnectionId| self.entries.get(id).is_some_and(|entry| entry.phase == Phase::Silent);
        let sample = self.queues[Queue::Sample as usize].iter();
        let overdue: Vec<ConnectionId> = sample
            .filter(|(since, id)| now.saturating_duration_since(*since) >= limit && is_silent(id))
            .map(|(_, id)| *id)
            .collect();
        for id in overdue {
            orders.extend(self.order_close(id, CloseOrderReason::Overdue));
        }
    }

    /// Orders the closing of silent and idle connections at the age from which on few connections
    /// of their kind are used again ([`CloseOrderReason::UnlikelyToReturn`]).
    ///
    /// Inputs: ages in the phase (ms), the pressure (share of the capacity), and the limit of each
    /// kind, which [`ConnectionTable::idle_limit`] decides.
    /// Reason: under pressure the capacity is kept for connections that will carry requests.
    /// Source: docs/connection-limits.md, "Reuse".
    fn order_unlikely_to_return(&mut self, now: Timestamp, pressure: f64, orders: &mut Vec<CloseOrder>) {
        for (queue, kind) in [
            (Queue::Silent, ReuseKind::Silent),
            (Queue::NeverUsed, ReuseKind::NeverUsed),
            (Queue::UsedOnce, ReuseKind::UsedOnce),
            (Queue::UsedAgain, ReuseKind::UsedAgain),
        ] {
            let limit = self.idle_limit(kind, pressure);
            self.order_older(now, queue, limit, CloseOrderReason::UnlikelyToReturn, orders);
        }
    }

    /// Orders the closing of the oldest connections in phases with more connections than their
    /// budget ([`CloseOrderReason::OverBudget`]).
    ///
    /// Inputs: the number of connections in each phase, the budget of a phase (connections), ages
    /// and floors (ms).
    /// Reason: clients that the server waits for must not use up the capacity for other clients.
    /// Source: docs/connection-limits.md, "Budgets" (Little's law).
    fn order_over_budget(&mut self, now: Timestamp, orders: &mut Vec<CloseOrder>) {
        let budget = self.phase_budget();
        for (queue, floor) in [
            (Queue::Silent, self.limits.silent_floor),
            (Queue::PartialFirstCommand, self.limits.partial_command_floor),
            (Queue::PartialCommand, self.limits.partial_command_floor),
            (Queue::ResponseUnread, self.limits.unread_response_floor),
            (Queue::Closing, self.limits.linger_floor),
        ] {
            while self.queues[queue as usize].len() > budget {
                let order = self.order_oldest(now, queue, floor, CloseOrderReason::OverBudget);
                let Some(order) = order else { break };
                orders.push(order);
            }
        }
    }

    /// Returns the idle connection that is least likely to be used again, and of equally likely
    /// ones the oldest.
    fn least_likely_to_return(&self) -> Option<ConnectionId> {
        let queues = [Queue::NeverUsed, Queue::UsedOnce, Queue::UsedAgain, Queue::Sample];
        let oldest = queues.iter().filter_map(|queue| self.queues[*queue as usize].first());
        let candidates = oldest.map(|(since, id)| Candidate {
            reuse_probability: self.reuse_probability(*id),
            since: *since,
            id: *id,
        });
        let least = candidates.min_by(|a, b| {
            let by_probability = a.reuse_probability.total_cmp(&b.reuse_probability);
            by_probability.then(a.since.cmp(&b.since))
        });
        least.map(|candidate| candidate.id)
    }

    /// Orders the closing of the connections of a queue that have reached this age.
    fn order_older(
        &mut self,
        now: Timestamp,
        queue: Queue,
        age: Duration,
        reason: CloseOrderReason,
        orders: &mut Vec<CloseOrder>,
    ) {
        while let Some(order) = self.order_oldest(now, queue, age, reason) {
            orders.push(order);
        }
    }

    /// Orders the closing of the oldest connection of a queue, if that connection has reached this
    /// age.
    fn order_oldest(
        &mut self,
        now: Timestamp,
        queue: Queue,
        age: Duration,
        reason: CloseOrderReason,
    ) -> Option<CloseOrder> {
        let (since, id) = self.queues[queue as usize].first().copied()?;
        if now.saturating_duration_since(since) < age {
            return None;
        }
        self.order_close(id, reason)
    }

    /// Orders the closing of a connection, and removes the connection from its queue so that it is
    /// not ordered to close again in the same phase.
    fn order_close(&mut self, id: ConnectionId, reason: CloseOrderReason) -> Option<CloseOrder> {
        self.dequeue(id);
        let entry = self.entries.get_mut(&id)?;
        entry.is_ordered_to_close = true;
        Some(CloseOrder { id, phase_number: entry.phase_number, phase: entry.phase, reason })
    }
}
