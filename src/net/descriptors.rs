//! [`Descriptors`]: the file descriptors that connections to clients and backends share, counted as
//! they are taken. What each side may take is decided by
//! [`pinetrail_connection_limits::DescriptorBudget`].

use pinetrail_connection_limits::DescriptorBudget;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What the admin server takes: its connections, its listener, and one that is being accepted.
pub const ADMIN_DESCRIPTORS: usize = MAX_ADMIN_CONNECTIONS + 2;
/// Connections to the admin server that may be open at once.
pub const MAX_ADMIN_CONNECTIONS: usize = 16;
/// What a fleet takes: its socket.
pub const FLEET_DESCRIPTORS: usize = 1;

/// The share of all descriptors that backends cannot take from clients.
const CLIENT_MINIMUM_SHARE: f64 = 0.5;
/// The share of all descriptors that clients cannot take from backends.
const BACKEND_MINIMUM_SHARE: f64 = 0.25;

/// The descriptors of one proxy, less those for its own use.
#[derive(Debug)]
pub struct Descriptors {
    started: Instant,
    /// Guards the division between clients and backends, and each decision by it together with the
    /// counts below. Nothing waits under it.
    budget: Mutex<DescriptorBudget>,
    /// Connections to clients, as the client service said last.
    clients: AtomicUsize,
    /// Connections to backends; lowered without the lock when one closes.
    backends: AtomicUsize,
}

/// The descriptor of a connection to a backend; given back when it is dropped.
#[derive(Debug)]
pub struct BackendDescriptor(Arc<Descriptors>);

impl Drop for BackendDescriptor {
    fn drop(&mut self) {
        self.0.backends.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What the client service may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientAllowance {
    /// How many connections.
    pub limit: usize,
    /// Whether there is a descriptor for one more now.
    pub has_room: bool,
}

impl Descriptors {
    /// So many descriptors.
    pub fn new(total: usize) -> Arc<Descriptors> {
        let budget = DescriptorBudget::new(total, CLIENT_MINIMUM_SHARE, BACKEND_MINIMUM_SHARE);
        Arc::new(Descriptors {
            started: Instant::now(),
            budget: Mutex::new(budget),
            clients: AtomicUsize::default(),
            backends: AtomicUsize::default(),
        })
    }

    /// Lowers the total to `least`, or to what is in use and `spare` more if that is higher.
    /// Returns the new total.
    pub fn shrink(&self, least: usize, spare: usize) -> usize {
        let mut budget = self.budget();
        let in_use = self.clients.load(Ordering::Acquire) + self.backends.load(Ordering::Acquire);
        let total = least.max(in_use + spare);
        budget.resize(total);
        total
    }

    /// Sets the total.
    pub fn resize(&self, total: usize) {
        self.budget().resize(total);
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// A descriptor for a connection to a backend, or none now; that it was wanted is remembered.
    pub fn try_backend_descriptor(self: &Arc<Self>) -> Option<BackendDescriptor> {
        let mut budget = self.budget();
        let open = self.backends.load(Ordering::Acquire);
        budget.record_backend_need(self.now(), open + 1);
        if open >= budget.backend_limit(self.clients.load(Ordering::Acquire)) {
            return None;
        }
        self.backends.fetch_add(1, Ordering::AcqRel);
        Some(BackendDescriptor(Arc::clone(self)))
    }

    /// Takes in how many connections to clients are open, and returns what is allowed.
    pub fn set_client_connections(&self, open: usize) -> ClientAllowance {
        let budget = self.budget();
        self.clients.store(open, Ordering::Release);
        let now = self.now();
        let backends = self.backends.load(Ordering::Acquire);
        ClientAllowance { limit: budget.client_limit(now), has_room: budget.has_room(now, open, backends) }
    }

    fn budget(&self) -> MutexGuard<'_, DescriptorBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
