//! What each process of a fleet may use of what is scarce for all: the quota. It is counted in
//! parts per billion. Half of all is divided into guaranteed minimums, which are always each
//! process's own; the other half is leased. No I/O: the driver hands in messages and the time.
//!
//! Read [`QuotaLeases`] first, and [`Output`], which says what the driver has to do.
//!
//! Whatever is partitioned, late, stopped or restarted, the quotas in force add up to one at the
//! most, provided that at most [`Settings::size`] processes run and that no clock runs faster than
//! another by more than [`Settings::skew_percent`].
//!
//! How: a majority of the voters of a [`View`], which are founders, elects the leader by votes that
//! end by themselves. It alone grants leases, and keeps a ledger of them. A new leader renews what
//! holders have, and gives no more to anybody until all that an earlier one may have leased has
//! ended. Sources: leases, Gray and Cheriton 1989; votes that end by themselves, without a disk,
//! PaxosLease (Trencseni, Gazso and Reinhardt 2012); voters that agree on the next voters, Lamport
//! 1998, section 3.2, and Paxos.

#[cfg(test)]
mod golden_tests;
mod leader_term;
mod lease;
mod ledger;
mod message;
mod output;
mod quota_leases;
mod settings;
mod view;
mod voter;
mod wire;

pub use lease::Lease;
pub use message::Message;
pub use output::{Output, QuotaCounters, QuotaEvent};
pub use quota_leases::QuotaLeases;
pub use settings::{Settings, SettingsError, MAX_FOUNDERS};
pub use view::{Ballot, Process, View};
pub use wire::{decode, encode, DecodeError};

/// A time or duration, in milliseconds of one process's clock. Messages carry it as it is.
pub type Time = u64;
/// A part of the whole, in parts per billion.
pub type Parts = u64;
/// The whole.
pub const WHOLE_PARTS: Parts = 1_000_000_000;
/// What is leased; the other half is divided into guaranteed minimums.
pub const LEASED_PARTS: Parts = WHOLE_PARTS / 2;
