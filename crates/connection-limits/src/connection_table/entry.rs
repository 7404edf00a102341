//! What is known of one connection: [`Entry`].

use super::{Millis, Phase, Seq};

/// Queues of connections that may be closed. Idle connections are told apart by what was seen of
/// them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Queue {
    Silent,
    PartialFirstCommand,
    PartialCommand,
    ResponseUnread,
    Closing,
    /// Idle, and never brought a request: only commands like a greeting or a ping.
    NeverUsed,
    /// Idle after one request.
    UsedOnce,
    /// Idle after several requests.
    UsedAgain,
    /// Idle or silent, and kept to learn from.
    Sample,
}

/// How many variants [`Queue`] has.
pub(super) const QUEUES: usize = 9;

/// Kinds of connections with a life table of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReuseKind {
    /// It has sent nothing.
    Silent,
    /// Idle, and never brought a request.
    NeverUsed,
    /// Idle after one request.
    UsedOnce,
    /// Idle after several requests.
    UsedAgain,
}

/// How many variants [`ReuseKind`] has.
pub(super) const KINDS: usize = 4;

/// One connection.
pub(super) struct Entry {
    pub phase: Phase,
    /// The queue that it is in; none while a command is open, and once it was ordered to close.
    pub queue: Option<Queue>,
    /// When its phase began, as far as limits are concerned.
    pub since: Millis,
    arrived_at: Millis,
    pub seq: Seq,
    pub requests: u32,
    /// The interval of its life table that it is in.
    pub interval: usize,
    /// Whether it was ordered to close in this phase.
    pub is_ordered: bool,
}

impl Entry {
    /// A connection that has just arrived.
    pub(super) fn new(now: Millis) -> Entry {
        Entry {
            phase: Phase::Silent,
            queue: None,
            since: now,
            arrived_at: now,
            seq: 0,
            requests: 0,
            interval: 0,
            is_ordered: false,
        }
    }

    /// Enters a phase. It must not be in a queue.
    pub(super) fn enter(&mut self, now: Millis, phase: Phase) {
        self.seq = self.seq.wrapping_add(1);
        self.phase = phase;
        self.interval = 0;
        self.is_ordered = false;
        // Danger: a byte now and then would make a connection young for ever. The time for its
        // first command counts from its arrival on.
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

    /// The queue of its phase, if it may be closed in it at all. Connections of the sample have a
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
