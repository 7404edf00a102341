//! Which connections are to be closed. Read [`ConnectionTable::expired`] first.

use super::entry::{Queue, ReuseKind};
use super::{CloseOrder, ConnectionId, ConnectionTable, Millis, Phase, Reason};

/// An idle connection that may be closed for another.
struct Candidate {
    reuse_probability: f64,
    since: Millis,
    id: ConnectionId,
}

impl ConnectionTable {
    /// The connections that have been in their phase for too long, as things stand. Each is named
    /// once for each phase that it enters.
    pub fn expired(&mut self, now: Millis) -> Vec<CloseOrder> {
        self.learn_survivals(now);
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

    /// Up to `count` connections that may be closed for others: first those that the server waits
    /// for, oldest first, then idle ones, first those that are least likely to be used again. Never
    /// one with an open command.
    pub fn make_room(&mut self, now: Millis, count: usize) -> Vec<CloseOrder> {
        self.learn_survivals(now);
        let mut orders = Vec::new();
        for (queue, floor) in [
            (Queue::Silent, self.limits.silent_floor),
            (Queue::Closing, self.limits.linger_floor),
            (Queue::PartialFirstCommand, self.limits.partial_command_floor),
            (Queue::PartialCommand, self.limits.partial_command_floor),
        ] {
            while orders.len() < count {
                let order = self.order_oldest(now, queue, floor, Reason::Evicted);
                let Some(order) = order else { break };
                orders.push(order);
            }
        }
        while orders.len() < count {
            let candidate = self.least_likely_to_return();
            let order = candidate.and_then(|id| self.order(id, Reason::Evicted));
            let Some(order) = order else { break };
            orders.push(order);
        }
        orders
    }

    /// Connections that have been in their phase for longer than any connection may be.
    fn order_overdue(&mut self, now: Millis, pressure: f64, orders: &mut Vec<CloseOrder>) {
        let limits = self.limits;
        let idle = limits.idle_at(pressure);
        let is_low = pressure <= limits.low_pressure;
        let sample = if is_low { limits.idle_at_low_pressure } else { limits.idle };
        for (queue, limit) in [
            (Queue::Silent, limits.whole_command),
            (Queue::PartialFirstCommand, limits.whole_command),
            (Queue::PartialCommand, limits.whole_command),
            (Queue::ResponseUnread, limits.unread),
            (Queue::Closing, limits.linger),
            (Queue::NeverUsed, idle),
            (Queue::UsedOnce, idle),
            (Queue::UsedAgain, idle),
            (Queue::Sample, sample),
        ] {
            self.order_older(now, queue, limit, Reason::Overdue, orders);
        }
    }

    /// Silent connections of the sample: those have no more time than other silent ones.
    fn order_overdue_in_sample(&mut self, now: Millis, orders: &mut Vec<CloseOrder>) {
        let limit = self.limits.whole_command;
        let is_silent =
            |id: &ConnectionId| self.entries.get(id).is_some_and(|entry| entry.phase == Phase::Silent);
        let sample = self.queues[Queue::Sample as usize].iter();
        let overdue: Vec<ConnectionId> = sample
            .filter(|(since, id)| now.saturating_sub(*since) >= limit && is_silent(id))
            .map(|(_, id)| *id)
            .collect();
        for id in overdue {
            orders.extend(self.order(id, Reason::Overdue));
        }
    }

    /// Idle connections at an age from which on hardly any of their kind are used again.
    fn order_unlikely_to_return(&mut self, now: Millis, pressure: f64, orders: &mut Vec<CloseOrder>) {
        for (queue, kind) in [
            (Queue::Silent, ReuseKind::Silent),
            (Queue::NeverUsed, ReuseKind::NeverUsed),
            (Queue::UsedOnce, ReuseKind::UsedOnce),
            (Queue::UsedAgain, ReuseKind::UsedAgain),
        ] {
            let limit = self.idle_limit(kind, pressure);
            self.order_older(now, queue, limit, Reason::UnlikelyToReturn, orders);
        }
    }

    /// The oldest connections in phases that hold more than their budget.
    fn order_over_budget(&mut self, now: Millis, orders: &mut Vec<CloseOrder>) {
        let budget = self.phase_capacity();
        for (queue, floor) in [
            (Queue::Silent, self.limits.silent_floor),
            (Queue::PartialFirstCommand, self.limits.partial_command_floor),
            (Queue::PartialCommand, self.limits.partial_command_floor),
            (Queue::Closing, self.limits.linger_floor),
        ] {
            while self.queues[queue as usize].len() > budget {
                let order = self.order_oldest(now, queue, floor, Reason::OverBudget);
                let Some(order) = order else { break };
                orders.push(order);
            }
        }
    }

    /// The idle connection that is least likely to be used again; of equal ones the oldest.
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

    /// Orders the connections of a queue that have reached this age to be closed.
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

    /// Orders the oldest connection of a queue to be closed, if it has reached this age.
    fn order_oldest(&mut self, now: Millis, queue: Queue, age: Millis, reason: Reason) -> Option<CloseOrder> {
        let (since, id) = self.queues[queue as usize].first().copied()?;
        if now.saturating_sub(since) < age {
            return None;
        }
        self.order(id, reason)
    }

    /// Orders a connection to be closed. It is in no queue from then on, so that it is named once.
    fn order(&mut self, id: ConnectionId, reason: Reason) -> Option<CloseOrder> {
        self.dequeue(id);
        let entry = self.entries.get_mut(&id)?;
        entry.is_ordered = true;
        Some(CloseOrder { id, seq: entry.seq, phase: entry.phase, reason })
    }
}
