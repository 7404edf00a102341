//! Who votes: [`Process`], [`Ballot`], and [`View`] with its voters.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One process. After a restart it is another one, which knows nothing of its predecessor's
/// promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Where it receives datagrams. Two processes one after the other may have the same address.
    pub address: SocketAddr,
    /// When it started, in Unix microseconds.
    pub start: u64,
}

/// Orders proposals, as a ballot number does in Paxos: of two, the one of the later round wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The round.
    pub round: u64,
    /// Who proposes in it; breaks ties.
    pub proposer: Process,
}

/// The voters of a time: they elect the leader and decide on the next view.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct View {
    /// The ballot in which it was decided; a later view has a later one.
    pub ballot: Ballot,
    /// Its number, which grows from view to view.
    pub number: u64,
    /// The voters, sorted.
    pub voters: Vec<Process>,
}

impl View {
    /// Whether a process votes in it.
    pub fn is_voter(&self, process: &Process) -> bool {
        self.voters.binary_search(process).is_ok()
    }

    /// How many of its voters decide: a majority, and at least `min_quorum`.
    ///
    /// Danger: two of a fleet of three or more must be among them, or a fleet that is founded anew
    /// by all founders but one could live beside this view.
    pub(crate) fn quorum(&self, min_quorum: usize) -> usize {
        let majority = self.voters.len() / 2 + 1;
        majority.max(min_quorum)
    }
}
