//! The counters of the membership, by the names that `stats` gives them.

use pinetrail_membership::MembershipCounters;

/// All counters, in the order of `stats`.
pub(super) fn by_name(counters: &MembershipCounters, send_failures: u64) -> Vec<(&'static str, u64)> {
    vec![
        ("fleet_probes", counters.probes),
        ("fleet_probes_indirect", counters.probes_indirect),
        ("fleet_probes_failed", counters.probes_failed),
        ("fleet_members_failed", counters.failed),
        ("fleet_members_left", counters.left),
        ("fleet_returned", counters.returned),
        ("fleet_suspicions_refuted", counters.refuted),
        ("fleet_stops", counters.stops),
        ("fleet_news_sent", counters.news_sent),
        ("fleet_news_heard", counters.news_heard),
        ("fleet_datagrams_sent", counters.datagrams_sent),
        ("fleet_bytes_sent", counters.bytes_sent),
        ("fleet_datagrams_heard", counters.datagrams_heard),
        ("fleet_bytes_heard", counters.bytes_heard),
        ("fleet_dropped_foreign", counters.dropped_foreign),
        ("fleet_dropped_too_new", counters.dropped_too_new),
        ("fleet_dropped_spoilt", counters.dropped_spoilt),
        ("fleet_dropped_other_fleet", counters.dropped_other_fleet),
        ("fleet_dropped_no_room", counters.dropped_no_room),
        ("fleet_send_failures", send_failures),
    ]
}

/// The sum of the counters of two members, one of which followed the other.
pub(super) fn sum(a: MembershipCounters, b: MembershipCounters) -> MembershipCounters {
    MembershipCounters {
        probes: a.probes + b.probes,
        probes_indirect: a.probes_indirect + b.probes_indirect,
        probes_failed: a.probes_failed + b.probes_failed,
        failed: a.failed + b.failed,
        left: a.left + b.left,
        returned: a.returned + b.returned,
        refuted: a.refuted + b.refuted,
        stops: a.stops + b.stops,
        news_sent: a.news_sent + b.news_sent,
        news_heard: a.news_heard + b.news_heard,
        datagrams_sent: a.datagrams_sent + b.datagrams_sent,
        bytes_sent: a.bytes_sent + b.bytes_sent,
        datagrams_heard: a.datagrams_heard + b.datagrams_heard,
        bytes_heard: a.bytes_heard + b.bytes_heard,
        dropped_foreign: a.dropped_foreign + b.dropped_foreign,
        dropped_too_new: a.dropped_too_new + b.dropped_too_new,
        dropped_spoilt: a.dropped_spoilt + b.dropped_spoilt,
        dropped_other_fleet: a.dropped_other_fleet + b.dropped_other_fleet,
        dropped_no_room: a.dropped_no_room + b.dropped_no_room,
    }
}
