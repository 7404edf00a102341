//! The size and configuration of a test's fleet.

/// How many members a fleet has, and how they are configured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The most members that run.
    pub members: usize,
    /// The members that each one is configured to contact first, by their numbers.
    pub peers: Vec<usize>,
    /// `fleet.size`: the most members that are remembered.
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
    /// This many members, each configured with the addresses of all.
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
