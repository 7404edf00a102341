//! Defines [`MemberRecord`], the record that a member keeps of another one, and [`PartitionSide`].

use pinetrail_clock::Timestamp;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The state of a member as this one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// The member responds to probes.
    Alive,
    /// The member responded neither to a direct nor to an indirect probe, and may still refute the
    /// suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Failed,
    /// The member announced that it leaves.
    Left,
}

/// The side of a partition that this member is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionSide {
    /// This member sees no partition: no member has failed, as far as it knows, and all configured
    /// peers have been seen.
    Whole,
    /// This member sees more than half of the members, itself included.
    Majority,
    /// This member sees others, but at most half of the members, itself included.
    Minority,
    /// This member sees no other member.
    Alone,
}

/// The record of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The name of the member.
    pub name: Arc<str>,
    /// The start of the member's process, in Unix microseconds. The start distinguishes processes
    /// with one name.
    pub start: u64,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
    /// The state of the member.
    pub state: MemberState,
    /// The number of suspicions that the member refuted since it joined or rejoined.
    pub incarnation: u16,
    /// The time since which the member has been in this state, by the clock of the member that
    /// keeps this record.
    pub since: Timestamp,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Failed => "failed",
            MemberState::Left => "left",
        })
    }
}

impl fmt::Display for PartitionSide {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PartitionSide::Whole => "whole",
            PartitionSide::Majority => "majority",
            PartitionSide::Minority => "minority",
            PartitionSide::Alone => "alone",
        })
    }
}
