//! The part of policy consensus that runs in each process. Read [`ConsensusNode`] first.
//!
//! The node owns the state of the process ([`state`]) and the tasks that act on that state:
//!
//! - `catch_up` fetches the agreed state, and `apply` makes its version active;
//! - `lease_renewal` requests and renews the admission lease;
//! - `join` recovers the vote of a voter, and `voter` replies for that voter;
//! - `leader` moves open changes forward until they finish, by the decisions in `leader_decisions`
//!   and the steps in `change_steps`;
//! - `proposer` makes one step of the replicated state, and `voter_requests` sends requests to
//!   voters;
//! - `message_handler` handles the messages of other processes, `admin` and `status` handle the
//!   requests of operators.

mod admin;
mod apply;
mod catch_up;
mod change_steps;
mod join;
mod leader;
mod leader_decisions;
mod lease_renewal;
mod message_handler;
mod proposer;
mod state;
mod status;
mod voter;
mod voter_requests;

pub use admin::{ChangeStatus, ProposalError};
pub use status::{ConsensusStatus, NodeStatus};

use crate::change_notifier::ChangeNotifier;
use crate::{AdmissionLease, PolicyApplier, Settings};
use pinetrail_peer_transport::{MessageHandler, Network, PeerTransport, Process};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use state::NodeState;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The range of the random factors that multiply pauses, so that processes do not act at the same
/// times.
const JITTER_FACTORS: Range<f64> = 0.5..1.5;

/// A process of the fleet, as a participant of policy consensus.
///
/// The node exists until the process ends, because its tasks hold references to it.
pub struct ConsensusNode<N: Network> {
    settings: Settings,
    /// The name of the fleet.
    cluster: String,
    /// The proposer number of this process in ballots.
    proposer: u64,
    transport: Arc<PeerTransport<N>>,
    applier: Arc<dyn PolicyApplier>,
    lease: Arc<AdmissionLease>,
    /// The state of this process and its voter. The lock is not held while a task waits for other
    /// processes. It is held while a vote is written to the disk, so that votes are sequential.
    state: Mutex<NodeState>,
    /// Wakes the tasks when the state, the lease or the connections have changed.
    changes: ChangeNotifier,
    /// The random number generator; locked for single draws.
    rng: Mutex<StdRng>,
}

impl<N: Network> ConsensusNode<N> {
    /// Creates the node of a process that has learnt no state yet. Call
    /// [`ConsensusNode::become_voter`] if the process has a voter, then [`ConsensusNode::start`].
    pub fn new(
        settings: Settings,
        cluster: &str,
        transport: Arc<PeerTransport<N>>,
        applier: Arc<dyn PolicyApplier>,
        lease: Arc<AdmissionLease>,
    ) -> Arc<ConsensusNode<N>> {
        let identity = format!("{}/{}", settings.process.name, settings.process.start);
        let node = Arc::new(ConsensusNode {
            proposer: xxh3_64(identity.as_bytes()),
            rng: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            settings,
            cluster: cluster.to_owned(),
            transport: Arc::clone(&transport),
            applier,
            lease,
            state: Mutex::default(),
            changes: ChangeNotifier::default(),
        });
        transport.set_handler(Arc::clone(&node) as Arc<dyn MessageHandler>);
        node
    }

    /// Spawns the tasks of this node on the current runtime. The tasks end when that runtime is
    /// dropped at the end of the process.
    pub fn start(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).catch_up());
        for voter in self.settings.voters.ids() {
            tokio::spawn(Arc::clone(self).renew_lease(voter));
        }
        tokio::spawn(Arc::clone(self).join());
        tokio::spawn(Arc::clone(self).lead());
    }

    /// Returns the name and the start of this process.
    pub fn process(&self) -> &Process {
        &self.settings.process
    }

    /// Returns the admission lease of this process.
    pub fn admission_lease(&self) -> &Arc<AdmissionLease> {
        &self.lease
    }

    /// Returns the transport that connects this process to other processes.
    pub fn transport(&self) -> &Arc<PeerTransport<N>> {
        &self.transport
    }

    fn notify_changed(&self) {
        self.changes.notify();
    }

    fn state(&self) -> MutexGuard<'_, NodeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_rng<T>(&self, draw: impl FnOnce(&mut StdRng) -> T) -> T {
        draw(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a duration, multiplied by a random factor from [`JITTER_FACTORS`].
    fn jittered(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.with_rng(|rng| rng.random_range(JITTER_FACTORS)))
    }
}
