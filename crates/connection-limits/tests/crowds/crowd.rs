//! Simulates many scripted clients of one server in virtual time. Read [`Crowd`] first.

use pinetrail_connection_limits::{
    CloseOrderReason, ConnectionId, ConnectionTable, Limits, Phase, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The behavior of a client on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Behavior {
    /// Connects and sends nothing.
    Silent,
    /// Sends one byte each [`SLOW_BYTE_INTERVAL`].
    SlowSender,
    /// Sends a command that is not a request, and then never closes the connection.
    GreetingOnly,
    /// Sends one request, and closes the connection once it has received the response.
    OneRequestAndCloses,
    /// Sends one request, and then never closes the connection.
    OneRequest,
    /// Sends its next request this long after each response, on the same connection.
    RequestEvery(Duration),
}

/// A server with its connection table, and its clients. A client is rejected if there is no
/// capacity for its connection.
pub(crate) struct Crowd {
    pub(crate) table: ConnectionTable,
    pub(crate) now_ms: u64,
    pub(crate) last_id: ConnectionId,
    pub(crate) events: BTreeSet<Event>,
    pub(crate) behaviors: BTreeMap<ConnectionId, Behavior>,
    /// The maximum number of open connections of honest clients; a further honest client is
    /// rejected.
    pub(crate) max_honest: usize,
    /// The open connections of honest clients, which are those that send requests.
    pub(crate) honest: BTreeSet<ConnectionId>,
    /// The number of honest clients that tried to connect since the counts were last reset.
    pub(crate) attempted: usize,
    /// The number of honest clients that were rejected since the counts were last reset.
    pub(crate) rejected: usize,
    /// The number of connections that the server closed although their client would have sent
    /// another request.
    pub(crate) closed_before_reuse: usize,
    pub(crate) closed: BTreeMap<CloseOrderReason, Vec<Behavior>>,
    pub(crate) longest_held: BTreeMap<Behavior, Duration>,
    pub(crate) arrived_at: BTreeMap<ConnectionId, Timestamp>,
}

/// The time from a request to its response.
pub(crate) const RESPONSE_TIME: Duration = Duration::from_millis(100);
/// The interval between two bytes of a [`Behavior::SlowSender`].
pub(crate) const SLOW_BYTE_INTERVAL: Duration = Duration::from_millis(500);
/// The time from the arrival of an honest client to its first request.
pub(crate) const FIRST_REQUEST_AFTER: Duration = Duration::from_millis(1);
/// The interval at which the server closes expired connections, in ms.
pub(crate) const EXPIRY_INTERVAL_MS: u64 = 10;
/// The number of connections that are evicted at a time when the capacity is used up.
pub(crate) const EVICTED_AT_ONCE: usize = 8;

pub(crate) const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An action of a client on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Action {
    SendByte,
    SendRequest,
    ReceiveResponse,
}

/// A scheduled action of a client. The order of the fields decides the order in which events
/// happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Event {
    pub(crate) at: Timestamp,
    pub(crate) id: ConnectionId,
    pub(crate) action: Action,
}

impl Crowd {
    pub(crate) fn new(capacity: usize, max_honest: usize) -> Crowd {
        Crowd {
            table: ConnectionTable::new(Limits::default(), capacity),
            now_ms: 0,
            last_id: 0,
            events: BTreeSet::new(),
            behaviors: BTreeMap::new(),
            max_honest,
            honest: BTreeSet::new(),
            attempted: 0,
            rejected: 0,
            closed_before_reuse: 0,
            closed: BTreeMap::new(),
            longest_held: BTreeMap::new(),
            arrived_at: BTreeMap::new(),
        }
    }

    /// Connects one client, or rejects it if there is no capacity.
    pub(crate) fn connect(&mut self, behavior: Behavior) {
        let honest = matches!(
            behavior,
            Behavior::OneRequest | Behavior::OneRequestAndCloses | Behavior::RequestEvery(_)
        );
        self.attempted += usize::from(honest);
        if self.table.is_full() {
            let orders = self.table.make_room(self.now(), EVICTED_AT_ONCE);
            for order in orders {
                self.close(order.id, order.reason);
            }
        }
        if self.table.is_full() || (honest && self.honest.len() >= self.max_honest) {
            self.rejected += usize::from(honest);
            return;
        }
        self.last_id += 1;
        let id = self.last_id;
        self.behaviors.insert(id, behavior);
        self.arrived_at.insert(id, self.now());
        self.table.insert(self.now(), id);
        match behavior {
            Behavior::Silent => {}
            Behavior::SlowSender => self.schedule(Duration::ZERO, id, Action::SendByte),
            Behavior::GreetingOnly => {
                self.table.set_phase(self.now(), id, Phase::CommandOpen);
                self.table.set_phase(self.now(), id, Phase::Idle);
            }
            Behavior::OneRequest | Behavior::OneRequestAndCloses | Behavior::RequestEvery(_) => {
                self.honest.insert(id);
                self.schedule(FIRST_REQUEST_AFTER, id, Action::SendRequest);
            }
        }
    }

    pub(crate) fn close(&mut self, id: ConnectionId, reason: CloseOrderReason) {
        let behavior = self.behaviors.remove(&id).expect("a connection is closed only once");
        let held = self.now().saturating_duration_since(self.arrived_at[&id]);
        let longest = self.longest_held.entry(behavior).or_default();
        *longest = held.max(*longest);
        self.closed.entry(reason).or_default().push(behavior);
        self.honest.remove(&id);
        self.table.remove(self.now(), id);
        if let Behavior::RequestEvery(_) = behavior {
            self.closed_before_reuse += 1;
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    /// Simulates a duration, in which clients connect at the given rates, in connections per
    /// second.
    pub(crate) fn run(&mut self, duration: Duration, rates: &[(Behavior, u64)]) {
        let until = self.now() + duration;
        while self.now() < until {
            self.now_ms += 1;
            for (behavior, rate) in rates {
                if self.now_ms * rate / 1000 > (self.now_ms - 1) * rate / 1000 {
                    self.connect(*behavior);
                }
            }
            while let Some(event) = self.events.first().copied().filter(|event| event.at <= self.now()) {
                self.events.remove(&event);
                if let Some(behavior) = self.behaviors.get(&event.id).copied() {
                    self.act(event.id, event.action, behavior);
                }
            }
            if self.now_ms.is_multiple_of(EXPIRY_INTERVAL_MS) {
                let orders = self.table.expired(self.now());
                for order in orders {
                    self.close(order.id, order.reason);
                }
            }
        }
    }

    /// Performs a scheduled action of a client.
    pub(crate) fn act(&mut self, id: ConnectionId, action: Action, behavior: Behavior) {
        match (action, behavior) {
            (Action::SendByte, _) => {
                self.table.set_phase(self.now(), id, Phase::PartialFirstCommand);
                self.schedule(SLOW_BYTE_INTERVAL, id, Action::SendByte);
            }
            (Action::SendRequest, _) => {
                self.table.record_request(id);
                self.table.set_phase(self.now(), id, Phase::CommandOpen);
                self.schedule(RESPONSE_TIME, id, Action::ReceiveResponse);
            }
            (Action::ReceiveResponse, Behavior::RequestEvery(interval)) => {
                self.table.set_phase(self.now(), id, Phase::Idle);
                self.schedule(interval, id, Action::SendRequest);
            }
            (Action::ReceiveResponse, Behavior::OneRequestAndCloses) => {
                self.table.set_phase(self.now(), id, Phase::Idle);
                self.behaviors.remove(&id);
                self.honest.remove(&id);
                self.table.remove(self.now(), id);
            }
            (Action::ReceiveResponse, _) => {
                self.table.set_phase(self.now(), id, Phase::Idle);
            }
        }
    }

    pub(crate) fn schedule(&mut self, after: Duration, id: ConnectionId, action: Action) {
        self.events.insert(Event { at: self.now() + after, id, action });
    }

    /// Returns how many of 1000 honest clients were rejected since the last call, and resets the
    /// counts.
    pub(crate) fn rejected_per_thousand(&mut self) -> usize {
        let share = self.rejected * 1000 / self.attempted.max(1);
        self.attempted = 0;
        self.rejected = 0;
        share
    }
}
