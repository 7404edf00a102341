//! What each process of a fleet may use of what is scarce for all: a base that is always its own, and a part of the
//! other half that is leased. Whatever is cut, late, stopped or started anew, the shares in force add up to one at the
//! most, provided that at most `size` processes run and that no clock runs faster than another by more than the stated bound.
//!
//! How: one of the founders is the steward, by votes that end by themselves, of a majority of the council (the *view*).
//! It alone leases, and keeps a ledger of what it has leased. A new steward renews what holders have, and gives no
//! more to anybody until all that an earlier one may have leased has ended. Sources: leases, Gray and Cheriton 1989; votes that end
//! by themselves, without a disk, PaxosLease (Trencseni, Gazso, Reinhardt 2012); a council that agrees on the next one, Lamport
//! 1998, section 3.2 and Paxos.

#[cfg(test)]
mod golden_tests;
mod leader_term;
mod lease;
mod ledger;
mod message;
mod quota_leases;
mod settings;
mod view;
mod voter;
mod wire;

pub use lease::Lease;
pub use message::Message;
pub use quota_leases::{Output, QuotaCounters, QuotaEvent, QuotaLeases};
pub use settings::{Settings, SettingsError, MAX_FOUNDERS};
pub use view::{Ballot, Process, View};
pub use wire::{decode, encode, DecodeError};

/// A time or duration, in milliseconds of one process's clock.
pub type Time = u64;
/// A part of the whole.
pub type Parts = u64;
/// The whole.
pub const WHOLE_PARTS: Parts = 1_000_000_000;
/// What is leased; the other half is in bases.
pub const LEASED_PARTS: Parts = WHOLE_PARTS / 2;
