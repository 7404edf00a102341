//! The options of a test's fleet: its size and the configuration of its members.

/// The number of members of a fleet and their configuration.
#[derive(Clone, Debug)]
pub struct Options {
    /// The largest number of members that run.
    pub members: usize,
    /// `fleet.peers`: the members that each member contacts first, by their numbers.
    pub peers: Vec<usize>,
    /// `fleet.size`: the largest number of members that a member remembers.
    pub size: usize,
    /// The seed of the random faults between members.
    pub seed: u64,
    /// `fleet.founders`: the members that are founders, by their numbers. Without founders there is
    /// no quota.
    pub founders: Vec<usize>,
    /// `fleet.node_calls`: limit of the attempts that all members together have in flight at one
    /// cache node.
    pub node_calls: Option<usize>,
    /// Whether `fleet.policy` is configured, which requires founders.
    pub policy: bool,
}

impl Options {
    /// Returns options for this number of members, each of which has all as its peers.
    pub fn with_members(members: usize) -> Options {
        Options {
            members,
            peers: (0..members).collect(),
            size: 16,
            seed: 1,
            founders: Vec::new(),
            node_calls: None,
            policy: false,
        }
    }
}
