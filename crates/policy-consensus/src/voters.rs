//! The voters of a fleet and the sizes of their quorums. Read [`VoterSet`] first.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a voter: its position among the configured founders, from 0.
///
/// Messages and state files encode the number as one byte, like the wrapped `u8`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u8);

impl fmt::Display for VoterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The set of all voters of a fleet, stored as their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterSet(pub u8);

impl VoterSet {
    /// Returns the number of voters.
    #[must_use]
    pub fn size(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the ids of all voters, in ascending order.
    pub fn ids(self) -> impl Iterator<Item = VoterId> {
        (0..self.0).map(VoterId)
    }

    /// Returns the size of a majority quorum. Any two majorities have a voter in common.
    #[must_use]
    pub fn majority(self) -> usize {
        self.size() / 2 + 1
    }

    /// Returns the size of a blocking set: the smallest set of voters that has a member in every
    /// majority, so that no majority can act without that set.
    #[must_use]
    pub fn blocking(self) -> usize {
        self.size() + 1 - self.majority()
    }
}

#[cfg(test)]
mod tests;
