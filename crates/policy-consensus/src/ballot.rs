//! Ballot numbers of Paxos. See [`Ballot`].

use serde::{Deserialize, Serialize};

/// A ballot number, as in Paxos: ordered by round, then by proposer. No two proposers use the same
/// number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The round of the ballot.
    pub round: u64,
    /// The hash that identifies the proposing process.
    pub proposer: u64,
}

impl Ballot {
    /// Returns the next ballot of a proposer: one round above the highest ballot that the proposer
    /// has seen.
    #[must_use]
    pub fn next_after(highest: Ballot, proposer: u64) -> Ballot {
        Ballot { round: highest.round + 1, proposer }
    }
}
