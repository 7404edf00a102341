//! Who belongs to a fleet of proxies, who answers and who has failed: membership by SWIM, without
//! I/O. Datagrams, ends of timers and the time go in; datagrams and events come out. It is
//! deterministic: equal inputs, in the same order, give equal outputs.
//!
//! Read [`Membership`] first, then [`Output`]. SWIM itself (probes, suspicion, incarnations, what
//! travels along with other messages) is the library `foca`; what no library gives is here:
//!
//! - who a member is ([`MemberId`]) and what happens when two processes have one name;
//! - what is believed of each member and since when ([`MemberRecord`]), the side of a partition
//!   that this member is on ([`PartitionSide`]), and the [`MembershipEvent`]s for the rest of the
//!   program;
//! - how peers are found at first, and again after a partition;
//! - local health, pauses of this process, the bound on members, and the format of datagrams.
//!
//! Nothing safe may depend on what this crate says: it is fast and may be wrong.

mod counters;
mod events;
#[cfg(test)]
mod golden_tests;
mod health;
mod identity;
mod join_admission;
mod membership;
mod record;
mod roster;
mod settings;
mod swim;
mod timers;
mod wire;

pub use counters::MembershipCounters;
pub use events::{MembershipEvent, NameConflict, NameHolder};
pub use identity::{MemberId, MAX_NAME};
pub use membership::{Membership, Output};
pub use record::{MemberRecord, PartitionSide, State};
pub use settings::{Settings, SettingsError, Timing};
pub use wire::{decode_datagram, DatagramKind, DropReason, MAX_DATAGRAM};

/// Milliseconds on the caller's clock, which may begin anywhere and must not go back.
pub type Time = u64;
