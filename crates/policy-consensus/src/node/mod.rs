//! A process of the fleet, as far as its policy is concerned. Read [`ConsensusNode`] first.
//!
//! The node owns what the process knows ([`state`]) and the tasks that act on it:
//!
//! - `catch_up` follows what is agreed and `apply` makes it active;
//! - `lease_renewal` keeps the admission lease;
//! - `join` gives a voter its vote, `voter` answers for it;
//! - `leader` brings open changes to their end, by the steps in `change_steps`;
//! - `proposer` makes one step of the replicated state, `voter_requests` asks voters;
//! - `message_handler` takes the messages of others, `admin` and `status` answer operators.

mod admin;
mod apply;
mod catch_up;
mod change_steps;
mod join;
mod leader;
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
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A process of the fleet.
///
/// Lives as long as its process: its tasks hold it.
pub struct ConsensusNode<N: Network> {
    settings: Settings,
    /// The name of the fleet.
    cluster: String,
    /// This process in ballots.
    proposer: u64,
    transport: Arc<PeerTransport<N>>,
    applier: Arc<dyn PolicyApplier>,
    lease: Arc<AdmissionLease>,
    /// Guards what this process knows, and its voter. Never held while a task waits for others;
    /// held while a vote is written to the disk, so that votes are given one after another.
    state: Mutex<NodeState>,
    /// Wakes the tasks when the state, the lease or the connections have changed.
    changes: ChangeNotifier,
    /// Guards the random numbers; held for single draws.
    rng: Mutex<StdRng>,
}

impl<N: Network> ConsensusNode<N> {
    /// A process that knows nothing yet; its transport brings it what there is. It is to be given
    /// its voter, if it has one, and started.
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

    /// Spawns the tasks of this node on the runtime that it is called in. They have no end of their
    /// own: they stop when that runtime is dropped, which is at the end of the process.
    pub fn start(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).catch_up());
        for voter in self.settings.voters.ids() {
            tokio::spawn(Arc::clone(self).renew_lease(voter));
        }
        tokio::spawn(Arc::clone(self).join());
        tokio::spawn(Arc::clone(self).lead());
    }

    /// This process.
    pub fn process(&self) -> &Process {
        &self.settings.process
    }

    /// The admission lease of this process.
    pub fn admission_lease(&self) -> &Arc<AdmissionLease> {
        &self.lease
    }

    /// The connections to other processes.
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

    /// Half to one and a half times this duration, so that processes do not act in step.
    fn jittered(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.with_rng(|rng| rng.random_range(0.5..1.5)))
    }
}
