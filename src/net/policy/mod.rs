//! One policy for the fleet: the driver of `pinetrail-policy-consensus`. It owns a thread on which the links and the book run (tokio),
//! and says who is linked where; what is agreed is put in force at the exchange. Without `fleet.policy` there is none of it.

pub mod admin;
mod applier;
mod digest;
mod directory;
mod drift;
#[cfg(test)]
mod golden_tests;
mod text;

use super::backend::BackendService;
use super::config::PolicyConfig;
use super::dispatcher::{Dispatcher, PeerAddress};
use super::fleet::Fleet;
use super::log::log;
use applier::App;
use directory::Directory;
use drift::Drift;
use pinetrail_peer_transport::{PeerTransport, Process, TcpNetwork, Timing as LinkTimes};
use pinetrail_policy_consensus::{AdmissionLease, ConsensusNode, ConsensusStatus, PolicyApplier, Settings};
use serde_json::Value;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::runtime::{Builder, Handle};

/// When who is refused for want of a permit is to come back.
const BACK: Duration = Duration::from_millis(500);
/// While a process catches up it looks so often whether it has.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// This process's part in the fleet's policy.
pub struct Policy {
    config: PolicyConfig,
    node: Arc<ConsensusNode<TcpNetwork>>,
    app: Arc<App>,
    directory: Arc<Directory>,
    drift: Arc<Drift>,
    runtime: Handle,
    /// The thread ends with it.
    _end: Sender<()>,
}

impl Policy {
    /// Begins: links with those of whom another process of this proxy told, and with all that the fleet knows.
    pub fn start(
        config: PolicyConfig,
        fleet: &Arc<Fleet>,
        (exchange, providers): (&Arc<Dispatcher>, &Arc<BackendService>),
        settings: &Value,
        given: Vec<PeerAddress>,
        seed: u64,
    ) -> Result<Arc<Policy>, String> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = u64::try_from(unix.as_micros()).unwrap_or(u64::MAX);
        let (name, fleet_name) = fleet.names();
        let me = Process { name: name.as_str().into(), start };
        let links = PeerTransport::new(
            TcpNetwork,
            &fleet_name,
            me.clone(),
            config.bind.ip(),
            LinkTimes::default(),
            seed ^ start,
        );
        let permit = Arc::new(AdmissionLease::new(config.seats, config.when_cut, config.hold, BACK));
        exchange.set_admission_lease(Arc::clone(&permit));
        let calls = fleet.longest_call();
        let app = Arc::new(App::new(Arc::clone(exchange), Arc::clone(providers), settings, calls));
        let node = ConsensusNode::new(
            Settings {
                process: me.clone(),
                voters: config.seats,
                timing: config.times,
                lease_expiry_mode: config.when_cut,
                initial_policy: text::common(settings),
                seed: seed ^ start,
            },
            &fleet_name,
            links,
            Arc::clone(&app) as Arc<dyn PolicyApplier>,
            permit,
        );
        app.first_is_good()?;
        let directory =
            Arc::new(Directory::new(config.clone(), Arc::clone(fleet), Arc::clone(&node), me, given));
        let restore = config.restore_after;
        let drift = Drift::new(Arc::clone(fleet), Arc::clone(&node), Arc::clone(&app), restore);
        let looking = Arc::clone(&drift);
        let (end, ended) = channel::<()>();
        let (say, said) = channel();
        let (starting, keeping) = (Arc::clone(&node), Arc::clone(&directory));
        let run = move || {
            let built = Builder::new_current_thread().enable_all().build();
            let runtime = match built {
                Ok(runtime) => runtime,
                Err(error) => return drop(say.send(Err(error.to_string()))),
            };
            runtime.block_on(async move {
                // Whoever started it waits for this.
                let _ = say.send(Ok(Handle::current()));
                starting.start();
                tokio::spawn(looking.keep());
                keeping.keep(&ended).await;
            });
        };
        thread::Builder::new().name("policy".to_owned()).spawn(run).map_err(|error| error.to_string())?;
        let runtime = said.recv().map_err(|error| error.to_string())??;
        Ok(Arc::new(Policy { config, node, app, directory, drift, runtime, _end: end }))
    }

    /// Waits until this process may take clients. False if it was asked to stop before. It blocks the thread that calls.
    pub fn catch_up(&self, mut is_asked_to_stop: impl FnMut() -> bool) -> bool {
        let begun = std::time::Instant::now();
        let mut said = false;
        while !self.admits() {
            if is_asked_to_stop() {
                return false;
            }
            if begun.elapsed() > self.config.catch_up && !std::mem::replace(&mut said, true) {
                log(&format!("ERROR: policy: not ready after {:?}: {}", begun.elapsed(), self.why_not()));
            }
            thread::sleep(LOOK_EVERY);
        }
        true
    }

    /// Whether this process admits requests.
    pub fn admits(&self) -> bool {
        matches!(self.node.status().status, ConsensusStatus::Steady | ConsensusStatus::Changing)
    }

    /// Why it does not.
    pub fn why_not(&self) -> String {
        self.node.not_ready_reason()
    }

    /// Whether SIGHUP puts settings of the file in force.
    pub fn lets_in_local_settings(&self) -> bool {
        self.config.local
    }

    /// Whether the settings of a file are those in force.
    pub fn is_in_force(&self, settings: &Value) -> bool {
        self.app.is_in_force(settings)
    }

    /// The longest that a class in force waits, in ms; none before any is.
    pub fn longest_wait(&self) -> Option<f64> {
        self.app.longest_wait()
    }

    /// The other processes of the fleet, for a newcomer of this proxy.
    pub fn neighbours(&self) -> Vec<PeerAddress> {
        self.directory.neighbours()
    }

    /// What was counted, by name.
    pub fn list(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("policy_version", self.node.status().active_version),
            ("policy_links", self.node.transport().connected_peers().len() as u64),
            ("policy_refused", self.node.admission_lease().rejections()),
            ("policy_drift_alarms", self.drift.alarms()),
        ]
    }
}
