//! Handles the messages of other processes and replies to their requests.

use super::state::WaitingFor;
use super::ConsensusNode;
use crate::messages::{decode, encode, Message, Reply};
use crate::StateSummary;
use pinetrail_peer_transport::{ConnectionError, MessageHandler, Network, Process};

impl<N: Network> MessageHandler for ConsensusNode<N> {
    fn on_message(&self, from: &Process, body: &[u8]) -> Option<Vec<u8>> {
        let message = decode(body)?;
        self.handle_message(from, message).map(|reply| encode(&reply))
    }

    fn on_connected(&self, peer: &Process, _voter: Option<u8>) {
        let summary = self.state().agreed.clone();
        if summary.revision > 0 {
            self.transport.send(peer, encode(&Message::Decided(summary)));
        }
        self.notify_changed();
    }

    fn on_disconnected(&self, _peer: &Process) {
        self.notify_changed();
    }

    fn on_resync_needed(&self, _peer: &Process) {
        // The reply to the next lease request has the agreed state.
        self.notify_changed();
    }

    fn on_connection_failed(&self, _peer: &Process, _error: &ConnectionError) {}
}

impl<N: Network> ConsensusNode<N> {
    /// Handles a message. Returns the reply to a request, if this process has one.
    pub(super) fn handle_message(&self, from: &Process, message: Message) -> Option<Reply> {
        match message {
            Message::Prepare(ballot) => self.prepare(ballot).map(Reply::Acceptor),
            Message::Accept { ballot, state, storage_ids } => {
                self.accept(ballot, &state, &storage_ids).map(Reply::Acceptor)
            }
            Message::RegisterStorage { voter, storage_id } => self.register_storage(voter, storage_id),
            Message::RequestLease(request) => self.decide_lease(from, request),
            Message::ListHolders { change_id } => self.list_holders(&change_id),
            Message::FetchState { min_revision } => self.full_state_since(min_revision),
            Message::Decided(summary) => {
                self.learn_summary(from, summary);
                None
            }
            Message::Application { channel, body } => {
                self.applier.on_peer_message(from, channel, &body);
                None
            }
            Message::WaitingFor { change_id, names } => {
                self.state().waiting = WaitingFor { change_id, names };
                None
            }
        }
    }

    /// Records an agreed state that another process announced, unless this state or a later one is
    /// known. A process with a voter also forwards the state.
    pub(super) fn learn_summary(&self, from: &Process, summary: StateSummary) {
        let is_voter = {
            let mut state = self.state();
            if summary.revision <= state.agreed.revision {
                return;
            }
            // A voter already has the full state if it accepted that state.
            let accepted = state.voter.as_ref().and_then(|voter| voter.accepted_state());
            if let Some(agreed) = accepted.filter(|accepted| accepted.summary() == summary).cloned() {
                state.full_state = Some(agreed);
            }
            state.agreed = summary.clone();
            state.source = Some(from.clone());
            state.voter.is_some()
        };
        // The proposer may not be connected to some processes to which this voter is connected.
        if is_voter {
            self.transport.broadcast(&encode(&Message::Decided(summary)));
        }
        self.notify_changed();
    }

    fn full_state_since(&self, min_revision: u64) -> Option<Reply> {
        let state = self.state();
        let full_state = state.full_state.as_ref().filter(|held| held.revision >= min_revision)?;
        Some(Reply::State(Box::new(full_state.clone())))
    }
}
