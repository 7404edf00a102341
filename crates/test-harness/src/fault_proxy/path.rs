//! The faults of one directed path between two members, and its counters.

use std::time::Duration;

/// A directed path between two members, by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Path {
    pub(super) from: usize,
    pub(super) to: usize,
}

impl Path {
    /// The path in the other direction.
    pub(super) fn reversed(self) -> Path {
        Path { from: self.to, to: self.from }
    }
}

/// The faults of one directed path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathFaults {
    /// Nothing passes.
    pub partitioned: bool,
    /// The share of datagrams that is lost, from 0 to 1.
    pub loss: f64,
    /// The share that arrives twice, from 0 to 1.
    pub duplicated: f64,
    /// The share in which one bit arrives inverted, from 0 to 1.
    pub corrupted: f64,
    /// The shortest time that a datagram takes.
    pub min_delay: Duration,
    /// The longest time that it takes. Datagrams with different delays are reordered. On a
    /// connection every read takes this long.
    pub max_delay: Duration,
    /// The most bytes a second that pass on a connection; none for no limit.
    pub max_bytes_per_s: Option<u64>,
}

impl PathFaults {
    /// A path without any fault.
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

/// How many datagrams a path has delivered and lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathCounts {
    /// Forwarded to the receiver.
    pub delivered: u64,
    /// Lost, at random or in a partition.
    pub lost: u64,
}
