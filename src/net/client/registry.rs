//! Keeps the open client connections, the handles that wake them, and their close orders. Read
//! [`ConnectionRegistry`] first, then [`ConnectionHandle`].

use may::io::WaitIoWaker;
use pinetrail_connection_limits::{
    CloseOrder, CloseOrderReason, ConnectionId, ConnectionTable, Limits, Phase, PhaseNumber, Timestamp,
};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The number of connections that are ordered to close at a time while the capacity is exhausted.
const EVICTION_BATCH_SIZE: usize = 8;

/// All client connections. Times are by the clock of [`crate::net::descriptors`].
pub(super) struct ConnectionRegistry {
    table: ConnectionTable,
    handles: BTreeMap<ConnectionId, Arc<ConnectionHandle>>,
}

/// The handle by which other coroutines wake a connection or order it to close.
pub(super) struct ConnectionHandle {
    waker: WaitIoWaker,
    /// The time at which the connection arrived.
    pub arrived: Timestamp,
    /// The last close order as [`encode_order`] encodes it; 0 for none.
    order: AtomicU64,
}

impl ConnectionHandle {
    pub(super) fn new(waker: WaitIoWaker, arrived: Timestamp) -> ConnectionHandle {
        ConnectionHandle { waker, arrived, order: AtomicU64::new(0) }
    }

    /// Wakes the connection's coroutine if it waits for its socket.
    pub(super) fn wake(&self) {
        self.waker.wakeup();
    }

    /// Orders the connection to close, unless it enters another phase first.
    pub(super) fn close(&self, order: CloseOrder) {
        self.order.store(encode_order(order.phase_number, order.reason), Ordering::Release);
        self.wake();
    }

    /// Returns the reason of the close order, if there is one for this phase.
    pub(super) fn close_reason(&self, phase_number: PhaseNumber) -> Option<CloseOrderReason> {
        let order = self.order.load(Ordering::Acquire);
        let reasons = [
            CloseOrderReason::Overdue,
            CloseOrderReason::UnlikelyToReturn,
            CloseOrderReason::OverBudget,
            CloseOrderReason::Evicted,
        ];
        reasons.into_iter().find(|reason| order == encode_order(phase_number, *reason))
    }
}

/// Encodes a close order as one number that can be stored atomically: the count of the phase, and
/// the reason in the low byte, counted from 1.
fn encode_order(phase_number: PhaseNumber, reason: CloseOrderReason) -> u64 {
    const REASON_BITS: u32 = 8;
    u64::from(phase_number) << REASON_BITS | (reason as u64 + 1)
}

impl ConnectionRegistry {
    pub(super) fn new(capacity: usize) -> ConnectionRegistry {
        ConnectionRegistry {
            table: ConnectionTable::new(Limits::default(), capacity),
            handles: BTreeMap::new(),
        }
    }

    pub(super) fn set_capacity(&mut self, capacity: usize) {
        self.table.set_capacity(capacity);
    }

    /// Stops closing connections to make room for others.
    pub(super) fn stop_evicting(&mut self) {
        self.table.stop_accepting();
    }

    /// Returns the number of open connections.
    pub(super) fn open_connections(&self) -> usize {
        self.table.open_connections()
    }

    /// Returns the number of connections with a response that is not complete, or not written.
    pub(super) fn responding_connections(&self) -> usize {
        self.table.responding_connections()
    }

    pub(super) fn insert(&mut self, now: Timestamp, id: ConnectionId, handle: Arc<ConnectionHandle>) {
        self.table.insert(now, id);
        self.handles.insert(id, handle);
    }

    pub(super) fn remove(&mut self, now: Timestamp, id: ConnectionId) {
        self.table.remove(now, id);
        self.handles.remove(&id);
    }

    /// Records that a connection enters a phase; returns the count of its phases.
    pub(super) fn set_phase(&mut self, now: Timestamp, id: ConnectionId, phase: Phase) -> PhaseNumber {
        self.table.set_phase(now, id, phase)
    }

    /// Restarts the time of a connection's phase at the client's last progress; see
    /// [`ConnectionTable::restart_phase`].
    pub(super) fn restart_phase(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        progressed_at: Timestamp,
    ) -> Option<PhaseNumber> {
        self.table.restart_phase(now, id, progressed_at)
    }

    /// Records a request of a connection.
    pub(super) fn record_request(&mut self, id: ConnectionId) {
        self.table.record_request(id);
    }

    /// Returns close orders for connections that have been in their phase for too long.
    pub(super) fn expired(&mut self, now: Timestamp) -> Vec<CloseOrder> {
        self.table.expired(now)
    }

    /// Returns close orders that make room for other connections.
    pub(super) fn make_room(&mut self, now: Timestamp) -> Vec<CloseOrder> {
        self.table.make_room(now, EVICTION_BATCH_SIZE)
    }

    /// Returns the handle of a connection while it is open.
    pub(super) fn handle(&self, id: ConnectionId) -> Option<Arc<ConnectionHandle>> {
        self.handles.get(&id).cloned()
    }

    /// Wakes every connection.
    pub(super) fn wake_all(&self) {
        for handle in self.handles.values() {
            handle.wake();
        }
    }

    /// Wakes the connections that match, by their id and time of arrival.
    pub(super) fn wake_matching(&self, matches: impl Fn(ConnectionId, Timestamp) -> bool) {
        for (id, handle) in &self.handles {
            if matches(*id, handle.arrived) {
                handle.wake();
            }
        }
    }
}
