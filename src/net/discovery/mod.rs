//! Passes endpoint lists to the dispatcher: the cached list at the start, then those of a watch as
//! soon as the decision module subscribes. Read [`Discovery`] first. `target` holds the address of
//! discovery, `watch` runs one watch, `lists` splits its response into lists, `timing` decides the
//! timeouts and the backoff between watches.

mod error;
mod lists;
mod target;
mod timing;
mod watch;

pub use target::DiscoveryTarget;
pub use timing::ListDelivery;

use super::counters::Counters;
use super::deadline_stream::sleep;
use super::dispatcher::Dispatcher;
use super::log::log;
use crate::interface::ListForm;
use may::sync::mpsc::{Receiver, Sender};
use pinetrail_config::{Catalog, Instance};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use target::TargetAddress;
use timing::WatchBackoff;

/// The interval at which a backoff checks whether the address of discovery has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The parameters of [`Discovery::start`].
pub struct DiscoveryParameters {
    /// The receiver of the endpoint lists.
    pub dispatcher: Arc<Dispatcher>,
    /// The counters of watches and lists.
    pub counters: Arc<Counters>,
    /// The address of discovery.
    pub address: SocketAddr,
    /// The way in which endpoint lists reach the proxy.
    pub delivery: ListDelivery,
    /// The endpoint list that is used before the first watch.
    pub cached: Catalog,
    /// The seed of the backoff between watches.
    pub seed: u64,
    /// The sending end of `subscriptions`.
    pub subscribe: Sender<()>,
    /// The receiving end of the channel of which each message requests the next watch.
    pub subscriptions: Receiver<()>,
}

/// Runs the watches of one proxy, of which one is open at a time.
pub struct Discovery {
    dispatcher: Arc<Dispatcher>,
    counters: Arc<Counters>,
    target: Arc<DiscoveryTarget>,
    /// The generation of the last list.
    generation: u64,
    backoff: WatchBackoff,
    /// The time at which bytes were last received on a watch.
    last_received: Option<Instant>,
}

impl Discovery {
    /// Passes the cached list to the dispatcher, then watches once the decision module subscribes.
    ///
    /// Invariant: if lists are pushed, the first watch is opened here, because the decision module
    /// does not subscribe then and changes count as notified as soon as the agent has them.
    pub fn start(parameters: DiscoveryParameters) -> Arc<DiscoveryTarget> {
        let target = Arc::new(DiscoveryTarget::new(parameters.address, parameters.subscribe));
        let mut discovery = Discovery {
            dispatcher: parameters.dispatcher,
            counters: parameters.counters,
            target: Arc::clone(&target),
            generation: parameters.cached.generation,
            backoff: WatchBackoff::new(parameters.seed, parameters.delivery),
            last_received: None,
        };
        discovery.update_endpoints(ListForm::Cached, parameters.cached.instances);
        if parameters.delivery == ListDelivery::Pushed {
            target.subscribe();
        }
        let subscriptions = parameters.subscriptions;
        // The coroutine ends with the process.
        may::go!(move || discovery.run(&subscriptions));
        target
    }

    fn run(&mut self, subscriptions: &Receiver<()>) {
        // The first watch waits for a subscription; later ones follow while the process runs.
        let _ = subscriptions.recv();
        loop {
            let failed = self.watch_until_failure();
            self.update_endpoints(ListForm::Failed, Vec::new());
            if self.wait_before_retry(&failed) == WaitOutcome::AddressChanged {
                self.backoff.reset();
            }
            // The next watch serves all subscriptions until now.
            while subscriptions.try_recv().is_ok() {}
        }
    }

    /// Watches until a watch fails or ends. After a change of the address, another watch starts at
    /// once.
    fn watch_until_failure(&mut self) -> FailedWatch {
        loop {
            let started = Instant::now();
            let target = self.target.current();
            self.counters.watches.increment();
            let Err(error) = self.watch(target);
            let has_changed = self.target.detach_stream(target);
            if !has_changed {
                self.counters.watches_failed.increment();
                log(&format!("the watch of discovery failed, opening another: {error}"));
                let delay = self.backoff.next_delay(&error, started.elapsed());
                return FailedWatch { target, delay };
            }
            self.backoff.reset();
        }
    }

    /// Waits for the backoff after a failed watch, or until the address of discovery changes.
    ///
    /// Invariant: only the backoff and the address decide when the next watch begins. Changes count
    /// as notified after a fixed time, whatever else the proxy does.
    fn wait_before_retry(&self, failed: &FailedWatch) -> WaitOutcome {
        let until = Instant::now() + failed.delay;
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            if self.target.has_changed_since(failed.target) {
                return WaitOutcome::AddressChanged;
            }
            if remaining.is_zero() {
                return WaitOutcome::Elapsed;
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
    /// The address at which discovery was called.
    target: TargetAddress,
    /// The delay before the next watch.
    delay: Duration,
}

/// The outcome of the wait before the next watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitOutcome {
    /// The delay is over.
    Elapsed,
    /// Discovery has another address.
    AddressChanged,
}
