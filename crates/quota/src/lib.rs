//! The quota: which fraction of the fleet's limits each process may use, in parts per billion. Half
//! of all parts is divided into guaranteed minimums, one for each process; the other half is leased
//! by a leader. No I/O: the driver passes messages and the time in, and carries out each
//! [`Output`].
//!
//! Read [`QuotaLeases`] first, then [`Output`].
//!
//! Invariant: the quotas in use at any moment add up to at most one, whatever is partitioned, late,
//! paused or restarted, provided that at most [`Settings::size`] processes run and that no clock is
//! faster than another by more than [`Settings::skew_percent`].
//!
//! A majority of the voters of a [`View`], which are founders, elects the leader by votes that
//! expire. Only the leader grants leases, and it records them in a ledger. A new leader renews what
//! the holders have, and grants no more until every lease of an earlier leader has expired.
//!
//! | module | concern |
//! | --- | --- |
//! | `leases` | what a holder has, what the leader has granted, and the rule by which it grants |
//! | `voter` | the vote of this process and the view that it has accepted |
//! | `leader_term` | a candidate or leader: its votes, its quorum, the view that it proposes |
//! | `quota_leases` | elections, and which of the above handles a message |
//! | `settings`, `view`, `message`, `wire` | values and their encoding |
//!
//! Sources: leases, Gray and Cheriton 1989; votes that expire and need no disk, PaxosLease
//! (Trencseni, Gazso and Reinhardt 2012); voters that agree on the next voters, Lamport 1998,
//! section 3.2, and Paxos.

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
/// All parts: the whole of the fleet's limits.
pub const TOTAL_PARTS: Parts = 1_000_000_000;
/// The parts that are leased; the other half is divided into guaranteed minimums.
pub const LEASABLE_PARTS: Parts = TOTAL_PARTS / 2;
