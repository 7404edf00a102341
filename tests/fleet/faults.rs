//! Hard cases of the membership protocol with real processes. `crates/membership/tests/hard_cases`
//! has the same cases in simulated time, over many seeds.

use crate::{failure_report_count, joined_fleet, ms, nodes, origin, ALL};
use pinetrail_test_harness::fleet::{Fleet, Options};
use pinetrail_test_harness::script::Script;
use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::thread::sleep;

#[test]
fn all_members_learn_of_a_death_and_of_the_return() {
    let mut fleet = joined_fleet(Options::with_members(5));
    assert!(ALL.iter().all(|member| fleet.report(*member).unwrap().side == "whole"));
    fleet.kill(3);
    let reported =
        |fleet: &Fleet, member: usize| fleet.report(member).unwrap().names_in_state("failed") == ["n3"];
    fleet.wait_until("n3 has failed", |fleet| [0, 1, 2, 4].iter().all(|member| reported(fleet, *member)));
    assert_eq!(fleet.report(0).unwrap().side, "majority");
    fleet.start(3);
    fleet.wait_until("all are alive", |fleet| fleet.all_agree(&ALL));
    fleet.wait_until("the membership is whole", |fleet| fleet.report(0).unwrap().side == "whole");
}

/// Guards against datagrams that bypass a partition by another path, because members know each
/// other by other addresses than those of the fault proxies.
#[test]
fn a_partitioned_path_carries_nothing() {
    let fleet = joined_fleet(Options::with_members(3));
    fleet.partition(&[&[0], &[1, 2]]);
    // Datagrams in flight are lost as well.
    let paths = [(0, 1), (0, 2), (1, 0), (2, 0)];
    let delivered_counts = || paths.map(|(from, to)| fleet.datagram_faults.counts(from, to).delivered);
    let before = delivered_counts();
    let is_alone = |fleet: &Fleet| fleet.report(0).unwrap().side == "alone";
    fleet.wait_until("n0 is alone", is_alone);
    assert_eq!(delivered_counts(), before);
    assert!(
        paths.iter().all(|(from, to)| fleet.datagram_faults.counts(*from, *to).lost > 0),
        "the probes continued"
    );
    // Members know each other only by the addresses of the fault proxies.
    let advertised: BTreeSet<String> =
        (0..3).map(|member| fleet.advertised_address(member).to_string()).collect();
    for member in 0..3 {
        let report = fleet.report(member).unwrap();
        assert!(
            report.members.values().all(|member| advertised.contains(&member.address)),
            "{}",
            report.json
        );
    }
}

#[test]
fn a_member_stopped_for_450_ms_again_and_again_never_fails() {
    let fleet = joined_fleet(Options::with_members(5));
    for _ in 0..12 {
        fleet.process(1).signal("STOP");
        sleep(ms(450));
        fleet.process(1).signal("CONT");
        sleep(ms(150));
    }
    fleet.wait_until("no member suspects n1", |fleet| fleet.all_agree(&ALL));
    assert_eq!(failure_report_count(&fleet), 0, "{}", fleet.timeline);
}

/// Guards against a process that takes its own pause for the failure of others: it is stopped while
/// it suspects a member, whose refutation is still unread when it resumes.
#[test]
fn a_member_stopped_for_10_s_rejoins_and_declares_no_other_failed() {
    let fleet = joined_fleet(Options::with_members(5));
    let started_ms = fleet.timeline.elapsed_ms();
    fleet.process(0).signal("STOP");
    fleet.wait_until("n2 suspects another member", |fleet| {
        fleet.timeline.first_match("n2", "alive -> suspect", started_ms).is_some()
    });
    fleet.process(2).signal("STOP");
    fleet.process(0).signal("CONT");
    let reported =
        |fleet: &Fleet, member: usize| fleet.report(member).unwrap().names_in_state("failed") == ["n2"];
    fleet.wait_until("n2 has failed", |fleet| [0, 1, 3, 4].iter().all(|member| reported(fleet, *member)));
    sleep(ms(7_500));
    let resumed_ms = fleet.timeline.elapsed_ms();
    fleet.process(2).signal("CONT");
    fleet.wait_until("all are alive", |fleet| fleet.all_agree(&ALL));
    assert!(fleet.timeline.first_match("n2", "did not run for", resumed_ms).is_some());
    assert!(fleet.timeline.first_match("n2", "-> failed", resumed_ms).is_none(), "{}", fleet.timeline);
}

/// Guards against a path that is partitioned in one direction and causes suspicions at nearly every
/// probe: indirect probes by other members must prevent this.
#[test]
fn a_path_partitioned_in_one_direction_fails_no_member() {
    let fleet = joined_fleet(Options::with_members(5));
    let started_ms = fleet.timeline.elapsed_ms();
    fleet.datagram_faults.change_path(0, 1, |path| path.partitioned = true);
    sleep(ms(10_000));
    assert_eq!(failure_report_count(&fleet), 0, "{}", fleet.timeline);
    assert!(fleet.datagram_faults.counts(0, 1).lost > 0);
    let suspected = fleet.timeline.count_matches("n0", "alive -> suspect", started_ms);
    assert!(suspected <= 2, "{}", fleet.timeline);
}

/// Guards against sides that do not merge after a partition, and against a side that reports itself
/// as whole because a member restarted during the partition.
#[test]
fn both_sides_of_a_partition_report_it_and_heal_without_a_restart() {
    let mut fleet = joined_fleet(Options::with_members(5));
    fleet.partition(&[&[0, 1, 2], &[3, 4]]);
    let sides = |fleet: &Fleet| ALL.map(|member| fleet.report(member).unwrap().side);
    let split = ["majority", "majority", "majority", "minority", "minority"];
    let failed = |fleet: &Fleet, member: usize, names: &[&str]| {
        fleet.report(member).is_some_and(|report| report.names_in_state("failed") == names)
    };
    // A side reports a majority as soon as one of the two others has failed, so the failed members
    // are compared as well.
    fleet.wait_until("both sides report the partition", |fleet| {
        sides(fleet) == split && failed(fleet, 0, &["n3", "n4"]) && failed(fleet, 4, &["n0", "n1", "n2"])
    });
    for member in [0, 4] {
        fleet.kill(member);
        fleet.start(member);
    }
    fleet.wait_until("both sides are as before", |fleet| sides(fleet) == split);
    let healed_ms = fleet.timeline.elapsed_ms();
    fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
    fleet.wait_until("the fleet is whole", |fleet| fleet.all_agree(&ALL) && sides(fleet) == ["whole"; 5]);
    assert!(
        fleet.timeline.first_match("harness", "start", healed_ms).is_none(),
        "the sides merged without a restart"
    );
}

#[test]
fn members_that_restart_together_join_through_their_peers() {
    let mut fleet = joined_fleet(Options::with_members(5));
    for member in &ALL {
        fleet.kill(*member);
    }
    for member in &ALL {
        fleet.start(*member);
    }
    fleet.wait_until("all have joined", |fleet| fleet.all_agree(&ALL));
}

#[test]
fn members_join_though_the_only_configured_peer_is_down() {
    let mut fleet = joined_fleet(Options { peers: vec![0], ..Options::with_members(4) });
    fleet.kill(0);
    fleet.wait_until("the others stay together", |fleet| fleet.all_agree(&[1, 2, 3]));
    fleet.kill(3);
    fleet.start(3);
    fleet.wait_until("the others contact the restarted member", |fleet| fleet.all_agree(&[1, 2, 3]));
    fleet.start(0);
    fleet.wait_until("n0 has joined", |fleet| fleet.all_agree(&[0, 1, 2, 3]));
}

#[test]
fn five_percent_loss_and_reordering_fail_no_member() {
    let fleet = joined_fleet(Options::with_members(5));
    fleet.datagram_faults.change_all_paths(|path| {
        path.loss = 0.05;
        path.duplicated = 0.1;
        path.corrupted = 0.01;
        path.max_delay = ms(40);
    });
    sleep(ms(12_000));
    assert_eq!(failure_report_count(&fleet), 0, "{}", fleet.timeline);
}

#[test]
fn a_member_may_return_at_another_address() {
    // The last address is reserved for the move.
    let mut fleet =
        Fleet::new(Options { peers: vec![0, 1, 2], ..Options::with_members(4) }, nodes(), origin());
    for member in 0..3 {
        fleet.start(member);
    }
    fleet.wait_until("all have joined", |fleet| fleet.all_agree(&[0, 1, 2]));
    fleet.kill(2);
    let mut moved = fleet.config(3, &[0, 1]);
    moved["name"] = "n2".into();
    fleet.set_config(3, &moved);
    fleet.start(3);
    let is_at_new_address = |fleet: &Fleet| {
        [0, 1, 3].iter().all(|member| {
            let report = fleet.report(*member).unwrap();
            report.members["n2"].is_alive_at(fleet.advertised_address(3)) && report.members.len() == 3
        })
    };
    fleet.wait_until("the others know its new address", is_at_new_address);
    sleep(ms(3_000));
    assert!(is_at_new_address(&fleet));
    assert_eq!(fleet.report(0).unwrap().side, "whole");
}

/// Guards against a flood of datagrams that keeps the worker from serving clients, or changes the
/// membership.
#[test]
fn a_flood_of_malformed_datagrams_delays_no_client() {
    let fleet = joined_fleet(Options::with_members(3));
    let (to, started_ms) = (fleet.member_address(0), fleet.timeline.elapsed_ms());
    let flood = std::thread::spawn(move || {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        for n in 0..60_000u32 {
            let mut bytes = [0x70, 0x74, 1, (n % 7) as u8, 1, 2, 3, 4, 6].to_vec();
            bytes.extend_from_slice(b"gdynia");
            bytes.extend((0..n % 900).map(|at| (at * n) as u8));
            // The socket's buffer may be full.
            let _ = socket.send_to(&bytes, to);
        }
    });
    let mut client = fleet.client(0);
    for n in 0..300 {
        assert_eq!(client.get(&format!("k{n}"), &n.to_string(), 900).1, "v\r\n");
    }
    flood.join().unwrap();
    fleet.wait_until("no member suspects another", |fleet| fleet.all_agree(&[0, 1, 2]));
    assert!(fleet.timeline.first_match("n0", "-> failed", started_ms).is_none());
    let mut stats = fleet.client(0);
    stats.send("stats\r\n");
    let lines: Vec<String> =
        std::iter::from_fn(|| Some(stats.read_line()).filter(|line| line != "END\r\n")).collect();
    let counter = |name: &str| {
        let line = lines.iter().find_map(|line| line.strip_prefix(&format!("STAT {name} "))).unwrap();
        line.trim().parse::<u64>().unwrap()
    };
    assert!(counter("fleet_dropped_spoilt") > 1_000);
    assert_eq!(counter("panics"), 0);
}

#[test]
fn a_reload_with_other_peers_during_a_join_contacts_them() {
    let mut fleet = Fleet::new(Options::with_members(4), nodes(), origin());
    for member in 0..3 {
        fleet.start(member);
    }
    // Its only configured peer does not exist.
    let isolated = fleet.config(3, &[]);
    let mut absent_peer = isolated.clone();
    absent_peer["fleet"]["peers"] = serde_json::json!(["127.0.0.1:9"]);
    fleet.set_config(3, &absent_peer);
    fleet.start(3);
    assert_eq!(fleet.report(3).unwrap().side, "alone");
    // Invalid peers change nothing; valid ones are contacted at once.
    let mut reloaded = fleet.config(3, &[1]);
    for (peers, side) in [
        (serde_json::json!([fleet.advertised_address(3).to_string()]), "alone"),
        (reloaded["fleet"]["peers"].clone(), "whole"),
    ] {
        reloaded["fleet"]["peers"] = peers;
        fleet.set_config(3, &reloaded);
        fleet.process(3).signal("HUP");
        fleet.wait_until("the reload is handled", |fleet| {
            let log = fleet.timeline.to_string();
            log.contains("reload: the old configuration stays") && fleet.report(3).unwrap().side == side
        });
    }
    fleet.wait_until("all have joined", |fleet| fleet.all_agree(&[0, 1, 2, 3]));
}

/// Guards against a membership that depends on discovery.
#[test]
fn members_join_and_notice_a_death_while_discovery_is_down() {
    let mut fleet = Fleet::new(Options::with_members(3), nodes(), origin());
    fleet.discovery.set_down(true);
    for member in 0..3 {
        fleet.start(member);
    }
    fleet.wait_until("all have joined", |fleet| fleet.all_agree(&[0, 1, 2]));
    fleet.kill(1);
    fleet.wait_until("n1 has failed", |fleet| fleet.all_agree(&[0, 2]));
    assert_eq!(fleet.client(0).get("k", "1", 900).1, "v\r\n", "served by the last known list");
}

/// Guards against members that still disagree after a seeded sequence of faults of every kind.
#[test]
fn all_members_agree_after_seeded_faults() {
    for seed in [1, 2] {
        let mut fleet = joined_fleet(Options { seed, ..Options::with_members(5) });
        let script = Script::from_seed(seed, 5, 6, 12_000);
        fleet.run_script(&script);
        fleet.wait_until("all agree", |fleet| fleet.all_agree(&ALL));
    }
}
