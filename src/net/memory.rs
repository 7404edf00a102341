//! A bound on the memory that clients' commands and backends' responses may take together, reserved
//! before a byte of either is stored. Read [`MemoryBudget`] first.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The share of the memory limit for what clients and backends send. The rest is for the program
/// itself and its stacks: measured at up to 16 MB with 384 descriptors.
const SHARE: f64 = 0.22;
const BYTES_PER_MB: u32 = 1 << 20;

/// The bound, and how much of it is reserved.
#[derive(Debug)]
pub struct MemoryBudget {
    /// In bytes.
    bound: AtomicUsize,
    /// In bytes. Above the bound only after that was lowered.
    reserved: AtomicUsize,
}

/// A part of the budget, given back when it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// The budget of a program that may use so many MB in all.
    pub fn new(limit_mb: usize) -> Arc<MemoryBudget> {
        let bound = AtomicUsize::new(MemoryBudget::bytes_within(limit_mb));
        Arc::new(MemoryBudget { bound, reserved: AtomicUsize::new(0) })
    }

    /// How many bytes of values a program may hold that may use so many MB in all.
    pub fn bytes_within(limit_mb: usize) -> usize {
        (limit_mb as f64 * SHARE * f64::from(BYTES_PER_MB)) as usize
    }

    /// Reserves so many bytes, if as many are left.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<MemoryReservation> {
        let bound = self.bound.load(Ordering::Acquire);
        let add = |reserved: usize| reserved.checked_add(bytes).filter(|sum| *sum <= bound);
        self.reserved.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(MemoryReservation { budget: Arc::clone(self), bytes })
    }

    /// Shrinks the bound to `least`, or to what is reserved if that is more; returns the bound in
    /// bytes.
    pub fn shrink(&self, least: usize) -> usize {
        let bound = least.max(self.reserved.load(Ordering::Acquire));
        self.resize(bound);
        bound
    }

    /// Changes the bound, in bytes.
    pub fn resize(&self, bound: usize) {
        self.bound.store(bound, Ordering::Release);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
