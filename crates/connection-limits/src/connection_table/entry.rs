//! The record of one connection: [`Entry`].

use super::{Phase, PhaseNumber, Timestamp};

/// Queues of connections that may be closed. Idle connections are distinguished by the number of
/// their requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Queue {
    Silent,
    PartialFirstCommand,
    PartialCommand,
    ResponseUnread,
    Closing,
    /// Idle, and never sent a request: only commands like a greeting or a ping.
    NeverUsed,
    /// Idle after one request.
    UsedOnce,
    /// Idle after several requests.
    UsedAgain,
    /// Idle or silent, with the generous limit, so that the life tables can learn from it.
    Sample,
}

/// How many variants [`Queue`] has.
pub(super) const QUEUE_COUNT: usize = 9;

/// Kinds of connections with a life table of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReuseKind {
    /// It has sent nothing.
    Silent,
    /// Idle, and never sent a request.
    NeverUsed,
    /// Idle after one request.
    UsedOnce,
    /// Idle after several requests.
    UsedAgain,
}

/// How many variants [`ReuseKind`] has.
pub(super) const REUSE_KIND_COUNT: usize = 4;

/// One connection.
pub(super) struct Entry {
    pub phase: Phase,
    /// The queue that it is in; none while a command is executed, and after an order to close.
    pub queue: Option<Queue>,
    /// The time from which the limits of its phase count.
    pub since: Timestamp,
    arrived_at: Timestamp,
    pub phase_number: PhaseNumber,
    pub requests: u32,
    /// The interval of its life table that it is in.
    pub interval: usize,
    /// Whether it was ordered to close in this phase.
    pub is_ordered_to_close: bool,
}

impl Entry {
    /// A connection that has just arrived.
    pub(super) fn new(now: Timestamp) -> Entry {
        Entry {
            phase: Phase::Silent,
            queue: None,
            since: now,
            arrived_at: now,
            phase_number: 0,
            requests: 0,
            interval: 0,
            is_ordered_to_close: false,
        }
    }

    /// Enters a phase. The entry must not be in a queue.
    ///
    /// Invariant: the time for the first command counts from the arrival of the connection. If each
    /// byte restarted it, a client could hold a connection for ever with a byte now and then.
    pub(super) fn enter(&mut self, now: Timestamp, phase: Phase) {
        self.phase_number = self.phase_number.wrapping_add(1);
        self.phase = phase;
        self.interval = 0;
        self.is_ordered_to_close = false;
        self.since = if phase == Phase::PartialFirstCommand { self.arrived_at } else { now };
    }

    /// Which life table it belongs to, if any.
    pub(super) fn reuse_kind(&self) -> Option<ReuseKind> {
        match (self.phase, self.requests) {
            (Phase::Silent, _) => Some(ReuseKind::Silent),
            (Phase::Idle, 0) => Some(ReuseKind::NeverUsed),
            (Phase::Idle, 1) => Some(ReuseKind::UsedOnce),
            (Phase::Idle, _) => Some(ReuseKind::UsedAgain),
            _ => None,
        }
    }

    /// The queue of its phase, if it may be closed in that phase. Connections of the sample have a
    /// queue of their own instead.
    pub(super) fn queue_of_phase(&self) -> Option<Queue> {
        let queue = match self.phase {
            Phase::CommandOpen => return None,
            Phase::PartialFirstCommand => Queue::PartialFirstCommand,
            Phase::PartialCommand => Queue::PartialCommand,
            Phase::ResponseUnread => Queue::ResponseUnread,
            Phase::Closing => Queue::Closing,
            Phase::Silent => Queue::Silent,
            Phase::Idle => match self.requests {
                0 => Queue::NeverUsed,
                1 => Queue::UsedOnce,
                _ => Queue::UsedAgain,
            },
        };
        Some(queue)
    }
}
