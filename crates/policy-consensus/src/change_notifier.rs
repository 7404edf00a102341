//! Wakes tasks when what this process knows has changed. See [`ChangeNotifier`].

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Counts changes. Tasks wake in the order in which they began to wait, so that a seed replays a
/// run.
#[derive(Debug, Default)]
pub(crate) struct ChangeNotifier {
    count: AtomicU64,
    notify: Notify,
}

impl ChangeNotifier {
    /// Something has changed.
    pub(crate) fn notify(&self) {
        self.count.fetch_add(1, Ordering::AcqRel);
        self.notify.notify_waiters();
    }

    /// How many changes there have been.
    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::Acquire)
    }

    /// Waits until there have been more changes than this count.
    pub(crate) async fn changed_since(&self, count: u64) {
        loop {
            let notified = self.notify.notified();
            tokio::pin!(notified);
            // Danger: a change between the comparison and the wait would be waited for in vain.
            notified.as_mut().enable();
            if self.count() != count {
                return;
            }
            notified.await;
        }
    }
}
