//! The membership of a fleet of proxies: which processes belong to the fleet, which respond, and
//! which have failed, by SWIM (Das, Gupta and Motivala, 2002). This crate does no I/O: the caller
//! passes in datagrams and the time, and gets datagrams and events. Equal inputs in the same order
//! give equal outputs.
//!
//! Read [`Membership`] first, then [`Output`]. The library `foca` implements SWIM itself: probes,
//! suspicion, incarnations and gossip. This crate adds what `foca` lacks:
//!
//! | concern | module |
//! | --- | --- |
//! | the identity of a member, [`MemberId`] | `identity` |
//! | which processes may join | `join_admission` |
//! | two processes with one name | `membership::name_conflict` |
//! | states, [`MemberRecord`], and partitions, [`PartitionSide`] | `record`, `roster` |
//! | contacting peers at the start, and again after a partition | `membership::discovery` |
//! | suspicion and refutation | `swim::config`, `swim::runtime` |
//! | ending a suspicion that another member began | `suspicions`, `membership::suspicion_end` |
//! | local health, pauses of this process | `health`, `membership::process_pause` |
//! | the format of datagrams | `wire`, `swim::codec` |
//!
//! Invariant: no guarantee of the program may depend on this crate, since its failure detection is
//! fast and may be wrong.

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
mod suspicions;
mod swim;
mod timers;
mod wire;

pub use counters::MembershipCounters;
pub use events::{MembershipEvent, NameConflict, NameHolder};
pub use identity::{MemberId, MAX_NAME_BYTES};
pub use membership::{Membership, Output};
pub use pinetrail_clock::Timestamp;
pub use record::{MemberRecord, MemberState, PartitionSide};
pub use settings::{Settings, SettingsError, Timing};
pub use wire::{decode_datagram, DatagramKind, DropReason, MAX_DATAGRAM_BYTES};
