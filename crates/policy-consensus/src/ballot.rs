//! Ballots: who proposes, in which round.

use serde::{Deserialize, Serialize};

/// A ballot. Of two the later one wins; no two proposers have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The round.
    pub round: u64,
    /// The proposer: a hash of its process.
    pub by: u64,
}

impl Ballot {
    /// A ballot of this proposer beyond all that are known.
    pub fn beyond(known: Ballot, by: u64) -> Ballot {
        Ballot { round: known.round + 1, by }
    }
}
