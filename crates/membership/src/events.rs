//! [`MembershipEvent`]: the events that a member reports to the rest of the program.

use crate::record::{MemberRecord, MemberState, PartitionSide};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An event that the rest of the program may act on or log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The state of a member has changed, or another process has taken its name.
    MemberChanged {
        /// The member in its new state.
        record: MemberRecord,
        /// The start, in Unix microseconds, and the state of the process that had the name before;
        /// `None` if the name is new.
        previous: Option<(u64, MemberState)>,
    },
    /// The record of the member with this name, which had failed or left, was removed.
    Forgotten(Arc<str>),
    /// The side of a partition that this member is on has changed, or the partition has healed.
    PartitionSide(PartitionSide),
    /// Another process has this member's name.
    NameConflict(NameConflict),
    /// The other process with this member's name has ended.
    NameConflictEnded,
    /// The member at this address rejects this one because the fleet has reached the size that is
    /// configured there, which is this number of members.
    FleetFull(SocketAddr, usize),
    /// This member has rejoined after others had declared it failed.
    Rejoined,
    /// This process did not run for this long.
    Paused(Duration),
}

/// A conflict between this process and another one with the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameConflict {
    /// The address of the other process.
    pub other: SocketAddr,
    /// The process that counts in the fleet.
    pub holder: NameHolder,
}

/// The process that counts in the fleet, of two with one name: the one that started later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameHolder {
    /// This process counts in the fleet.
    ThisProcess,
    /// The other process counts in the fleet, so that this one is out of it.
    OtherProcess,
}
