//! [`Memory`]: a bound on the memory that clients' commands and backends' responses may take
//! together. It is reserved before a byte of either is stored.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The share of the memory limit for what clients and backends send. The rest is the program's own
/// and its stacks': measured at up to 16 MB with 384 descriptors.
const VALUE_SHARE: f64 = 0.22;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// The bound, and how much of it is reserved; both in bytes.
#[derive(Debug)]
pub struct Memory {
    bound: AtomicUsize,
    /// May be above the bound for a while, after that was lowered.
    reserved: AtomicUsize,
}

/// A part of the bound, given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Memory {
    /// The bound of a program that may use `limit_mb` MB in all.
    pub fn with_limit_mb(limit_mb: usize) -> Arc<Memory> {
        Arc::new(Memory {
            bound: AtomicUsize::new(Memory::value_bytes(limit_mb)),
            reserved: AtomicUsize::new(0),
        })
    }

    /// How many bytes of values a program may hold that may use `limit_mb` MB in all.
    pub fn value_bytes(limit_mb: usize) -> usize {
        (limit_mb as f64 * VALUE_SHARE * BYTES_PER_MB) as usize
    }

    /// Reserves so many bytes, if as many are left.
    pub fn try_reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let bound = self.bound.load(Ordering::Acquire);
        let within_bound = |reserved: usize| {
            let total = reserved.checked_add(bytes)?;
            (total <= bound).then_some(total)
        };
        self.reserved.fetch_update(Ordering::AcqRel, Ordering::Acquire, within_bound).ok()?;
        Some(Reservation { memory: Arc::clone(self), bytes })
    }

    /// Lowers the bound to `least` bytes, or to what is reserved if that is more. Returns the new
    /// bound.
    pub fn shrink(&self, least: usize) -> usize {
        let bound = least.max(self.reserved.load(Ordering::Acquire));
        self.resize(bound);
        bound
    }

    /// Sets the bound in bytes.
    pub fn resize(&self, bound: usize) {
        self.bound.store(bound, Ordering::Release);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.reserved.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
