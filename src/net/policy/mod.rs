//! This process's part in the fleet's common policy: the driver of `pinetrail-policy-consensus`.
//! Read [`Policy`] first.
//!
//! The driver owns a thread with a tokio runtime, which runs the connections to peers and policy
//! consensus. `directory` sets the peers of the transport, `presence` controls the listener and the
//! voter of this process, `applier` makes agreed versions active, `drift_monitor` compares the
//! active settings with the approved ones, and `admin` responds to operators. None of it runs
//! unless the configuration has `fleet.policy`.

pub mod admin;
mod applier;
mod digest;
mod digest_input;
mod directory;
mod drift_monitor;
mod error;
#[cfg(test)]
mod golden_tests;
mod presence;
mod text;
mod thread;

pub use error::{PolicyError, PolicyTextError, RestoreError};

use super::backend::BackendService;
use super::dispatcher::{Dispatcher, PeerAddress};
use super::fleet::Fleet;
use super::log::log;
use crate::time::TimeSpan;
use applier::ProxyPolicyApplier;
use directory::PeerDirectory;
use drift_monitor::DriftMonitor;
use pinetrail_clock::whole_millis;
use pinetrail_config::PolicyConfig;
use pinetrail_peer_transport::{PeerTransport, Process, TcpNetwork, Timing, TransportConfig};
use pinetrail_policy_consensus::{AdmissionLease, ConsensusNode, ConsensusStatus, PolicyApplier, Settings};
use serde_json::Value;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thread::{PolicyTasks, PolicyThread};

/// The Retry-After of a request that is rejected because this process holds no admission lease.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The pause between two checks whether this process admits requests.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The parameters of [`Policy::start`].
pub struct PolicyParameters<'a> {
    /// The configuration under `fleet.policy`.
    pub config: PolicyConfig,
    /// The fleet, whose members are the peers.
    pub fleet: &'a Arc<Fleet>,
    /// The dispatcher to which policies are applied.
    pub dispatcher: &'a Arc<Dispatcher>,
    /// The backends to which policies are applied.
    pub backends: &'a Arc<BackendService>,
    /// The settings in the file of this process: the initial policy of a new fleet.
    pub settings: &'a Value,
    /// The peers that another process of this proxy handed over.
    pub handed_over_peers: Vec<PeerAddress>,
    /// The seed of the random numbers, which is combined with the time of the start.
    pub seed: u64,
}

/// This process's part in the fleet's policy. The policy thread ends when this value is dropped.
pub struct Policy {
    config: PolicyConfig,
    node: Arc<ConsensusNode<TcpNetwork>>,
    applier: Arc<ProxyPolicyApplier>,
    directory: Arc<PeerDirectory>,
    drift_monitor: Arc<DriftMonitor>,
    thread: PolicyThread,
}

impl Policy {
    /// Starts the policy thread, which connects to the handed-over peers and to those of the fleet.
    /// From then on the dispatcher admits requests only under an admission lease.
    ///
    /// # Errors
    ///
    /// Returns [`PolicyError`] if the settings are invalid as the fleet's initial policy, or if the
    /// thread cannot be started.
    pub fn start(parameters: PolicyParameters<'_>) -> Result<Arc<Policy>, PolicyError> {
        let lease = new_lease(&parameters.config);
        parameters.dispatcher.set_admission_lease(Arc::clone(&lease));
        let applier = Arc::new(ProxyPolicyApplier::new(
            Arc::clone(parameters.dispatcher),
            Arc::clone(parameters.backends),
            parameters.settings.clone(),
            parameters.fleet.max_attempt_duration().map(whole_millis),
        ));
        let node = new_node(&parameters, &applier, lease);
        applier.check_initial_policy()?;
        let PolicyParameters { config, fleet, handed_over_peers, .. } = parameters;
        let directory = Arc::new(PeerDirectory::new(
            config.clone(),
            Arc::clone(fleet),
            Arc::clone(&node),
            handed_over_peers,
        ));
        let drift_monitor = DriftMonitor::new(
            Arc::clone(fleet),
            Arc::clone(&node),
            Arc::clone(&applier),
            config.restore_after,
        );
        let thread = PolicyThread::spawn(PolicyTasks {
            node: Arc::clone(&node),
            directory: Arc::clone(&directory),
            drift_monitor: Arc::clone(&drift_monitor),
        })?;
        Ok(Arc::new(Policy { config, node, applier, directory, drift_monitor, thread }))
    }

    /// Blocks the calling thread until this process may admit requests. Returns `false` if a stop
    /// is requested before. Logs once why this process is not ready if the wait exceeds the
    /// configured time.
    pub fn wait_until_admitting(&self, mut is_stop_requested: impl FnMut() -> bool) -> bool {
        let started_at = Instant::now();
        let mut is_logged = false;
        while !self.is_admitting() {
            if is_stop_requested() {
                return false;
            }
            let elapsed = started_at.elapsed();
            if elapsed > self.config.catch_up_warning && !is_logged {
                is_logged = true;
                log(&format!("ERROR: policy: not ready after {elapsed:?}: {}", self.not_ready_reason()));
            }
            std::thread::sleep(CATCH_UP_POLL_INTERVAL);
        }
        true
    }

    /// Ends this process's part: within a moment it has no connection to peers, no listener and no
    /// voter, so that another process of the proxy can have them.
    pub fn stop(&self) {
        self.thread.stop();
    }

    /// Returns whether this process admits requests.
    pub fn is_admitting(&self) -> bool {
        matches!(self.node.status().status, ConsensusStatus::Steady | ConsensusStatus::Changing)
    }

    /// Returns the reason why this process does not admit requests.
    pub fn not_ready_reason(&self) -> String {
        self.node.not_ready_reason()
    }

    /// Returns whether SIGHUP applies the settings in the file of this process.
    pub fn allows_local_settings(&self) -> bool {
        self.config.allows_local_reload
    }

    /// Returns whether these settings are those of the active policy.
    pub fn is_active(&self, settings: &Value) -> bool {
        self.applier.is_active(settings)
    }

    /// Returns the longest client timeout of the classes of the active policy; `None` before a
    /// policy is active.
    pub fn longest_client_timeout(&self) -> Option<TimeSpan> {
        self.applier.longest_client_timeout()
    }

    /// Returns the listener addresses of the known processes of the fleet, including this one, to
    /// hand over to the next process of this proxy.
    pub fn peer_addresses(&self) -> Vec<PeerAddress> {
        self.directory.peer_addresses()
    }

    /// Returns the counters of the policy, by their names in `stats`.
    pub fn counters(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("policy_version", self.node.status().active_version),
            ("policy_links", self.node.transport().connected_peers().len() as u64),
            ("policy_refused", self.node.admission_lease().rejections()),
            ("policy_drift_alarms", self.drift_monitor.alarms_raised()),
        ]
    }
}

fn new_lease(config: &PolicyConfig) -> Arc<AdmissionLease> {
    Arc::new(AdmissionLease::new(
        config.voters,
        config.lease_expiry_mode,
        config.change_wait,
        REJECTED_RETRY_AFTER,
    ))
}

/// Creates the node of this process and its transport.
fn new_node(
    parameters: &PolicyParameters<'_>,
    applier: &Arc<ProxyPolicyApplier>,
    lease: Arc<AdmissionLease>,
) -> Arc<ConsensusNode<TcpNetwork>> {
    let config = &parameters.config;
    let start = unix_micros();
    let seed = parameters.seed ^ start;
    let (name, fleet_name) = parameters.fleet.names();
    let process = Process { name: name.into(), start };
    let transport = PeerTransport::new(
        TcpNetwork,
        TransportConfig {
            fleet: fleet_name.clone(),
            process: process.clone(),
            local_address: config.bind.ip(),
            timing: Timing::default(),
            seed,
        },
    );
    let settings = Settings {
        process,
        voters: config.voters,
        timing: config.timing,
        lease_expiry_mode: config.lease_expiry_mode,
        initial_policy: text::to_policy_text(parameters.settings),
        seed,
    };
    let applier = Arc::clone(applier) as Arc<dyn PolicyApplier>;
    ConsensusNode::new(settings, &fleet_name, transport, applier, lease)
}

#[allow(clippy::disallowed_methods, reason = "identifies a start of this process; measures no duration")]
fn unix_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
