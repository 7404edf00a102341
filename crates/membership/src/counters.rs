//! What a member counts. [`MembershipCounters`] is the only type.

/// What a member has counted since it started. `stats` lists each field under a name of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Probes sent to members directly.
    pub probes: u64,
    /// Probes that other members were asked to make.
    pub probes_indirect: u64,
    /// Probes that nobody answered, directly or indirectly.
    pub probes_failed: u64,
    /// Members found failed.
    pub failed: u64,
    /// Members that announced that they leave.
    pub left: u64,
    /// Times that others took this member for failed and it rejoined.
    pub returned: u64,
    /// Suspicions of this member that it refuted.
    pub refuted: u64,
    /// Times that this process did not run when it had something to do.
    pub stops: u64,
    /// Members named in datagrams sent.
    pub news_sent: u64,
    /// Members named in datagrams received.
    pub news_heard: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Datagrams received.
    pub datagrams_heard: u64,
    /// Bytes of the datagrams received.
    pub bytes_heard: u64,
    /// Datagrams dropped: not of this protocol.
    pub dropped_foreign: u64,
    /// Datagrams dropped: of a newer version of the format.
    pub dropped_too_new: u64,
    /// Datagrams dropped: damaged, or with content that cannot be true.
    pub dropped_spoilt: u64,
    /// Datagrams dropped: of another fleet.
    pub dropped_other_fleet: u64,
    /// Members rejected because the fleet has its full size.
    pub dropped_no_room: u64,
}
