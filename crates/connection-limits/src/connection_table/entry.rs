//! Defines [`Entry`], the record of one connection.

use super::{Phase, PhaseNumber, Timestamp};

/// The queues of connections that may be closed. Idle connections are divided by the number of
/// their requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Queue {
    Silent,
    PartialFirstCommand,
    PartialCommand,
    ResponseUnread,
    Closing,
    /// Idle connections that never sent a request, only commands such as a greeting or a ping.
    NeverUsed,
    /// Connections that are idle after one request.
    UsedOnce,
    /// Connections that are idle after several requests.
    UsedAgain,
    /// A sample of idle and silent connections, whose limits the life tables do not lower, so that
    /// the life tables can learn from them.
    Sample,
}

/// The number of variants of [`Queue`].
pub(super) const QUEUE_COUNT: usize = 9;

/// The kinds of connections that each have a life table of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReuseKind {
    /// Connections that have sent nothing.
    Silent,
    /// Idle connections that never sent a request.
    NeverUsed,
    /// Connections that are idle after one request.
    UsedOnce,
    /// Connections that are idle after several requests.
    UsedAgain,
}

/// The number of variants of [`ReuseKind`].
pub(super) const REUSE_KIND_COUNT: usize = 4;

/// The record of one connection.
pub(super) struct Entry {
    pub phase: Phase,
    /// The queue that contains the connection; `None` while a command is executed, and after an
    /// order to close.
    pub queue: Option<Queue>,
    /// The time from which the limits of the present phase count.
    pub since: Timestamp,
    arrived_at: Timestamp,
    pub phase_number: PhaseNumber,
    pub requests: u32,
    /// The interval of the life table that the connection is in.
    pub interval: usize,
    /// Whether the connection was ordered to close in its present phase.
    pub is_ordered_to_close: bool,
}

impl Entry {
    /// Creates the entry of a connection that has just arrived.
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
    /// byte restarted that time, a client could hold a connection indefinitely by sending one byte
    /// at a time.
    pub(super) fn enter(&mut self, now: Timestamp, phase: Phase) {
        self.phase_number = self.phase_number.wrapping_add(1);
        self.phase = phase;
        self.interval = 0;
        self.is_ordered_to_close = false;
        self.since = if phase == Phase::PartialFirstCommand { self.arrived_at } else { now };
    }

    /// Enters the present phase again, whose limits count from `since`. The entry must not be in a
    /// queue.
    pub(super) fn restart(&mut self, since: Timestamp) {
        self.enter(since, self.phase);
        self.since = since;
    }

    /// Returns the kind of the connection, if it has a life table in its present phase.
    pub(super) fn reuse_kind(&self) -> Option<ReuseKind> {
        match (self.phase, self.requests) {
            (Phase::Silent, _) => Some(ReuseKind::Silent),
            (Phase::Idle, 0) => Some(ReuseKind::NeverUsed),
            (Phase::Idle, 1) => Some(ReuseKind::UsedOnce),
            (Phase::Idle, _) => Some(ReuseKind::UsedAgain),
            _ => None,
        }
    }

    /// Returns the queue of the connection's phase, if the connection may be closed in that phase.
    /// Connections of the sample are in [`Queue::Sample`] instead.
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
