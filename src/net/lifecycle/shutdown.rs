//! The graceful shutdown at SIGTERM and SIGINT: the process drains, gives up what the next process of
//! the proxy needs, and passes on the responses that have begun until they end. [`DrainSchedule`]
//! decides the times of the steps. Further signals change nothing.

use super::state::LifecycleEvent;
use super::{Lifecycle, RunningServices};
use crate::net::drain::{DisconnectSchedule, DrainSchedule};
use crate::net::hot_restart::Acceptor;
use crate::net::log::print;
use crate::settings::Settings;
use may::coroutine::sleep;
use std::time::{Duration, Instant};

/// The interval at which a drain checks for open requests and connections.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The upper limit of the client wait for which a drain is scheduled, in ms. A class may let its
/// clients wait without a limit.
const MAX_CLASS_WAIT_MS: f64 = 60_000.0;
const MS_PER_SECOND: f64 = 1_000.0;

impl Lifecycle {
    /// Drains the services, leaves the fleet, prints the counters for the last time, and passes on the
    /// responses that are still incomplete.
    pub(super) fn shut_down(&self, settings: &Settings, services: &RunningServices) {
        let started = Instant::now();
        self.apply(LifecycleEvent::StopRequested);
        if let Some(fleet) = self.fleet() {
            fleet.begin_shutdown();
        }
        let schedule = DrainSchedule::for_longest_wait(self.longest_client_wait(settings));
        let acceptor = self.hot_restart.begin_drain();
        services.drain(started, schedule, acceptor);
        self.release(services);
        services.finish_responses(started, schedule.exit_at);
        self.apply(LifecycleEvent::DrainFinished);
    }

    /// Gives up what the next process of the proxy needs: the addresses, the membership, the voter and
    /// the leases. From now on this process begins no attempt, so that it needs none of them.
    fn release(&self, services: &RunningServices) {
        self.apply(LifecycleEvent::ServingFinished);
        self.hot_restart.finish_serving();
        if let Some(fleet) = self.fleet() {
            fleet.leave();
        }
        if let Some(policy) = self.policy() {
            policy.stop();
        }
        if let Some(admin) = self.admin.get() {
            admin.close();
        }
        services.backends.close_idle_connections();
        services.clients.finish_responses();
        // SIGKILL may come from now on.
        print(&self.counters.line());
    }

    /// Returns the longest wait of a client over all classes, or `None` if no class sets one.
    fn longest_client_wait(&self, settings: &Settings) -> Option<Duration> {
        let by_policy = self.policy().and_then(|policy| policy.longest_client_timeout());
        let longest_ms = by_policy.unwrap_or_else(|| settings.longest_client_timeout()).as_ms();
        (longest_ms > 0.0).then(|| Duration::from_secs_f64(longest_ms.min(MAX_CLASS_WAIT_MS) / MS_PER_SECOND))
    }
}

impl RunningServices {
    /// Drains the services in the steps of the schedule, until no request is open.
    fn drain(&self, started: Instant, schedule: DrainSchedule, acceptor: Acceptor) {
        match acceptor {
            Acceptor::PeerProcess => {
                self.clients.start_disconnecting(DisconnectSchedule::for_drain(&schedule));
                self.clients.release_listener();
            }
            Acceptor::ThisProcess => {
                // Idle connections are still evicted, to make room for the last new ones.
                sleep(schedule.accept_until.saturating_sub(started.elapsed()));
                self.clients.stop_listening();
            }
        }
        self.clients.stop_evicting();
        self.wait_until_idle(started, schedule.late_from);
        self.clients.begin_late_requests(started + schedule.kill_at);
        self.wait_until_idle(started, schedule.serve_until);
        self.clients.close_when_idle();
        self.wait_until_idle(started, schedule.abort_at);
        self.dispatcher.abort_all();
        // The final responses are written until this time.
        self.wait_until_idle(started, schedule.release_at);
    }

    /// Passes on the responses that have begun, until `exit_at` after `started` at the latest. Then the
    /// connections are closed in an orderly way. If there are no such responses, returns at once.
    fn finish_responses(&self, started: Instant, exit_at: Duration) {
        if self.clients.responding_connections() > 0 {
            self.wait_until_idle(started, exit_at);
        }
    }

    /// Waits until no request and no connection is open, or until `limit` after `started`.
    fn wait_until_idle(&self, started: Instant, limit: Duration) {
        while started.elapsed() < limit && self.in_use() > 0 {
            sleep(POLL_INTERVAL);
        }
    }

    /// Returns the number of pending requests and open client connections.
    fn in_use(&self) -> usize {
        self.dispatcher.pending_count() + self.clients.open_connections()
    }
}
