//! One rulebook for a fleet: numbered versions of a policy, each in force from one moment on at every process, or at none.
//!
//! The two types to read first are [`ReplicatedState`], what is agreed, and [`AdmissionLease`], under which alone a process may admit requests. What must
//! be right to the letter are small functions without waits: [`ReplicatedState`]'s changes, [`Acceptor`]'s votes and
//! [`LeaseTable`]'s permits. The tasks of [`ConsensusNode`] call them, each written from top to bottom as what it does.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acceptor;
mod admission_lease;
mod ballot;
mod change_notifier;
#[cfg(test)]
mod golden_disk_tests;
#[cfg(test)]
mod golden_tests;
mod lease_table;
mod messages;
mod node;
mod replicated_state;
mod settings;
mod storage;

pub use acceptor::{Acceptor, AcceptorReply, AcceptorSnapshot, DurableState};
pub use admission_lease::{Admission, AdmissionLease, LeaseExpiryMode};
pub use ballot::Ballot;
pub use lease_table::{LeaseRequest, LeaseTable, Readiness};
pub use node::{ChangeStatus, ConsensusNode, ConsensusStatus, ProposalError};
pub use replicated_state::{
    Change, ChangeSummary, Conflict, Digest, FinishedChange, Outcome, ReplicatedState, Stage, StateSummary,
};
pub use settings::{Settings, SettingsError, Timing, VoterSet};
pub use storage::{FileStorage, LoadOutcome, Storage};

/// What the process that this is part of does about versions. It is called on the thread of the links, and must not wait.
pub trait PolicyApplier: Send + Sync + 'static {
    /// Whether this process could put this policy in force after what it has; else the path of what is wrong, and why.
    fn validate(&self, text: &str) -> Result<(), String>;
    /// Puts it in force; it was checked before.
    fn apply(&self, version: u64, text: &str);
    /// Another process says something that is no concern of the book, to the floor of this number.
    fn on_peer_message(&self, _from: &pinetrail_peer_transport::Process, _floor: u8, _body: &[u8]) {}
    /// A line for the log.
    fn log(&self, line: &str);
}
