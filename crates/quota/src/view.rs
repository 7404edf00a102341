//! Who decides: processes, ballots, and views, each with its council.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One process. A restart is another one, and knows nothing of what the one before promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Where it is reached: its seat.
    pub address: SocketAddr,
    /// When it started, in Unix microseconds.
    pub start: u64,
}

/// Orders attempts to decide: of two, the later round wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The round.
    pub round: u64,
    /// Whose it is.
    pub who: Process,
}

/// Who votes for stewards, and for the next view.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct View {
    /// The ballot that decided it; a later view has a later one.
    pub ballot: Ballot,
    /// Its number.
    pub number: u64,
    /// The council, in order.
    pub voters: Vec<Process>,
}

impl View {
    /// Whether a process votes in it.
    pub fn is_voter(&self, process: &Process) -> bool {
        self.voters.binary_search(process).is_ok()
    }

    /// How many of its council decide. Danger: two of a fleet of three or more must be among them, or a fleet that is
    /// founded anew by all seats but one could live beside this view.
    pub(crate) fn quorum(&self, least: usize) -> usize {
        (self.voters.len() / 2 + 1).max(least)
    }
}
