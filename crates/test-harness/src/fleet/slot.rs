//! Limits how many fleets run at once in a test program: the processes of more fleets would compete
//! for the processor, so that members appear slow to each other.

use std::sync::{Condvar, Mutex, PoisonError};

/// Limit of fleets that run at once in one test program.
const MAX_RUNNING: usize = 3;

/// The number of fleets that run, and the condition that notifies waiting tests when one ends.
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A permit to run one fleet. Dropping the permit releases it.
pub(super) struct FleetSlot;

impl FleetSlot {
    /// Waits until fewer than [`MAX_RUNNING`] fleets run.
    pub(super) fn acquire() -> FleetSlot {
        let (running, ended) = &RUNNING;
        let running = running.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running = ended
            .wait_while(running, |running| *running >= MAX_RUNNING)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        FleetSlot
    }
}

impl Drop for FleetSlot {
    fn drop(&mut self) {
        let (running, ended) = &RUNNING;
        *running.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ended.notify_all();
    }
}
