//! The voter of this process: how it begins and ends, and what it answers for its acceptor and its
//! lease table. What its acceptor answers is on its disk first; the lease table is not stored.

use super::state::VoterState;
use super::ConsensusNode;
use crate::messages::Reply;
use crate::storage::{self, LoadOutcome, Storage};
use crate::{
    Acceptor, AcceptorDecision, AcceptorReply, Ballot, DurableState, LeaseRequest, LeaseTable, Readiness,
    ReplicatedState, StateSummary, StorageId, VoterId,
};
use pinetrail_peer_transport::{Network, Process};
use rand::RngExt;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Processes that hold no lease and made no request for so long are forgotten.
const IDLE_TIME: Duration = Duration::from_secs(30);

impl<N: Network> ConsensusNode<N> {
    /// From now on this process has this voter, with the state that its storage keeps.
    ///
    /// # Errors
    ///
    /// If the storage cannot be read, or does not take a first state.
    pub fn become_voter(&self, id: VoterId, mut storage: Box<dyn Storage>) -> io::Result<()> {
        let durable = self.load_or_create(id, &mut *storage)?;
        let voter = VoterState {
            id,
            acceptor: Acceptor::new(id, durable),
            leases: LeaseTable::new(self.settings.timing, Instant::now()),
            storage,
            snapshots: BTreeMap::new(),
        };
        self.state().voter = Some(voter);
        self.transport.set_voter_id(Some(id.0));
        self.notify_changed();
        Ok(())
    }

    /// From now on this process has no voter: another process of this proxy has it.
    pub fn resign_voter(&self) {
        self.state().voter = None;
        self.transport.set_voter_id(None);
    }

    fn load_or_create(&self, id: VoterId, storage: &mut dyn Storage) -> io::Result<DurableState> {
        match storage::load(storage, &self.cluster, id)? {
            LoadOutcome::Loaded(durable) => return Ok(*durable),
            LoadOutcome::Empty => {}
            LoadOutcome::SetAside(reason) => {
                let suffix = reason.file_suffix();
                let line =
                    format!("ERROR: this founder's state was set aside as \"{suffix}\": it is {reason}");
                self.applier.log(&line);
            }
        }
        let storage_id = StorageId(self.with_rng(RngExt::random));
        let durable = DurableState { storage_id, ..DurableState::default() };
        storage::save(storage, &self.cluster, id, &durable)?;
        Ok(durable)
    }

    /// Answers phase 1 of a ballot; `None` without a voter.
    pub(super) fn prepare(&self, ballot: Ballot) -> Option<AcceptorReply> {
        let mut state = self.state();
        state.observe_ballot(ballot);
        let voter = state.voter.as_mut()?;
        let decision = voter.acceptor.prepare(ballot);
        Some(self.reply_once_stored(voter, decision))
    }

    /// Answers phase 2 of a ballot; `None` without a voter.
    pub(super) fn accept(
        &self,
        ballot: Ballot,
        proposed: &ReplicatedState,
        storage_ids: &BTreeMap<VoterId, StorageId>,
    ) -> Option<AcceptorReply> {
        let mut state = self.state();
        state.observe_ballot(ballot);
        let voter = state.voter.as_mut()?;
        let decision = voter.acceptor.accept(ballot, proposed, storage_ids);
        // Danger: leases are examined when the vote is given, not before: a voter that was stopped
        // wakes believing the past.
        let blocking = voter.leases.blocking_leases(Instant::now(), proposed, voter.accepted_version());
        if decision.reply == AcceptorReply::Accepted && !blocking.is_empty() {
            return Some(AcceptorReply::Blocked(blocking));
        }
        Some(self.reply_once_stored(voter, decision))
    }

    /// Answers the registration of another voter's storage; `None` without a voter, or if its disk
    /// does not take the registration.
    pub(super) fn register_storage(&self, other: VoterId, storage_id: StorageId) -> Option<Reply> {
        let mut state = self.state();
        let voter = state.voter.as_mut()?;
        let AcceptorDecision { reply, store_first } = voter.acceptor.register_storage(other, storage_id);
        if let Some(durable) = store_first {
            self.store(voter, durable).ok()?;
        }
        Some(Reply::StorageRegistered(reply))
    }

    /// Answers a request for a lease; `None` without a voter.
    pub(super) fn decide_lease(&self, process: &Process, request: LeaseRequest) -> Option<Reply> {
        let rejection = request.readiness.as_ref().map(|of| &of.readiness);
        let is_rejected = matches!(rejection, Some(Readiness::Rejected(_)));
        let reply = {
            let mut state = self.state();
            let summary = state.agreed.clone();
            let voter = state.voter.as_mut()?;
            let now = Instant::now();
            // Danger: a voter without a vote may have lost what it voted for, and would grant
            // leases for what is over.
            let unknown = StateSummary::default();
            let agreed = if voter.acceptor.durable().may_vote { &summary } else { &unknown };
            let view = voter.view(agreed);
            let is_granted = voter.leases.request(now, process, request, view);
            voter.leases.forget_idle(now, IDLE_TIME);
            Reply::Lease { is_granted, summary }
        };
        if is_rejected {
            self.notify_changed();
        }
        Some(reply)
    }

    /// Answers who may hold a lease now; `None` without a voter.
    pub(super) fn list_holders(&self, change_id: &str) -> Option<Reply> {
        let state = self.state();
        let voter = state.voter.as_ref()?;
        Some(Reply::Holders(voter.leases.holders(Instant::now(), change_id)))
    }

    /// Stores a state of this process's voter; returns whether its disk has it.
    pub(super) fn store_voter_state(&self, durable: DurableState) -> bool {
        let mut state = self.state();
        let Some(voter) = state.voter.as_mut() else {
            return false;
        };
        self.store(voter, durable).is_ok()
    }

    /// The reply of a decision, once the disk has what it rests on.
    fn reply_once_stored(
        &self,
        voter: &mut VoterState,
        decision: AcceptorDecision<AcceptorReply>,
    ) -> AcceptorReply {
        let Some(durable) = decision.store_first else {
            return decision.reply;
        };
        match self.store(voter, durable) {
            Ok(()) => decision.reply,
            Err(_) => AcceptorReply::Unavailable,
        }
    }

    /// Stores the state of a voter; a failure is logged.
    fn store(&self, voter: &mut VoterState, durable: DurableState) -> io::Result<()> {
        let stored = storage::save(&mut *voter.storage, &self.cluster, voter.id, &durable);
        match &stored {
            Ok(()) => voter.acceptor.mark_durable(durable),
            Err(error) => {
                self.applier.log(&format!("ERROR: this founder cannot vote: its disk: {error}"));
            }
        }
        stored
    }
}
