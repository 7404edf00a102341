//! The identity of processes ([`Process`]), the order of proposals ([`Ballot`]) and the sets of
//! voters ([`View`]).

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a process. A restarted process has another identity, since it does not know what
/// its predecessor promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// The address at which the process receives datagrams. A process and its successor may have
    /// the same address.
    pub address: SocketAddr,
    /// The start of the process, in Unix microseconds.
    pub start: u64,
}

/// A ballot number of Paxos, which orders proposals: the later round has precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The number of the round.
    pub round: u64,
    /// The process that proposes in the ballot; orders ballots of the same round.
    pub proposer: Process,
}

/// A numbered set of voters, which elect the leader and decide on the next view.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct View {
    /// The ballot in which the view was proposed; a later view has a later ballot.
    pub ballot: Ballot,
    /// The number of the view, which grows from view to view.
    pub number: u64,
    /// The voters, sorted.
    pub voters: Vec<Process>,
}

impl View {
    /// Returns whether a process is a voter of this view.
    pub fn is_voter(&self, process: &Process) -> bool {
        self.voters.binary_search(process).is_ok()
    }

    /// Returns the size of a quorum, the number of voters that must agree to elect a leader or to
    /// decide on a view: a majority of the voters, and at least `min_quorum`.
    ///
    /// Inputs: the number of voters; the fewest voters that may decide.
    /// Reason: two quorums must intersect. With three founders or more a quorum needs two voters,
    /// since otherwise all founders but one could found a new fleet while the remaining one still
    /// leads this view.
    /// Source: Lamport 1998 (any two quorums intersect).
    pub(crate) fn quorum(&self, min_quorum: usize) -> usize {
        let majority = self.voters.len() / 2 + 1;
        majority.max(min_quorum)
    }
}
