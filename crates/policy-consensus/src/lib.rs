//! Numbered versions of a policy for a fleet: each becomes active at one moment at every process,
//! or at none.
//!
//! The two types to read first are [`ReplicatedState`], what the voters agree on, and
//! [`AdmissionLease`], without which a process admits no request. What must be right to the letter
//! are small functions that never wait: the steps of [`ReplicatedState`], the votes of [`Acceptor`]
//! and the leases of [`LeaseTable`]. The tasks of [`ConsensusNode`] call them, and talk to other
//! processes.

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

pub use acceptor::{
    AcceptedState, Acceptor, AcceptorDecision, AcceptorReply, AcceptorSnapshot, DurableState, StorageId,
};
pub use admission_lease::{Admission, AdmissionLease, LeaseExpiryMode};
pub use ballot::Ballot;
pub use change::{Change, ChangeSummary, FinishedChange, Outcome, Stage};
pub use digest::Digest;
pub use lease_request::{BlockingLease, ChangeReadiness, LeaseHolder, LeaseRequest, Readiness};
pub use lease_table::{LeaseTable, VoterView};
pub use node::{ChangeStatus, ConsensusNode, ConsensusStatus, NodeStatus, ProposalError};
pub use policy_applier::{PolicyApplier, PolicyRejected};
pub use replicated_state::{Conflict, ReplicatedState, StateSummary};
pub use settings::{Settings, Timing, TimingError};
pub use storage::{DecodeError, FileStorage, LoadOutcome, Storage};
pub use voters::{VoterId, VoterSet};
