//! Gives memory back while two processes of the proxy may share its memory limit. Read
//! [`Lifecycle::release_memory_in_upgrades`] first.

use super::Lifecycle;
use crate::net::deadline_stream::sleep;
use pinetrail_free_memory::release_free_memory;
use std::sync::Arc;
use std::time::Duration;

/// The interval at which freed memory is given back while two processes run.
const RELEASE_INTERVAL: Duration = Duration::from_millis(250);

impl Lifecycle {
    /// Starts the coroutine that gives freed memory back while another process of this proxy runs, or
    /// may have been started because this one serves no more. It runs until the process ends.
    ///
    /// A process that has served many clients keeps what it needed at its peak, and the other
    /// process needs that memory for the same clients.
    pub(super) fn release_memory_in_upgrades(self: &Arc<Self>) {
        let lifecycle = Arc::clone(self);
        may::go!(move || loop {
            sleep(RELEASE_INTERVAL);
            if lifecycle.hot_restart.has_peer() || lifecycle.state().has_finished_serving() {
                release_free_memory();
            }
        });
    }
}
