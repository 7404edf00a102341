//! Who belongs to a fleet of proxies, who answers and who has failed: membership without I/O. Datagrams, ends of
//! timers and a time go in; datagrams and news come out. Equal inputs give equal outputs.
//!
//! Read [`Membership`] first, then [`Output`]. SWIM itself (probes, suspicion, incarnations, what travels along with
//! other messages) is the library `foca`; what no library gives is here: who a member is ([`MemberId`]), what is believed and
//! since when ([`MemberRecord`]), local health, the bound on members, and the [`MembershipEvent`] for the rest of the program.
//!
//! Nothing safe may hang on what this says: it is fast and may be wrong.

#[cfg(test)]
mod golden_tests;
mod health;
mod identity;
mod join_admission;
mod membership;
mod roster;
mod settings;
mod swim;
mod timers;
mod wire;

pub use identity::{MemberId, MAX_NAME};
pub use membership::{Membership, Output};
pub use roster::{MemberRecord, MembershipEvent, PartitionSide, State};
pub use settings::{Settings, SettingsError, Timing};
pub use swim::MembershipCounters;
pub use wire::{decode_datagram, DatagramKind, DropReason, MAX_DATAGRAM};

/// Milliseconds, counted by the caller's clock from any beginning.
pub type Time = u64;
