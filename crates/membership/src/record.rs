//! [`MemberRecord`]: the state of one member as this one sees it; and [`PartitionSide`].

use pinetrail_clock::Timestamp;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The state of a member, as this one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It responds to probes.
    Alive,
    /// It responded neither to a direct nor to an indirect probe, and may still refute the
    /// suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Failed,
    /// It announced that it leaves.
    Left,
}

/// Which side of a partition this member is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionSide {
    /// There is no partition: all members are alive, as far as this one knows.
    Whole,
    /// It sees more than half of the members.
    Majority,
    /// It sees others, but at most half of the members.
    Minority,
    /// It sees no other member.
    Alone,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its name.
    pub name: Arc<str>,
    /// When its process started, in Unix microseconds: this distinguishes processes of one name.
    pub start: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Its state.
    pub state: MemberState,
    /// How often it refuted a suspicion since it joined or rejoined.
    pub incarnation: u16,
    /// Since when it is in this state, by the clock of the member that keeps this record.
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
