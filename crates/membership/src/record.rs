//! What is believed of one member and since when ([`MemberRecord`]), and on which side of a
//! partition this member is.

use crate::Time;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    Alive,
    /// It answered neither a direct nor an indirect probe; it may still refute the suspicion.
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
    /// When its process started, in Unix microseconds: this tells processes of one name apart.
    pub start: u64,
    /// Where it is reached.
    pub address: SocketAddr,
    /// What is believed of it.
    pub state: State,
    /// How often it refuted a suspicion since it joined or rejoined.
    pub incarnation: u16,
    /// Since when this is believed, on the clock of the member that believes it.
    pub since: Time,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Failed => "failed",
            State::Left => "left",
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
