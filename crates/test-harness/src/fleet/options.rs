//! What a fleet of a test is made of.

/// How many members a fleet has, and what their configurations say of each other.
#[derive(Clone, Debug)]
pub struct Options {
    /// How many members run at the most.
    pub members: usize,
    /// The members that each one is configured to contact first, by their numbers.
    pub peers: Vec<usize>,
    /// `fleet.size`: how many members are remembered at the most.
    pub size: usize,
    /// Seeds the random faults between members.
    pub seed: u64,
    /// The members that are founders, by their numbers; without any there is no quota.
    pub founders: Vec<usize>,
    /// `fleet.node_calls`: attempts in flight of all members together at one cache node.
    pub node_calls: Option<usize>,
    /// Whether `fleet.policy` is configured; it needs founders.
    pub policy: bool,
}

impl Options {
    /// So many members that are told of all.
    pub fn of(members: usize) -> Options {
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
