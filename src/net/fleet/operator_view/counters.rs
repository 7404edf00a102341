//! The counters of the membership and the quota, by their names in `stats`, and sums of them.

use pinetrail_membership::MembershipCounters;
use pinetrail_quota::QuotaCounters;

/// Returns the counters of the membership, in the order of `stats`.
pub(in crate::net::fleet) fn membership_counters_by_name(
    counters: &MembershipCounters,
    send_failures: u64,
) -> Vec<(&'static str, u64)> {
    vec![
        ("fleet_probes", counters.probes),
        ("fleet_probes_indirect", counters.probes_indirect),
        ("fleet_probes_failed", counters.probes_failed),
        ("fleet_members_failed", counters.failed),
        ("fleet_members_left", counters.left),
        ("fleet_returned", counters.rejoined),
        ("fleet_suspicions_refuted", counters.refuted),
        ("fleet_stops", counters.pauses),
        ("fleet_news_sent", counters.updates_sent),
        ("fleet_news_heard", counters.updates_received),
        ("fleet_datagrams_sent", counters.datagrams_sent),
        ("fleet_bytes_sent", counters.bytes_sent),
        ("fleet_datagrams_heard", counters.datagrams_received),
        ("fleet_bytes_heard", counters.bytes_received),
        ("fleet_dropped_foreign", counters.dropped_unknown_protocol),
        ("fleet_dropped_too_new", counters.dropped_unsupported_version),
        ("fleet_dropped_spoilt", counters.dropped_corrupt),
        ("fleet_dropped_other_fleet", counters.dropped_other_fleet),
        ("fleet_dropped_no_room", counters.dropped_fleet_full),
        ("fleet_send_failures", send_failures),
    ]
}

/// Returns the counters of the quota, in the order of `stats`. `rejected_messages` is the number of
/// messages that could not be decoded.
pub(in crate::net::fleet) fn quota_counters_by_name(
    counters: &QuotaCounters,
    rejected_messages: u64,
) -> Vec<(&'static str, u64)> {
    vec![
        ("fleet_leases_granted", counters.leases_granted),
        ("fleet_leases_refused", counters.leases_rejected),
        ("fleet_leases_ended", counters.leases_expired),
        ("fleet_stewardships", counters.terms_led),
        ("fleet_shares_unheard", rejected_messages),
    ]
}

/// Returns the sums of the quota counters before and after a restart of the quota.
pub(in crate::net::fleet) fn sum_quota_counters(a: QuotaCounters, b: QuotaCounters) -> QuotaCounters {
    QuotaCounters {
        leases_granted: a.leases_granted + b.leases_granted,
        leases_rejected: a.leases_rejected + b.leases_rejected,
        leases_expired: a.leases_expired + b.leases_expired,
        terms_led: a.terms_led + b.terms_led,
    }
}

/// Returns the sums of the counters of two successive memberships of this process.
pub(in crate::net::fleet) fn sum_membership_counters(
    a: MembershipCounters,
    b: MembershipCounters,
) -> MembershipCounters {
    MembershipCounters {
        probes: a.probes + b.probes,
        probes_indirect: a.probes_indirect + b.probes_indirect,
        probes_failed: a.probes_failed + b.probes_failed,
        failed: a.failed + b.failed,
        left: a.left + b.left,
        rejoined: a.rejoined + b.rejoined,
        refuted: a.refuted + b.refuted,
        pauses: a.pauses + b.pauses,
        updates_sent: a.updates_sent + b.updates_sent,
        updates_received: a.updates_received + b.updates_received,
        datagrams_sent: a.datagrams_sent + b.datagrams_sent,
        bytes_sent: a.bytes_sent + b.bytes_sent,
        datagrams_received: a.datagrams_received + b.datagrams_received,
        bytes_received: a.bytes_received + b.bytes_received,
        dropped_unknown_protocol: a.dropped_unknown_protocol + b.dropped_unknown_protocol,
        dropped_unsupported_version: a.dropped_unsupported_version + b.dropped_unsupported_version,
        dropped_corrupt: a.dropped_corrupt + b.dropped_corrupt,
        dropped_other_fleet: a.dropped_other_fleet + b.dropped_other_fleet,
        dropped_fleet_full: a.dropped_fleet_full + b.dropped_fleet_full,
    }
}
