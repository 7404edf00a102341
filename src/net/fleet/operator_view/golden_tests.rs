//! Golden tests of what operators see of a fleet: the JSON of `/control/fleet`, the names in
//! `stats` and the lines of the log. Operators' tools parse them, so a rename in the code must not
//! change them.

use super::{membership_counters_by_name, membership_log_line, report, sum_membership_counters, QuotaStatus};
use crate::interface::FleetLimits;
use crate::net::fleet::quota::QuotaDriver;
use pinetrail_config::QuotaConfig;
use pinetrail_membership::{
    MemberRecord, MemberState, Membership, MembershipCounters, MembershipEvent, NameConflict, NameHolder,
    Output, PartitionSide, Settings, Timestamp, Timing,
};
use std::net::SocketAddr;
use std::time::Duration;

/// The start of the process, in Unix milliseconds.
const STARTED_AT_UNIX_MS: u64 = 1_700_000_000_000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(name: &str, port: u16, peers: &[u16], start: u64) -> Membership {
    let settings = Settings {
        fleet: "golden".into(),
        name: name.into(),
        advertise: address(port),
        peers: peers.iter().map(|port| address(*port)).collect(),
        size: 4,
        timing: Timing::default(),
    };
    Membership::new(settings, start, u64::from(port), Timestamp::ZERO).unwrap()
}

/// Runs the members from one time to another, in ms; datagrams are delivered without delay.
fn run(members: &mut [Membership], from: u64, until: u64) {
    for now in (from..until).map(Timestamp::from_millis) {
        let mut sent: Vec<(SocketAddr, SocketAddr, Vec<u8>)> = Vec::new();
        for member in &mut *members {
            if member.next_timeout().is_some_and(|due| due <= now) {
                let mut out = Vec::new();
                member.handle_timeout(now, &mut out);
                sent.extend(datagrams(member, out));
            }
        }
        while let Some((source, to, bytes)) = sent.pop() {
            for member in members.iter_mut().filter(|member| member.local_id().address == to) {
                let mut out = Vec::new();
                member.handle_datagram(now, source, &bytes, &mut out);
                sent.extend(datagrams(member, out));
            }
        }
    }
}

fn datagrams(member: &Membership, out: Vec<Output>) -> Vec<(SocketAddr, SocketAddr, Vec<u8>)> {
    let source = member.local_id().address;
    let sent = out.into_iter().filter_map(|output| match output {
        Output::Send(to, bytes) => Some((source, to, bytes.to_vec())),
        _ => None,
    });
    sent.collect()
}

fn quota_config() -> QuotaConfig {
    let founders = vec![address(7101), address(7102), address(7103)];
    let settings = pinetrail_quota::Settings::with_defaults(founders, 4);
    QuotaConfig { settings, limits: FleetLimits { per_node: 100.0, origin: 50.0 } }
}

/// Returns the JSON of a member in a report. `since` is in ms after [`STARTED_AT_UNIX_MS`].
fn member_json(name: &str, port: u16, state: &str, incarnation: u16, since: u64) -> String {
    let since = STARTED_AT_UNIX_MS + since;
    format!(
        concat!(
            r#"{{"name":"{}","address":"127.0.0.1:{}","state":"{}","#,
            r#""incarnation":{},"since_ms":{}}}"#
        ),
        name, port, state, incarnation, since
    )
}

fn report_json(side: &str, members: &[String], rest: &str) -> String {
    let members = members.join(",");
    format!(r#"{{"self":"a","side":"{side}","members":[{members}]{rest}}}"#)
}

fn report_json_alone(side: &str, state: &str) -> String {
    report_json(side, &[member_json("a", 7101, state, 0, 0)], "")
}

fn report_of(member: &Membership) -> String {
    report(member, STARTED_AT_UNIX_MS, None)
}

#[test]
fn the_report_of_a_member_alone_is_the_recorded_text() {
    let alone = member("a", 7101, &[], 1);
    assert_eq!(report_of(&alone), report_json_alone("whole", "alive"));
    let unconnected = member("a", 7101, &[7102], 1);
    assert_eq!(report_of(&unconnected), report_json_alone("alone", "alive"));
}

#[test]
fn the_report_of_a_member_that_has_left_is_the_recorded_text() {
    let mut left = member("a", 7101, &[], 1);
    left.leave(Timestamp::from_millis(5), &mut Vec::new());
    assert_eq!(report_of(&left), report_json_alone("whole", "left"));
}

#[test]
fn the_report_of_three_members_is_the_recorded_text_in_each_state() {
    let mut all = vec![
        member("a", 7101, &[7102, 7103], 1),
        member("b", 7102, &[7101], 2),
        member("c", 7103, &[7101], 3),
    ];
    run(&mut all, 0, 1000);
    let three = |side: &str, b: (&str, u64), c: (&str, u64)| {
        let (a, b) = (member_json("a", 7101, "alive", 0, 0), member_json("b", 7102, b.0, 0, b.1));
        report_json(side, &[a, b, member_json("c", 7103, c.0, 0, c.1)], "")
    };
    let (alive, left) = (("alive", 0), ("left", 1000));
    assert_eq!(report_of(&all[0]), three("whole", alive, alive));
    let mut leaver = all.pop().unwrap();
    let mut out = Vec::new();
    let left_at = Timestamp::from_millis(1000);
    leaver.leave(left_at, &mut out);
    for (source, to, bytes) in datagrams(&leaver, out) {
        for member in all.iter_mut().filter(|member| member.local_id().address == to) {
            member.handle_datagram(left_at, source, &bytes, &mut Vec::new());
        }
    }
    assert_eq!(report_of(&all[0]), three("whole", alive, left));
    all.truncate(1);
    let mut now = 1000;
    let mut until = |word: &str, all: &mut [Membership]| {
        while !report_of(&all[0]).contains(word) {
            run(all, now, now + 1);
            now += 1;
            assert!(now < 10_000, "the report does not contain {word:?}");
        }
        report_of(&all[0])
    };
    assert_eq!(until("suspect", &mut all), three("whole", ("suspect", 1600), left));
    assert_eq!(until("failed", &mut all), three("alone", ("failed", 2600), left));
}

#[test]
fn the_report_of_a_name_conflict_is_the_recorded_text_at_both() {
    let (earlier, later) = (member("a", 7101, &[7102], 1), member("a", 7103, &[7102], 3));
    let mut all = vec![earlier, member("b", 7102, &[7101], 2), later];
    run(&mut all, 0, 3000);
    let both = |port| [member_json("a", port, "alive", 0, 0), member_json("b", 7102, "alive", 0, 0)];
    let earlier = r#","rival":{"address":"127.0.0.1:7103","counts":true}"#;
    assert_eq!(report_of(&all[0]), report_json("alone", &both(7101), earlier));
    let later = r#","rival":{"address":"127.0.0.1:7101","counts":false}"#;
    assert_eq!(report_of(&all[2]), report_json("whole", &both(7103), later));
}

#[test]
fn the_report_with_quota_is_the_recorded_text() {
    let alone = member("a", 7101, &[], 1);
    let status = QuotaStatus { fraction: 0.5, guaranteed: 0.125, lease_ms: 1234, view: 7, is_leader: true };
    let rest = r#","share":0.5,"base":0.125,"lease_ms":1234,"view":7,"steward":true"#;
    let recorded = report_json("whole", &[member_json("a", 7101, "alive", 0, 0)], rest);
    assert_eq!(report(&alone, STARTED_AT_UNIX_MS, Some(status)), recorded);
}

#[test]
fn the_quota_of_a_process_that_has_just_started_is_the_recorded_text() {
    let alone = member("a", 7101, &[], 1);
    let quota = QuotaDriver::new(quota_config(), &alone, Timestamp::ZERO);
    let recorded = r#"{"share":0.125,"base":0.125,"lease_ms":0,"view":0,"steward":false}"#;
    assert_eq!(serde_json::to_string(&quota.status(Timestamp::ZERO)).unwrap(), recorded);
}

#[test]
fn names_of_quota_counters_are_the_recorded_list_in_its_order() {
    let alone = member("a", 7101, &[], 1);
    let recorded = [
        ("fleet_leases_granted", 0),
        ("fleet_leases_refused", 0),
        ("fleet_leases_ended", 0),
        ("fleet_stewardships", 0),
        ("fleet_shares_unheard", 0),
    ];
    assert_eq!(QuotaDriver::new(quota_config(), &alone, Timestamp::ZERO).counters(), recorded);
}

fn counters() -> MembershipCounters {
    MembershipCounters {
        probes: 1,
        probes_indirect: 2,
        probes_failed: 3,
        failed: 4,
        left: 5,
        rejoined: 6,
        refuted: 7,
        pauses: 8,
        updates_sent: 9,
        updates_received: 10,
        datagrams_sent: 11,
        bytes_sent: 12,
        datagrams_received: 13,
        bytes_received: 14,
        dropped_unknown_protocol: 15,
        dropped_unsupported_version: 16,
        dropped_corrupt: 17,
        dropped_other_fleet: 18,
        dropped_fleet_full: 19,
    }
}

#[test]
fn names_of_membership_counters_are_the_recorded_list_in_its_order() {
    let recorded = [
        ("fleet_probes", 1),
        ("fleet_probes_indirect", 2),
        ("fleet_probes_failed", 3),
        ("fleet_members_failed", 4),
        ("fleet_members_left", 5),
        ("fleet_returned", 6),
        ("fleet_suspicions_refuted", 7),
        ("fleet_stops", 8),
        ("fleet_news_sent", 9),
        ("fleet_news_heard", 10),
        ("fleet_datagrams_sent", 11),
        ("fleet_bytes_sent", 12),
        ("fleet_datagrams_heard", 13),
        ("fleet_bytes_heard", 14),
        ("fleet_dropped_foreign", 15),
        ("fleet_dropped_too_new", 16),
        ("fleet_dropped_spoilt", 17),
        ("fleet_dropped_other_fleet", 18),
        ("fleet_dropped_no_room", 19),
        ("fleet_send_failures", 20),
    ];
    assert_eq!(membership_counters_by_name(&counters(), 20), recorded);
    let doubled: Vec<_> = recorded.map(|(name, count)| (name, count * 2)).into();
    assert_eq!(membership_counters_by_name(&sum_membership_counters(counters(), counters()), 40), doubled);
}

fn entry(state: MemberState, start: u64) -> MemberRecord {
    MemberRecord {
        name: "b".into(),
        start,
        address: address(7102),
        state,
        incarnation: 0,
        since: Timestamp::ZERO,
    }
}

#[test]
fn lines_about_a_member_are_the_recorded_texts() {
    let line = |state, previous| {
        membership_log_line(&MembershipEvent::MemberChanged { record: entry(state, 2), previous })
    };
    let from_alive = |state| line(state, Some((2, MemberState::Alive)));
    assert_eq!(line(MemberState::Alive, None), "b at 127.0.0.1:7102 is alive");
    assert_eq!(
        from_alive(MemberState::Suspect),
        "b at 127.0.0.1:7102: alive -> suspect, no response to a probe"
    );
    assert_eq!(
        from_alive(MemberState::Failed),
        "b at 127.0.0.1:7102: alive -> failed, the suspicion was not refuted in time"
    );
    assert_eq!(from_alive(MemberState::Left), "b at 127.0.0.1:7102: alive -> left");
    let replaced = "b is a new process, at 127.0.0.1:7102: alive; the previous process was failed";
    assert_eq!(line(MemberState::Alive, Some((1, MemberState::Failed))), replaced);
    assert_eq!(
        membership_log_line(&MembershipEvent::Forgotten("b".into())),
        "b is removed from the member list"
    );
}

#[test]
fn lines_about_the_fleet_are_the_recorded_texts() {
    let side = |side| membership_log_line(&MembershipEvent::PartitionSide(side));
    assert_eq!(side(PartitionSide::Whole), "partition side of this member: whole");
    assert_eq!(side(PartitionSide::Majority), "partition side of this member: majority");
    assert_eq!(side(PartitionSide::Minority), "partition side of this member: minority");
    assert_eq!(side(PartitionSide::Alone), "partition side of this member: alone");
    let later = concat!(
        "ERROR: another process at 127.0.0.1:7102 has this one's name and started later: ",
        "the fleet counts that process as the member and excludes this one",
    );
    let earlier = concat!(
        "ERROR: another process at 127.0.0.1:7102 has this one's name and started earlier: ",
        "the fleet counts this process as the member and excludes that one",
    );
    let conflict = |holder| MembershipEvent::NameConflict(NameConflict { other: address(7102), holder });
    assert_eq!(membership_log_line(&conflict(NameHolder::OtherProcess)), later);
    assert_eq!(membership_log_line(&conflict(NameHolder::ThisProcess)), earlier);
    assert_eq!(
        membership_log_line(&MembershipEvent::NameConflictEnded),
        "name conflict ended: the other process with this one's name is gone"
    );
    let full = "ERROR: 127.0.0.1:7102 has no room for this member: its fleet.size is 4";
    assert_eq!(membership_log_line(&MembershipEvent::FleetFull(address(7102), 4)), full);
    assert_eq!(
        membership_log_line(&MembershipEvent::Rejoined),
        "other members had declared this member failed; it has rejoined"
    );
    assert_eq!(
        membership_log_line(&MembershipEvent::Paused(Duration::from_millis(9))),
        "this process did not run for 9 ms; its timers are postponed by this time"
    );
}
