//! The listener for peers and the vote of this process, which it has while it is the active member
//! of the fleet for its proxy. During a hot restart the other process of the proxy may be the
//! active member; this one then only dials. Read [`Presence`].

use crate::net::log::log;
use pinetrail_config::PolicyConfig;
use pinetrail_peer_transport::TcpNetwork;
use pinetrail_policy_consensus::{ConsensusNode, FileStorage, VoterId};
use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// Whether this process is the active member of the fleet for its proxy.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Activity {
    Active,
    Inactive,
}

/// The vote of this process.
#[derive(Clone, Copy, PartialEq, Eq)]
enum VoterRole {
    /// Not held yet.
    Pending,
    /// Held, if the configuration gives this proxy a voter id.
    Resolved,
}

/// The listener and the vote of this process.
pub(super) struct Presence {
    config: PolicyConfig,
    node: Arc<ConsensusNode<TcpNetwork>>,
    /// The task that accepts connections. It is aborted when this process becomes inactive.
    listener: Option<JoinHandle<()>>,
    voter_role: VoterRole,
    /// The last error that was logged.
    last_error: Option<String>,
}

impl Presence {
    /// Creates the presence of a process that neither listens nor votes.
    pub(super) fn new(config: PolicyConfig, node: Arc<ConsensusNode<TcpNetwork>>) -> Presence {
        Presence { config, node, listener: None, voter_role: VoterRole::Pending, last_error: None }
    }

    /// Decides: whether this process listens for peers and votes: it does as the active member.
    /// Inputs: the activity of this process, from membership.
    /// Reason: other processes find the voter of a proxy at one listener.
    ///
    /// Invariant: two processes of one proxy must not vote with the same voter id. Only the active
    /// member holds it.
    ///
    /// A step that fails is repeated at the next call.
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
            // The previous process of this proxy still holds the lock of the directory.
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => {
                self.log_if_new(format!("this founder cannot vote: {}: {error}", state_dir.display()));
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

    /// Logs an error, unless it is the last one that was logged.
    fn log_if_new(&mut self, error: String) {
        if self.last_error.as_ref() != Some(&error) {
            log(&format!("ERROR: policy: {error}; the process retries"));
            self.last_error = Some(error);
        }
    }
}
