//! A bound on the memory that consumers' commands and providers' answers may take together, drawn on
//! before a byte of either is stored.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The share of the memory limit for what consumers and providers send. The rest is the program's own and
/// its stacks': measured at up to 16 MB with 384 descriptors.
const SHARE: f64 = 0.22;

/// The bound, and how much of it is drawn.
#[derive(Debug)]
pub struct Memory {
    bound: AtomicUsize,
    drawn: AtomicUsize,
}

/// A part drawn from the bound, given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    from: Arc<Memory>,
    bytes: usize,
}

impl Memory {
    /// The bound of a program that may use so many MB in all.
    pub fn with_limit_mb(limit_mb: usize) -> Arc<Memory> {
        Arc::new(Memory {
            bound: AtomicUsize::new(Memory::value_bytes(limit_mb)),
            drawn: AtomicUsize::new(0),
        })
    }

    /// How many bytes of values a program may hold that may use so many MB in all.
    pub fn value_bytes(limit_mb: usize) -> usize {
        (limit_mb as f64 * SHARE * f64::from(1 << 20)) as usize
    }

    /// Draws so many bytes, if there are as many left.
    pub fn try_reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let bound = self.bound.load(Ordering::Acquire);
        let more = |drawn: usize| drawn.checked_add(bytes).filter(|drawn| *drawn <= bound);
        self.drawn.fetch_update(Ordering::AcqRel, Ordering::Acquire, more).ok()?;
        Some(Reservation { from: Arc::clone(self), bytes })
    }

    /// Makes do with `least`, or with what is drawn if that is more; how many bytes that is.
    pub fn shrink(&self, least: usize) -> usize {
        let bound = least.max(self.drawn.load(Ordering::Acquire));
        self.resize(bound);
        bound
    }

    /// From now on so many bytes.
    pub fn resize(&self, bound: usize) {
        self.bound.store(bound, Ordering::Release);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.from.drawn.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
