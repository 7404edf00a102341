//! [`Presence`]: the listener for peers and the voter of this process. A process has them only
//! while it is its proxy's active member of the fleet. During a hot restart, the inactive one of
//! the proxy's two processes only dials peers.

use crate::net::log::log;
use pinetrail_config::PolicyConfig;
use pinetrail_peer_transport::TcpNetwork;
use pinetrail_policy_consensus::{ConsensusNode, FileStorage, VoterId};
use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// Whether this process is its proxy's active member of the fleet.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Activity {
    Active,
    Inactive,
}

/// Whether this process has claimed the voter that the configuration gives its proxy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum VoterRole {
    /// The claim has not succeeded yet.
    Pending,
    /// The process is the voter, or the configuration gives its proxy no voter id.
    Resolved,
}

/// Starts and stops the listener and the voter of this process.
pub(super) struct Presence {
    config: PolicyConfig,
    node: Arc<ConsensusNode<TcpNetwork>>,
    /// The task that accepts connections. It is aborted when this process becomes inactive.
    listener: Option<JoinHandle<()>>,
    voter_role: VoterRole,
    /// The last logged error, which is not logged again.
    last_error: Option<String>,
}

impl Presence {
    /// Creates the state of a process that neither listens nor votes.
    pub(super) fn new(config: PolicyConfig, node: Arc<ConsensusNode<TcpNetwork>>) -> Presence {
        Presence { config, node, listener: None, voter_role: VoterRole::Pending, last_error: None }
    }

    /// Decides whether this process listens for peers and votes: starts the listener and the voter
    /// of an active member, and stops those of an inactive one.
    ///
    /// Inputs: the activity of this process, from membership.
    /// Reason: other processes reach the voter of a proxy at one listener.
    ///
    /// Invariant: two processes of one proxy must not vote with the same voter id, so only the
    /// active member has it.
    ///
    /// A step that fails is retried at the next call.
    pub(super) async fn update(&mut self, activity: Activity) {
        match activity {
            Activity::Inactive => self.withdraw(),
            Activity::Active => {
                if self.listener.is_none() {
                    self.listen().await;
                }
                if self.listener.is_some() && self.voter_role == VoterRole::Pending {
                    self.claim_voter_role();
                }
            }
        }
    }

    async fn listen(&mut self) {
        match self.node.transport().listen(self.config.bind).await {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => {
                self.log_if_new(format!("cannot listen for peers at {}: {error}", self.config.bind));
            }
        }
    }

    fn claim_voter_role(&mut self) {
        let (Some(voter_id), Some(state_dir)) = (self.config.voter_id, self.config.state_dir.clone()) else {
            self.voter_role = VoterRole::Resolved;
            return;
        };
        match self.become_voter(voter_id, &state_dir) {
            Ok(()) => self.voter_role = VoterRole::Resolved,
            // The previous process of this proxy still holds the lock on the state directory; the
            // next update retries.
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => {
                self.log_if_new(format!(
                    "this founder cannot vote: its storage in {}: {error}",
                    state_dir.display()
                ));
            }
        }
    }

    fn become_voter(&self, voter_id: u8, state_dir: &Path) -> io::Result<()> {
        let storage = FileStorage::open(state_dir.to_owned())?;
        self.node.become_voter(VoterId(voter_id), Box::new(storage))
    }

    fn withdraw(&mut self) {
        if let Some(listener) = self.listener.take() {
            listener.abort();
        }
        if self.voter_role == VoterRole::Resolved && self.config.voter_id.is_some() {
            self.node.resign_voter();
        }
        self.voter_role = VoterRole::Pending;
    }

    /// Logs an error, unless its text is that of the last logged one.
    fn log_if_new(&mut self, error: String) {
        if self.last_error.as_ref() != Some(&error) {
            log(&format!("ERROR: policy: {error}; the process retries"));
            self.last_error = Some(error);
        }
    }
}
