//! News, for those who wait for some: a count that only grows. Who waits wakes in the order of waiting: a seed replays that.

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// The count.
#[derive(Debug, Default)]
pub(crate) struct ChangeNotifier {
    count: AtomicU64,
    more: Notify,
}

impl ChangeNotifier {
    /// There is some.
    pub(crate) fn tell(&self) {
        self.count.fetch_add(1, Ordering::AcqRel);
        self.more.notify_waiters();
    }

    /// The count now.
    pub(crate) fn seen(&self) -> u64 {
        self.count.load(Ordering::Acquire)
    }

    /// Waits until there is more than was seen.
    pub(crate) async fn since(&self, seen: u64) {
        loop {
            let more = self.more.notified();
            tokio::pin!(more);
            // Danger: told between the look and the wait, it would be waited for in vain.
            more.as_mut().enable();
            if self.seen() != seen {
                return;
            }
            more.await;
        }
    }
}
