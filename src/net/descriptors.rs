//! Counts the file descriptors that client and backend connections share. How many each side may
//! use is decided by [`pinetrail_connection_limits::DescriptorBudget`]. Read [`Descriptors`] first.

use pinetrail_connection_limits::{DescriptorBudget, Timestamp};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The fraction of all descriptors that is reserved for client connections.
const CLIENT_RESERVE_FRACTION: f64 = 0.5;
/// The fraction of all descriptors that is reserved for backend connections.
const BACKEND_RESERVE_FRACTION: f64 = 0.25;

/// The descriptors for the connections of one proxy, without those for the proxy's own use.
#[derive(Debug)]
pub struct Descriptors {
    started: Instant,
    /// The budget. The lock makes the check and the change of the counts atomic.
    ///
    /// Invariant: no coroutine waits and no other lock is taken while this one is held.
    budget: Mutex<DescriptorBudget>,
    clients: AtomicUsize,
    backends: AtomicUsize,
}

/// The current capacity for client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientCapacity {
    /// The number of client connections that may be open now.
    pub limit: usize,
    /// Whether one more client connection can be accepted.
    pub can_accept: bool,
}

/// A descriptor that is reserved for a backend connection until this value is dropped.
#[derive(Debug)]
pub struct BackendDescriptor(Arc<Descriptors>);

impl Drop for BackendDescriptor {
    fn drop(&mut self) {
        self.0.backends.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Descriptors {
    /// Creates a count of `total` descriptors, none of them in use.
    pub fn new(total: usize) -> Arc<Descriptors> {
        let budget = DescriptorBudget::new(total, CLIENT_RESERVE_FRACTION, BACKEND_RESERVE_FRACTION);
        Arc::new(Descriptors {
            started: Instant::now(),
            budget: Mutex::new(budget),
            clients: AtomicUsize::default(),
            backends: AtomicUsize::default(),
        })
    }

    /// Lowers the total to the larger of `min_total` and the descriptors in use plus `spare`, and
    /// returns the new total.
    pub fn shrink(&self, min_total: usize, spare: usize) -> usize {
        let mut budget = self.budget();
        let in_use = self.clients.load(Ordering::Acquire) + self.backends.load(Ordering::Acquire);
        let total = min_total.max(in_use + spare);
        budget.resize(total);
        total
    }

    /// Changes the total number of descriptors.
    pub fn resize(&self, total: usize) {
        self.budget().resize(total);
    }

    /// Returns the time in milliseconds since the start, on the clock that the descriptors and the
    /// client connections share.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.started.elapsed().as_millis() as u64)
    }

    /// Decides whether a backend connection may be opened, and reserves a descriptor if so. The
    /// demand is recorded in either case.
    ///
    /// Inputs: the descriptors in use by backends and clients, and the budget.
    /// Reason: clients and backends share the descriptors of the process, and neither may use up
    /// the other's reserve.
    /// Source: docs/connection-limits.md.
    pub fn reserve_for_backend(self: &Arc<Self>) -> Option<BackendDescriptor> {
        let mut budget = self.budget();
        let in_use = self.backends.load(Ordering::Acquire);
        budget.record_backend_need(self.now(), in_use + 1);
        if in_use >= budget.backend_limit(self.clients.load(Ordering::Acquire)) {
            return None;
        }
        self.backends.fetch_add(1, Ordering::AcqRel);
        Some(BackendDescriptor(Arc::clone(self)))
    }

    /// Records the number of open client connections; returns their capacity.
    pub fn update_clients(&self, open: usize) -> ClientCapacity {
        let budget = self.budget();
        self.clients.store(open, Ordering::Release);
        let now = self.now();
        ClientCapacity {
            limit: budget.client_limit(now),
            can_accept: budget.has_room(now, open, self.backends.load(Ordering::Acquire)),
        }
    }

    fn budget(&self) -> MutexGuard<'_, DescriptorBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
