//! The state of a process in policy consensus. Read [`NodeState`] first.

use crate::{
    Acceptor, AcceptorSnapshot, Ballot, ChangeReadiness, Digest, LeaseTable, ReplicatedState, StateSummary,
    Storage, VoterId, VoterView,
};
use pinetrail_peer_transport::Process;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The voter of this process.
pub(super) struct VoterState {
    pub(super) id: VoterId,
    pub(super) acceptor: Acceptor,
    /// The leases that the voter granted.
    pub(super) leases: LeaseTable,
    pub(super) storage: Box<dyn Storage>,
    /// The snapshots with which other voters replied to the registration of this voter's storage.
    pub(super) snapshots: BTreeMap<VoterId, AcceptorSnapshot>,
}

impl VoterState {
    /// Returns the state that the voter accepted last.
    pub(super) fn accepted_state(&self) -> Option<&ReplicatedState> {
        self.acceptor.durable().accepted.as_ref().map(|accepted| &accepted.state)
    }

    /// Returns the version of the state that the voter accepted last; 0 if the voter accepted none.
    pub(super) fn accepted_version(&self) -> u64 {
        self.accepted_state().map_or(0, |state| state.version)
    }

    /// Returns the view on which the voter bases its decisions about leases.
    pub(super) fn view<'a>(&self, agreed: &'a StateSummary) -> VoterView<'a> {
        VoterView { agreed, accepted_version: self.accepted_version() }
    }
}

/// An agreed version that this process cannot make active, with the reason.
pub(super) struct UnusableVersion {
    pub(super) version: u64,
    pub(super) reason: String,
}

/// The processes for which a change waits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct WaitingFor {
    pub(super) change_id: String,
    pub(super) names: Vec<String>,
}

/// The state of a process in policy consensus.
#[derive(Default)]
pub(super) struct NodeState {
    /// The latest agreed state that the process learnt.
    pub(super) agreed: StateSummary,
    /// A complete agreed state, which may be earlier than `agreed`.
    pub(super) full_state: Option<ReplicatedState>,
    /// The process from which this process learnt `agreed`.
    pub(super) source: Option<Process>,
    /// The version that is active at this process.
    pub(super) active_version: u64,
    /// The agreed version, if this process cannot make it active.
    pub(super) unusable: Option<UnusableVersion>,
    /// The readiness of this process for the open change.
    pub(super) readiness: Option<ChangeReadiness>,
    /// The processes for which the open change waits.
    pub(super) waiting: WaitingFor,
    /// The highest ballot that the process has seen.
    pub(super) highest_ballot: Ballot,
    /// The voter of this process, if it has one.
    pub(super) voter: Option<VoterState>,
    /// Whether the process has held an admission lease.
    pub(super) has_held_lease: bool,
}

impl NodeState {
    /// Returns the revision of the full state; 0 without a full state.
    pub(super) fn full_revision(&self) -> u64 {
        self.full_state.as_ref().map_or(0, |state| state.revision)
    }

    /// Records an agreed state as the full state, and its summary as the agreed one; each only if
    /// no later one is known.
    pub(super) fn learn_state(&mut self, state: ReplicatedState) {
        if state.revision >= self.agreed.revision {
            self.agreed = state.summary();
        }
        let is_newer = self.full_state.as_ref().is_none_or(|held| held.revision < state.revision);
        if is_newer {
            self.full_state = Some(state);
        }
    }

    /// Records a ballot of another proposer.
    pub(super) fn observe_ballot(&mut self, ballot: Ballot) {
        self.highest_ballot = self.highest_ballot.max(ballot);
    }

    /// Returns the text with this digest, if this process has it.
    pub(super) fn text_with_digest(&self, digest: Digest) -> Option<Arc<str>> {
        let accepted = self.voter.as_ref().and_then(VoterState::accepted_state);
        let states = self.full_state.iter().chain(accepted);
        states.into_iter().find_map(|state| state.text_with_digest(digest))
    }
}
