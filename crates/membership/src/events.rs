//! The events for the rest of the program: [`MembershipEvent`].

use crate::record::{MemberRecord, MemberState, PartitionSide};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An event that the rest of the program may act on or log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The state of a member has changed, or another process has taken its name.
    MemberChanged {
        /// The member, as it is believed to be now.
        record: MemberRecord,
        /// The start of the process that had the name before (in Unix microseconds) and its state;
        /// none if the name is new.
        previous: Option<(u64, MemberState)>,
    },
    /// The record of a member that had failed or left was removed.
    Forgotten(Arc<str>),
    /// This member is on another side of a partition, or the partition has healed.
    PartitionSide(PartitionSide),
    /// Another process has this member's name.
    NameConflict(NameConflict),
    /// The other process of this member's name has ended.
    NameConflictEnded,
    /// The member at this address has reached its configured size, which is this many members, and
    /// rejects this one.
    FleetFull(SocketAddr, usize),
    /// Others had taken this member for failed; it has rejoined.
    Rejoined,
    /// This process did not run for this long.
    Paused(Duration),
}

/// Two processes with one name: this one, and another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameConflict {
    /// The address of the other process.
    pub other: SocketAddr,
    /// Which of the two counts in the fleet.
    pub holder: NameHolder,
}

/// Which of two processes with one name counts in the fleet: the one that started later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameHolder {
    /// This process does.
    ThisProcess,
    /// The other one does, and this one is out of the fleet.
    OtherProcess,
}
