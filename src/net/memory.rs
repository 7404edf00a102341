//! The memory budget for commands of clients and responses of backends. Memory is reserved from it
//! before a byte of either is stored. Read [`MemoryBudget`] first.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The fraction of the process's memory limit that commands and responses may use. The rest is for
/// the program and its stacks.
const VALUE_FRACTION: f64 = 0.22;
const BYTES_PER_MB: u32 = 1 << 20;
/// The bytes of a streamed value that are held for its client, at the backend's side and at the
/// client's side each.
const WINDOW_BYTES: usize = 32 * 1024;
/// The same while memory is short.
const SHORT_WINDOW_BYTES: usize = 16 * 1024;
/// The memory of a streamed value while memory is short: both sides, which may each exceed the window.
pub const SHORT_STREAM_BYTES: usize = 3 * SHORT_WINDOW_BYTES;
/// The divisor of the limit that gives the reserved memory from which memory is short.
const SHORT_DIVISOR: usize = 2;

/// The memory for commands and responses, and how much of it is reserved.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: AtomicUsize,
    /// The reserved memory. It exceeds the limit only after the limit was lowered.
    reserved_bytes: AtomicUsize,
}

/// Reserved memory of a [`MemoryBudget`], released when this value is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates the budget of a process with a memory limit in MB.
    pub fn new(limit_mb: usize) -> Arc<MemoryBudget> {
        let limit_bytes = AtomicUsize::new(MemoryBudget::bytes_within(limit_mb));
        Arc::new(MemoryBudget { limit_bytes, reserved_bytes: AtomicUsize::new(0) })
    }

    /// Returns the bytes for commands and responses of a process with a memory limit in MB.
    pub fn bytes_within(limit_mb: usize) -> usize {
        (limit_mb as f64 * VALUE_FRACTION * f64::from(BYTES_PER_MB)) as usize
    }

    /// Decides whether a command or response may be stored, and reserves memory for it. Returns
    /// `None` if not enough memory is free.
    ///
    /// Inputs: the size of the command or response, the limit and the reserved memory, in bytes.
    /// Reason: the process must not exceed its memory limit, whatever clients and backends send.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<MemoryReservation> {
        let limit = self.limit_bytes.load(Ordering::Acquire);
        let add = |reserved: usize| reserved.checked_add(bytes).filter(|sum| *sum <= limit);
        self.reserved_bytes.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(MemoryReservation { budget: Arc::clone(self), bytes })
    }

    /// Decides how many bytes of a streamed value are held for its client.
    ///
    /// Inputs: the limit and the reserved memory, in bytes.
    /// Reason: a large window makes long values faster; with many slow clients it takes memory and
    /// makes none of them faster.
    pub fn stream_window_bytes(&self) -> usize {
        let limit = self.limit_bytes.load(Ordering::Acquire);
        let is_short = self.reserved_bytes.load(Ordering::Acquire) >= limit / SHORT_DIVISOR;
        if is_short {
            SHORT_WINDOW_BYTES
        } else {
            WINDOW_BYTES
        }
    }

    /// Returns whether so many bytes could be reserved if no others were.
    pub fn can_hold(&self, bytes: usize) -> bool {
        bytes <= self.limit_bytes.load(Ordering::Acquire)
    }

    /// Lowers the limit to the larger of `min_bytes` and the reserved memory, and returns the new
    /// limit in bytes.
    pub fn shrink(&self, min_bytes: usize) -> usize {
        let limit = min_bytes.max(self.reserved_bytes.load(Ordering::Acquire));
        self.resize(limit);
        limit
    }

    /// Changes the limit, in bytes.
    pub fn resize(&self, limit_bytes: usize) {
        self.limit_bytes.store(limit_bytes, Ordering::Release);
    }
}

impl MemoryReservation {
    /// Reserves further bytes; returns whether enough memory was free.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some(mut more) = self.budget.reserve(bytes) else { return false };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }

    /// Releases what is reserved beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        self.budget.reserved_bytes.fetch_sub(released, Ordering::AcqRel);
    }

    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.reserved_bytes.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests;
