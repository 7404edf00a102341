//! The voter of this process: how the voter begins and ends, and the replies of its acceptor and
//! its lease table. A promise or a vote is on the disk before its reply is sent. The lease table is
//! not stored.

use super::state::VoterState;
use super::ConsensusNode;
use crate::messages::Reply;
use crate::storage::{self, LoadOutcome, Storage};
use crate::{
    AcceptRequest, Acceptor, AcceptorDecision, AcceptorReply, Ballot, DurableState, LeaseDecision,
    LeaseRequest, LeaseTable, Readiness, ReplicatedState, StateSummary, StorageId, VoterId, VotingStatus,
};
use pinetrail_peer_transport::{Network, Process};
use rand::RngExt;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// The time without a request after which a process that holds no lease is removed from the lease
/// table.
const HOLDER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

impl<N: Network> ConsensusNode<N> {
    /// Gives this process a voter, with the state that the storage keeps.
    ///
    /// # Errors
    ///
    /// If the storage cannot be read, or rejects the write of a first state.
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

    /// Removes the voter from this process, because another process of this proxy takes the voter
    /// over.
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
                    format!("ERROR: this founder's state file was set aside as \"{suffix}\": {reason}");
                self.applier.log(&line);
            }
        }
        let storage_id = StorageId(self.with_rng(RngExt::random));
        let durable = DurableState { storage_id, ..DurableState::default() };
        storage::save(storage, &self.cluster, id, &durable)?;
        Ok(durable)
    }

    /// Returns the reply to phase 1 of a ballot, or `None` without a voter.
    pub(super) fn prepare(&self, ballot: Ballot) -> Option<AcceptorReply> {
        let mut state = self.state();
        state.observe_ballot(ballot);
        let voter = state.voter.as_mut()?;
        let decision = voter.acceptor.prepare(ballot);
        Some(self.reply_once_stored(voter, decision))
    }

    /// Returns the reply to phase 2 of a ballot, or `None` without a voter.
    ///
    /// Invariant: leases are examined when the vote is given, not before. Otherwise a voter that
    /// was suspended would vote by an earlier state of its lease table.
    pub(super) fn accept(
        &self,
        ballot: Ballot,
        proposed: &ReplicatedState,
        storage_ids: &BTreeMap<VoterId, StorageId>,
    ) -> Option<AcceptorReply> {
        let mut state = self.state();
        state.observe_ballot(ballot);
        let voter = state.voter.as_mut()?;
        let blocking = voter.leases.blocking_leases(Instant::now(), proposed, voter.accepted_version());
        let request = AcceptRequest { ballot, state: proposed, storage_ids };
        let decision = voter.acceptor.accept(&request, blocking);
        Some(self.reply_once_stored(voter, decision))
    }

    /// Returns the reply to the registration of another voter's storage, or `None` if this process
    /// has no voter or its disk rejects the write.
    pub(super) fn register_storage(&self, other: VoterId, storage_id: StorageId) -> Option<Reply> {
        let mut state = self.state();
        let voter = state.voter.as_mut()?;
        let AcceptorDecision { reply, store_first } = voter.acceptor.register_storage(other, storage_id);
        if let Some(durable) = store_first {
            self.store(voter, durable).ok()?;
        }
        Some(Reply::StorageRegistered(reply))
    }

    /// Returns the reply to a request for a lease, or `None` without a voter.
    ///
    /// Invariant: a recovering voter grants no lease, because it may have lost a state that it
    /// accepted and would then grant leases for a version that is no longer active.
    pub(super) fn decide_lease(&self, process: &Process, request: LeaseRequest) -> Option<Reply> {
        let readiness = request.readiness.as_ref().map(|reported| &reported.readiness);
        let is_change_rejected = matches!(readiness, Some(Readiness::Rejected(_)));
        let reply = {
            let mut state = self.state();
            let summary = state.agreed.clone();
            let voter = state.voter.as_mut()?;
            let now = Instant::now();
            let no_state = StateSummary::default();
            let agreed = match voter.acceptor.durable().voting {
                VotingStatus::Voting => &summary,
                VotingStatus::Recovering => &no_state,
            };
            let view = voter.view(agreed);
            let decision = voter.leases.decide(now, process, request, view);
            voter.leases.remove_idle(now, HOLDER_IDLE_TIMEOUT);
            Reply::Lease { is_granted: decision == LeaseDecision::Granted, summary }
        };
        if is_change_rejected {
            self.notify_changed();
        }
        Some(reply)
    }

    /// Returns the processes that may hold a lease now, or `None` without a voter.
    pub(super) fn list_holders(&self, change_id: &str) -> Option<Reply> {
        let state = self.state();
        let voter = state.voter.as_ref()?;
        Some(Reply::Holders(voter.leases.holders(Instant::now(), change_id)))
    }

    /// Stores a state of this process's voter. Returns whether that succeeded.
    pub(super) fn store_voter_state(&self, durable: DurableState) -> bool {
        let mut state = self.state();
        let Some(voter) = state.voter.as_mut() else {
            return false;
        };
        self.store(voter, durable).is_ok()
    }

    /// Returns the reply of a decision once the state on which the reply rests is on the disk.
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

    /// Stores the state of a voter. A failure is logged.
    fn store(&self, voter: &mut VoterState, durable: DurableState) -> io::Result<()> {
        let stored = storage::save(&mut *voter.storage, &self.cluster, voter.id, &durable);
        match &stored {
            Ok(()) => voter.acceptor.mark_durable(durable),
            Err(error) => {
                self.applier
                    .log(&format!("ERROR: this founder cannot vote: writing its state failed: {error}"));
            }
        }
        stored
    }
}
