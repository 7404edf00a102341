//! [`MembershipCounters`]: the counters of a member.

/// The counters of a member since it started. `stats` lists each field under another name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Probes sent to members directly.
    pub probes: u64,
    /// Probes that other members were asked to send.
    pub probes_indirect: u64,
    /// Probes that got neither a direct nor an indirect response.
    pub probes_failed: u64,
    /// Members declared failed.
    pub failed: u64,
    /// Members that announced that they leave.
    pub left: u64,
    /// Times that this member rejoined after others had declared it failed.
    pub rejoined: u64,
    /// Suspicions of this member that it refuted.
    pub refuted: u64,
    /// Pauses of this process, detected by timers that were handled late.
    pub pauses: u64,
    /// Members named in the datagrams sent.
    pub updates_sent: u64,
    /// Members named in the datagrams received.
    pub updates_received: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Bytes of the datagrams received.
    pub bytes_received: u64,
    /// Datagrams dropped because they are not of this protocol.
    pub dropped_unknown_protocol: u64,
    /// Datagrams dropped because their format or kind is newer than this program.
    pub dropped_unsupported_version: u64,
    /// Datagrams dropped because they are damaged or have invalid content.
    pub dropped_corrupt: u64,
    /// Datagrams dropped because they are of another fleet.
    pub dropped_other_fleet: u64,
    /// Members rejected because the fleet has reached its configured size.
    pub dropped_fleet_full: u64,
}
