//! The membership of a fleet of proxies: which processes belong to it, which respond, and which have
//! failed, by SWIM (Das, Gupta and Motivala, 2002). No I/O: datagrams and the time go in; datagrams
//! and events come out. Equal inputs in the same order give equal outputs.
//!
//! Read [`Membership`] first, then [`Output`]. SWIM itself (probes, suspicion, incarnations, gossip)
//! is the library `foca`; here is what it lacks:
//!
//! | concern | module |
//! | --- | --- |
//! | the identity of a member, [`MemberId`] | `identity` |
//! | which processes may join | `join_admission` |
//! | two processes with one name | `membership::name_conflict` |
//! | states, [`MemberRecord`], and partitions, [`PartitionSide`] | `record`, `roster` |
//! | finding peers at first, and again after a partition | `membership::discovery` |
//! | suspicion and refutation | `swim::config`, `swim::runtime` |
//! | the end of a suspicion that another member began | `suspicions`, `membership::suspicion_end` |
//! | local health, pauses of this process | `health`, `membership::process_pause` |
//! | the format of datagrams | `wire`, `swim::codec` |
//!
//! Invariant: no guarantee of the program may depend on this crate, which detects failures fast and
//! may be wrong.

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
