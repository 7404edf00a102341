//! The descriptors that consumers and providers share, counted as they are taken. What each side may take is
//! decided by [`pinetrail_connection_limits::DescriptorBudget`].

use pinetrail_connection_limits::DescriptorBudget;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What the operators' door takes: the calls that may be open at once, its listener, and one that is being accepted.
pub const ADMIN_DESCRIPTORS: usize = MAX_ADMIN_CONNECTIONS + 2;
/// Calls at the door that may be open at once.
pub const MAX_ADMIN_CONNECTIONS: usize = 16;
/// What a fleet takes: its socket.
pub const FLEET_DESCRIPTORS: usize = 1;

/// Nobody can take this share from consumers, nor the other from providers.
const CONSUMERS_LEAST: f64 = 0.5;
const PROVIDERS_LEAST: f64 = 0.25;

/// The descriptors of one proxy, less those for its own use.
#[derive(Debug)]
pub struct Descriptors {
    started: Instant,
    split: Mutex<DescriptorBudget>,
    consumers: AtomicUsize,
    providers: AtomicUsize,
}

/// A provider's descriptor; given back when it is dropped.
#[derive(Debug)]
pub struct BackendDescriptor(Arc<Descriptors>);

impl Drop for BackendDescriptor {
    fn drop(&mut self) {
        self.0.providers.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Descriptors {
    /// So many descriptors.
    pub fn new(total: usize) -> Arc<Descriptors> {
        Arc::new(Descriptors {
            started: Instant::now(),
            split: Mutex::new(DescriptorBudget::new(total, CONSUMERS_LEAST, PROVIDERS_LEAST)),
            consumers: AtomicUsize::default(),
            providers: AtomicUsize::default(),
        })
    }

    /// Makes do with `least`, or with what is held if that is more and `spare` on top; how many that is.
    pub fn shrink(&self, least: usize, spare: usize) -> usize {
        let mut split = self.split();
        let held = self.consumers.load(Ordering::Acquire) + self.providers.load(Ordering::Acquire);
        let total = least.max(held + spare);
        split.resize(total);
        total
    }

    /// From now on so many.
    pub fn resize(&self, total: usize) {
        self.split().resize(total);
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// A descriptor for a connection to a provider, or none now; that it was wanted is remembered.
    pub fn try_backend_descriptor(self: &Arc<Self>) -> Option<BackendDescriptor> {
        let mut split = self.split();
        let open = self.providers.load(Ordering::Acquire);
        split.record_backend_need(self.now(), open + 1);
        (open < split.backend_limit(self.consumers.load(Ordering::Acquire))).then(|| {
            self.providers.fetch_add(1, Ordering::AcqRel);
            BackendDescriptor(Arc::clone(self))
        })
    }

    /// Consumers hold so many now; how many they may, and whether there is room for one more.
    pub fn set_client_connections(&self, open: usize) -> (usize, bool) {
        let split = self.split();
        self.consumers.store(open, Ordering::Release);
        let now = self.now();
        (split.client_limit(now), split.has_room(now, open, self.providers.load(Ordering::Acquire)))
    }

    fn split(&self) -> MutexGuard<'_, DescriptorBudget> {
        self.split.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
