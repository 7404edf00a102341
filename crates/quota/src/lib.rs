//! The quota: which fraction of the fleet's limits each process may use, in parts per billion. Half
//! of all parts is divided into guaranteed minimums, one for each process; the other half is leased
//! by a leader. No I/O: the driver passes messages and the time in, and carries out each
//! [`Output`].
//!
//! Read [`QuotaLeases`] first, then [`Output`].
//!
//! Invariant: the quotas in use at any moment add up to at most the whole of the limits, under any
//! partition, delay, pause or restart, provided that at most [`Settings::size`] processes run and
//! that no clock is faster than another by more than [`Settings::skew_percent`].
//!
//! A majority of the voters of a [`View`], which are founders, elects the leader by votes that
//! expire. Only the leader grants leases, and it records them in a ledger. A new leader grants each
//! holder no more than the holder already has, until no attempt can run under a lease of an earlier
//! leader.
//!
//! | module | concern |
//! | --- | --- |
//! | `leases` | the lease of a holder, the ledger of the leader, and the rule for granting leases |
//! | `voter` | the vote of this process and the view that it has accepted |
//! | `leader_term` | the votes, the quorum and the proposed view of a candidate or leader |
//! | `quota_leases` | elections, and the dispatch of messages to the modules above |
//! | `settings`, `view`, `message`, `wire` | values and their encoding |
//!
//! Sources: Gray and Cheriton 1989 for leases; PaxosLease (Trencseni, Gazso and Reinhardt 2012) for
//! votes that expire, so that they need no disk; Paxos (Lamport 1998), section 3.2 of it for voters
//! that decide on the next voters.

#[cfg(test)]
mod golden_tests;
mod leader_term;
mod leases;
mod message;
mod output;
mod quota_leases;
mod settings;
mod view;
mod voter;
mod wire;

pub use leases::Lease;
pub use message::Message;
pub use output::{Output, QuotaCounters, QuotaEvent};
pub use pinetrail_clock::Timestamp;
pub use quota_leases::QuotaLeases;
pub use settings::{Settings, SettingsError, MAX_FOUNDERS};
pub use view::{Ballot, Process, View};
pub use wire::{decode, encode, DecodeError};

/// A fraction of the fleet's limits, in parts per billion.
pub type Parts = u64;
/// The number of parts in the whole of the fleet's limits.
pub const TOTAL_PARTS: Parts = 1_000_000_000;
/// The number of parts that may be leased; the others are divided into guaranteed minimums.
pub const LEASABLE_PARTS: Parts = TOTAL_PARTS / 2;
