//! A bound on the memory that consumers' commands and providers' answers may take together, drawn on
//! before a byte of either is stored.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The share of the memory limit for what consumers and providers send. The rest is the program's own and
/// its stacks': measured at up to 16 MB with 384 descriptors.
const SHARE: f64 = 0.22;

/// What is left of the bound.
#[derive(Debug)]
pub struct Memory(AtomicUsize);

/// A part drawn from the bound, given back when dropped.
#[derive(Debug)]
pub struct Held {
    from: Arc<Memory>,
    bytes: usize,
}

impl Memory {
    /// The bound of a program that may use so many MB in all.
    pub fn of(limit_mb: usize) -> Arc<Memory> {
        Arc::new(Memory(AtomicUsize::new((limit_mb as f64 * SHARE * f64::from(1 << 20)) as usize)))
    }

    /// Draws so many bytes, if there are as many left.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> Option<Held> {
        let less = |left: usize| left.checked_sub(bytes);
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, less).ok()?;
        Some(Held { from: Arc::clone(self), bytes })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.from.0.fetch_add(self.bytes, Ordering::AcqRel);
    }
}
