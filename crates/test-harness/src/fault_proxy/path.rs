//! The faults and the counts of a directed path between two members.

use std::time::Duration;

/// A directed path between two members, by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Path {
    pub(super) from: usize,
    pub(super) to: usize,
}

impl Path {
    /// Returns the path in the opposite direction.
    pub(super) fn reversed(self) -> Path {
        Path { from: self.to, to: self.from }
    }
}

/// The faults of one directed path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathFaults {
    /// Whether nothing passes: datagrams are lost, and the bytes of connections are held back.
    pub partitioned: bool,
    /// The share of datagrams that is lost, from 0 to 1.
    pub loss: f64,
    /// The share of datagrams that arrives twice, from 0 to 1.
    pub duplicated: f64,
    /// The share of datagrams in which one bit is inverted, from 0 to 1.
    pub corrupted: f64,
    /// The shortest delay of a datagram.
    pub min_delay: Duration,
    /// The longest delay of a datagram. Datagrams with different delays may be reordered. On a
    /// connection, the bytes of every read are delayed by this time.
    pub max_delay: Duration,
    /// Limit of bytes per second on a connection; `None` for no limit.
    pub max_bytes_per_s: Option<u64>,
}

impl PathFaults {
    /// No faults: the initial state of every path.
    pub(super) const NONE: PathFaults = PathFaults {
        partitioned: false,
        loss: 0.0,
        duplicated: 0.0,
        corrupted: 0.0,
        min_delay: Duration::ZERO,
        max_delay: Duration::ZERO,
        max_bytes_per_s: None,
    };
}

/// The numbers of datagrams that a path has delivered and lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathCounts {
    /// The number of datagrams that were forwarded to the receiver.
    pub delivered: u64,
    /// The number of datagrams that were lost, at random or to a partition.
    pub lost: u64,
}
