//! Agreement of a fleet on numbered versions of a policy. Each version is committed at one moment
//! for all processes, or not at all: a version is *agreed* once a majority of voters has accepted
//! it, and *active* at a process once that process has applied it. A process admits requests under
//! the agreed version only.
//!
//! Read two types first: [`ReplicatedState`], the state that the voters agree on, and
//! [`AdmissionLease`], without which a process admits no request. Each decision is one function
//! that never waits and documents its inputs, reason and source: the transitions of
//! [`ReplicatedState`], the promises and votes of [`Acceptor`], the grants of [`LeaseTable`], and
//! the steps of the leader in `node/leader_decisions.rs`. The tasks of [`ConsensusNode`] call these
//! functions and exchange messages with other processes.

mod acceptor;
mod admission_lease;
mod ballot;
mod change;
mod change_notifier;
mod digest;
#[cfg(test)]
mod golden_disk_tests;
#[cfg(test)]
mod golden_tests;
mod lease_request;
mod lease_table;
mod messages;
mod node;
mod policy_applier;
mod replicated_state;
mod settings;
mod storage;
mod voters;
mod wire_ms;

pub use acceptor::{
    AcceptRequest, AcceptedState, Acceptor, AcceptorDecision, AcceptorReply, AcceptorSnapshot, DurableState,
    StorageId, VotingStatus,
};
pub use admission_lease::{Admission, AdmissionLease, LeaseExpiryMode};
pub use ballot::Ballot;
pub use change::{Change, ChangeSummary, FinishedChange, Outcome, Stage};
pub use digest::Digest;
pub use lease_request::{BlockingLease, ChangeReadiness, LeaseHolder, LeaseRequest, Readiness};
pub use lease_table::{LeaseDecision, LeaseRejection, LeaseTable, VoterView};
pub use node::{ChangeStatus, ConsensusNode, ConsensusStatus, NodeStatus, ProposalError};
pub use policy_applier::{PolicyApplier, PolicyRejected};
pub use replicated_state::{Conflict, ReplicatedState, StateSummary};
pub use settings::{Settings, Timing, TimingError};
pub use storage::{DecodeError, FileStorage, LoadOutcome, Storage};
pub use voters::{VoterId, VoterSet};
