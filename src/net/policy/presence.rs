//! Whether this process accepts connections of peers and holds its voter id: it does while it is
//! the active member of the fleet. A process that is not (another process of the same proxy is
//! active) only dials. Read [`Presence`].

use crate::net::config::PolicyConfig;
use crate::net::log::log;
use pinetrail_peer_transport::TcpNetwork;
use pinetrail_policy_consensus::{ConsensusNode, FileStorage, VoterId};
use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// This process's listener and vote, as they are now.
pub(super) struct Presence {
    config: PolicyConfig,
    node: Arc<ConsensusNode<TcpNetwork>>,
    /// The task that accepts connections. It is aborted when this process is not active any more.
    listener: Option<JoinHandle<()>>,
    /// Whether this process holds the voter id that it is to hold, which may be none.
    is_settled: bool,
    /// The error that was logged last.
    last_error: Option<String>,
}

impl Presence {
    /// A process that neither listens nor votes.
    pub(super) fn new(config: PolicyConfig, node: Arc<ConsensusNode<TcpNetwork>>) -> Presence {
        Presence { config, node, listener: None, is_settled: false, last_error: None }
    }

    /// Listens and votes if this process is the active one, and does neither if it is not. What
    /// fails is tried again at the next call.
    ///
    /// Danger: two processes of one proxy must not vote with one voter id: only the active member
    /// of the fleet holds it.
    pub(super) async fn update(&mut self, is_active: bool) {
        if !is_active {
            self.withdraw();
            return;
        }
        if self.listener.is_none() {
            self.listen().await;
        }
        if self.listener.is_some() && !self.is_settled {
            self.take_voter_id();
        }
    }

    async fn listen(&mut self) {
        match self.node.transport().listen(self.config.bind).await {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => {
                self.log_once(format!("cannot listen for peers at {}: {error}", self.config.bind));
            }
        }
    }

    fn take_voter_id(&mut self) {
        let (Some(voter_id), Some(state_dir)) = (self.config.voter_id, self.config.state_dir.clone()) else {
            self.is_settled = true;
            return;
        };
        match self.become_voter(voter_id, &state_dir) {
            Ok(()) => self.is_settled = true,
            // The process that had it before releases it soon.
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => {
                self.log_once(format!("this founder cannot vote: {}: {error}", state_dir.display()));
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
        if self.is_settled && self.config.voter_id.is_some() {
            self.node.resign_voter();
        }
        self.is_settled = false;
    }

    /// Logs an error, unless it is the one that was logged last.
    fn log_once(&mut self, error: String) {
        if self.last_error.as_ref() != Some(&error) {
            log(&format!("ERROR: policy: {error}; it is tried again"));
            self.last_error = Some(error);
        }
    }
}
