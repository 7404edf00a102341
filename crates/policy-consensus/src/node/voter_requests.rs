//! Sends requests to voters, including the voter of this process.

use super::ConsensusNode;
use crate::messages::{decode, encode, Message, Reply};
use crate::{AcceptorReply, VoterId};
use pinetrail_peer_transport::{Network, Process};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The reply of one voter to a ballot message.
pub(super) struct VoterReply {
    pub(super) voter: VoterId,
    pub(super) reply: AcceptorReply,
}

impl<N: Network> ConsensusNode<N> {
    /// Sends a request to a voter; returns `None` if the voter does not reply in time.
    pub(super) async fn request_from_voter(&self, voter: VoterId, message: &Message) -> Option<Reply> {
        let is_own = self.state().voter.as_ref().is_some_and(|own| own.id == voter);
        if is_own {
            return self.handle_message(&self.settings.process, message.clone());
        }
        let process = self.voter_process(voter)?;
        self.request_from_process(&process, message, self.settings.timing.request_timeout).await
    }

    /// Sends a request to another process; returns `None` if the process does not reply in time.
    pub(super) async fn request_from_process(
        &self,
        process: &Process,
        message: &Message,
        timeout: Duration,
    ) -> Option<Reply> {
        let reply = self.transport.request(process, encode(message), timeout).await?;
        decode(&reply)
    }

    /// Sends a ballot message to all voters, and returns their replies as they arrive. The channel
    /// closes when every voter has replied or timed out.
    pub(super) fn send_to_acceptors(
        self: &Arc<Self>,
        message: &Message,
    ) -> mpsc::UnboundedReceiver<VoterReply> {
        let (sender, receiver) = mpsc::unbounded_channel();
        for voter in self.settings.voters.ids() {
            let node = Arc::clone(self);
            let message = message.clone();
            let sender = sender.clone();
            // The task ends when the voter has replied, or after `timing.request_timeout`.
            tokio::spawn(async move {
                if let Some(Reply::Acceptor(reply)) = node.request_from_voter(voter, &message).await {
                    // Sending fails if the receiver was dropped because a majority has replied.
                    let _ = sender.send(VoterReply { voter, reply });
                }
            });
        }
        receiver
    }

    /// Returns the connected process that has this voter.
    pub(super) fn voter_process(&self, voter: VoterId) -> Option<Process> {
        self.transport.voter_process(voter.0)
    }
}
