//! One rulebook for a fleet: numbered versions of a policy, each in force from one moment on at every process, or at none.
//!
//! The two types to read first are [`Book`], what is agreed, and [`Permit`], under which alone a process may admit requests. What must
//! be right to the letter are small functions without waits: [`Book`]'s changes, [`Acceptor`]'s votes and
//! [`Grants`]'s permits. The tasks of [`Node`] call them, each written from top to bottom as what it does.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acceptor;
mod ballot;
mod replicated_state;
#[cfg(test)]
mod golden_disk_tests;
#[cfg(test)]
mod golden_tests;
mod lease_table;
mod messages;
mod change_notifier;
mod node;
mod admission_lease;
mod settings;
mod storage;

pub use acceptor::{Acceptor, Durable, Registered, Vote};
pub use ballot::Ballot;
pub use replicated_state::{Book, Change, Conflict, Digest, Ended, Head, Open, Outcome, Stage};
pub use lease_table::{Asked, Grants, Word};
pub use node::{Node, Refused, Seen, State};
pub use admission_lease::{Admission, Permit, WhenCut};
pub use settings::{Bad, Seats, Settings, Times};
pub use storage::{Disk, Folder, Loaded};

/// What the process that this is part of does about versions. It is called on the thread of the links, and must not wait.
pub trait InForce: Send + Sync + 'static {
    /// Whether this process could put this policy in force after what it has; else the path of what is wrong, and why.
    fn check(&self, text: &str) -> Result<(), String>;
    /// Puts it in force; it was checked before.
    fn put(&self, version: u64, text: &str);
    /// Another process says something that is no concern of the book, to the floor of this number.
    fn heard(&self, _from: &pinetrail_peer_transport::Process, _floor: u8, _body: &[u8]) {}
    /// A line for the log.
    fn log(&self, line: &str);
}
