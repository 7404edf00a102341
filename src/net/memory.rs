//! A bound on the memory that clients' commands and backends' responses may take together, drawn on
//! before a byte of either is stored. Read [`Memory`] first.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The share of the memory limit for what clients and backends send. The rest is the program's own
/// and its stacks': measured at up to 16 MB with 384 descriptors.
const SHARE: f64 = 0.22;

/// The bound, and how much of it is drawn.
#[derive(Debug)]
pub struct Memory {
    bound: AtomicUsize,
    drawn: AtomicUsize,
}

/// A part drawn from the bound, given back when dropped.
#[derive(Debug)]
pub struct Held {
    from: Arc<Memory>,
    bytes: usize,
}

impl Memory {
    /// The bound of a program that may use so many MB in all.
    pub fn of(limit_mb: usize) -> Arc<Memory> {
        Arc::new(Memory { bound: AtomicUsize::new(Memory::bound_of(limit_mb)), drawn: AtomicUsize::new(0) })
    }

    /// How many bytes of values a program may hold that may use so many MB in all.
    pub fn bound_of(limit_mb: usize) -> usize {
        (limit_mb as f64 * SHARE * f64::from(1 << 20)) as usize
    }

    /// Draws so many bytes, if there are as many left.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> Option<Held> {
        let bound = self.bound.load(Ordering::Acquire);
        let more = |drawn: usize| drawn.checked_add(bytes).filter(|drawn| *drawn <= bound);
        self.drawn.fetch_update(Ordering::AcqRel, Ordering::Acquire, more).ok()?;
        Some(Held { from: Arc::clone(self), bytes })
    }

    /// Sets the bound to `least`, or to what is drawn if that is more; returns it.
    pub fn shrink(&self, least: usize) -> usize {
        let bound = least.max(self.drawn.load(Ordering::Acquire));
        self.resize(bound);
        bound
    }

    /// Sets the bound, in bytes. What is drawn beyond it stays drawn until it is given back.
    pub fn resize(&self, bound: usize) {
        self.bound.store(bound, Ordering::Release);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.from.drawn.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
