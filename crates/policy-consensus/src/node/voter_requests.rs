//! Asks voters, this process's own included.

use super::ConsensusNode;
use crate::messages::{decode, encode, Message, Reply};
use crate::{AcceptorReply, VoterId};
use pinetrail_peer_transport::{Network, Process};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The answer of one voter to a message of a ballot.
pub(super) struct VoterReply {
    pub(super) voter: VoterId,
    pub(super) reply: AcceptorReply,
}

impl<N: Network> ConsensusNode<N> {
    /// Asks a voter; `None` if it does not answer in time.
    pub(super) async fn ask_voter(&self, voter: VoterId, message: &Message) -> Option<Reply> {
        let is_own = self.state().voter.as_ref().is_some_and(|own| own.id == voter);
        if is_own {
            return self.answer(&self.settings.process, message.clone());
        }
        let process = self.voter_process(voter)?;
        self.ask_process(&process, message, self.settings.timing.answer).await
    }

    /// Asks another process; `None` if it does not answer in time.
    pub(super) async fn ask_process(
        &self,
        process: &Process,
        message: &Message,
        timeout: Duration,
    ) -> Option<Reply> {
        let answer = self.transport.request(process, encode(message), timeout).await?;
        decode(&answer)
    }

    /// Sends a message of a ballot to all voters, and returns their answers as they come. The
    /// channel closes once every voter has answered or run out of time.
    pub(super) fn ask_acceptors(self: &Arc<Self>, message: &Message) -> mpsc::UnboundedReceiver<VoterReply> {
        let (sender, receiver) = mpsc::unbounded_channel();
        for voter in self.settings.voters.ids() {
            let node = Arc::clone(self);
            let message = message.clone();
            let sender = sender.clone();
            // Ends by itself once the voter has answered, or after `timing.answer`.
            tokio::spawn(async move {
                if let Some(Reply::Acceptor(reply)) = node.ask_voter(voter, &message).await {
                    // Nobody receives it any more if a majority has answered already.
                    let _ = sender.send(VoterReply { voter, reply });
                }
            });
        }
        receiver
    }

    /// The connected process that has this voter.
    pub(super) fn voter_process(&self, voter: VoterId) -> Option<Process> {
        self.transport.voter_process(voter.0)
    }
}
