//! The voters of a fleet and the sizes of their quorums. Read [`VoterSet`] first.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a voter: its position among the configured founders, from 0.
///
/// In messages and state files it is one byte, like the `u8` that it wraps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u8);

impl fmt::Display for VoterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// All voters of a fleet; holds how many there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterSet(pub u8);

impl VoterSet {
    /// How many voters there are.
    #[must_use]
    pub fn size(self) -> usize {
        usize::from(self.0)
    }

    /// The numbers of all voters, in ascending order.
    pub fn ids(self) -> impl Iterator<Item = VoterId> {
        (0..self.0).map(VoterId)
    }

    /// The size of a majority.
    #[must_use]
    pub fn majority(self) -> usize {
        self.size() / 2 + 1
    }

    /// The size of the smallest set that intersects every majority: without its members there is
    /// none.
    #[must_use]
    pub fn blocking(self) -> usize {
        self.size() + 1 - self.majority()
    }
}

#[cfg(test)]
mod tests;
