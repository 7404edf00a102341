//! Discovery: the cached endpoint list at the start, then a watch from the moment on in which the
//! decision module asks for one. Read [`Discovery`] first. `target` is where discovery is, `watch`
//! is one watch, `lists` splits its response, `timing` says when the next one begins.

mod error;
mod lists;
mod target;
mod timing;
mod watch;

pub use target::DiscoveryTarget;
pub use timing::ListDelivery;

use super::config::{Catalog, Instance};
use super::counters::Counters;
use super::deadline_stream::sleep;
use super::dispatcher::Dispatcher;
use super::log::log;
use crate::interface::ListForm;
use may::sync::mpsc::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use target::TargetAddress;
use timing::RetryDelays;

/// How often a delay looks whether discovery has moved.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What discovery starts with.
pub struct DiscoveryStart {
    /// Who is told of endpoints.
    pub dispatcher: Arc<Dispatcher>,
    /// Where watches and lists are counted.
    pub counters: Arc<Counters>,
    /// Where discovery is.
    pub address: SocketAddr,
    /// How lists reach the proxy.
    pub delivery: ListDelivery,
    /// The endpoints known before the first watch.
    pub cached: Catalog,
    /// The seed of the delays between watches.
    pub seed: u64,
    /// The sending end of `subscriptions`.
    pub subscribe: Sender<()>,
    /// Each message asks for the next watch.
    pub subscriptions: Receiver<()>,
}

/// The watches of one proxy, one after the other.
pub struct Discovery {
    dispatcher: Arc<Dispatcher>,
    counters: Arc<Counters>,
    target: Arc<DiscoveryTarget>,
    /// The generation of the last list.
    generation: u64,
    delays: RetryDelays,
    /// When anything was last received on a watch.
    last_received: Option<Instant>,
}

impl Discovery {
    /// Tells the dispatcher the cached list, then watches from when it is asked to. Danger: where
    /// lists are pushed the decision module asks for nothing, and what the agent has counts as
    /// notified from the first moment on: the watch is opened here.
    pub fn start(start: DiscoveryStart) -> Arc<DiscoveryTarget> {
        let target = Arc::new(DiscoveryTarget::new(start.address, start.subscribe));
        let mut discovery = Discovery {
            dispatcher: start.dispatcher,
            counters: start.counters,
            target: Arc::clone(&target),
            generation: start.cached.generation,
            delays: RetryDelays::new(start.seed, start.delivery),
            last_received: None,
        };
        discovery.update_endpoints(ListForm::Cached, start.cached.instances);
        if start.delivery == ListDelivery::Pushed {
            target.subscribe();
        }
        let subscriptions = start.subscriptions;
        // Ends with the process.
        may::go!(move || discovery.run(&subscriptions));
        target
    }

    fn run(&mut self, subscriptions: &Receiver<()>) {
        // The first watch is waited for. From then on lists are watched while the process runs.
        let _ = subscriptions.recv();
        loop {
            let failed = self.watch_until_failure();
            self.update_endpoints(ListForm::Failed, Vec::new());
            if self.sleep_unless_moved(&failed) {
                self.delays.reset();
            }
            // The next call answers all that was asked for until now.
            while subscriptions.try_recv().is_ok() {}
        }
    }

    /// Watches until that fails or ends, starting again as often as discovery moves.
    fn watch_until_failure(&mut self) -> FailedWatch {
        loop {
            let started = Instant::now();
            let target = self.target.current();
            self.counters.watches.increment();
            let Err(error) = self.watch(target);
            let has_moved = self.target.detach(target);
            if !has_moved {
                self.counters.watches_failed.increment();
                log(&format!("watch: {error}"));
                let delay = self.delays.before_next(&error, started.elapsed());
                return FailedWatch { target, delay };
            }
            self.delays.reset();
        }
    }

    /// Waits for the delay after a failed watch, or until discovery has moved since; returns
    /// whether it has. Danger: how long a proxy may go without a watch follows from when changes
    /// count as notified, not from what else it has to do: discovery alone says when the next call
    /// begins.
    fn sleep_unless_moved(&self, failed: &FailedWatch) -> bool {
        let until = Instant::now() + failed.delay;
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            let has_moved = self.target.has_moved_from(failed.target);
            if has_moved || remaining.is_zero() {
                return has_moved;
            }
            sleep(remaining.min(POLL_INTERVAL));
        }
    }

    fn update_endpoints(&self, form: ListForm, instances: Vec<Instance>) {
        self.dispatcher.update_endpoints(form, instances);
    }
}

/// A watch that has failed or ended.
struct FailedWatch {
    /// Where discovery was.
    target: TargetAddress,
    /// How long to wait before the next watch.
    delay: Duration,
}
