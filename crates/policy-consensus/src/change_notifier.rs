//! Wakes tasks after a change of a process's state. See [`ChangeNotifier`].

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// A counter of state changes that tasks can wait on. Tasks wake in the order in which they began
/// to wait, so that a seed of the simulation replays its run.
#[derive(Debug, Default)]
pub(crate) struct ChangeNotifier {
    count: AtomicU64,
    notify: Notify,
}

impl ChangeNotifier {
    /// Counts a change and wakes the waiting tasks.
    pub(crate) fn notify(&self) {
        self.count.fetch_add(1, Ordering::AcqRel);
        self.notify.notify_waiters();
    }

    /// Returns the number of changes so far.
    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::Acquire)
    }

    /// Waits until the number of changes differs from `count`.
    pub(crate) async fn changed_since(&self, count: u64) {
        loop {
            let notified = self.notify.notified();
            tokio::pin!(notified);
            // Registers the task as a waiter before the comparison: otherwise a change between the
            // comparison and the wait would not wake it.
            notified.as_mut().enable();
            if self.count() != count {
                return;
            }
            notified.await;
        }
    }
}
