//! Quotas of real processes under faults between them, as their admin servers report them, and the
//! attempts that the stub nodes count.

use crate::{joined_fleet, ms, nodes, origin, ALL};
use pinetrail_test_harness::fleet::{Fleet, Options};
use pinetrail_test_harness::recorder::Recorder;
use pinetrail_test_harness::script::Script;
use pinetrail_test_harness::{StubAction, StubServer};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};

/// Limit of attempts in flight at one node, for all members together.
const NODE_ATTEMPT_LIMIT: usize = 24;
/// Longest duration of an attempt, in ms, as the harness configures it.
const MAX_ATTEMPT_MS: f64 = 1000.0;
/// Tolerance for the rounding of reported quotas.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Returns the options of a fleet with a quota in which all members are founders.
fn all_founders(members: usize) -> Options {
    Options { founders: (0..members).collect(), size: members + 1, ..Options::with_members(members) }
}

fn reported_number(fleet: &Fleet, member: usize, field: &str) -> f64 {
    fleet.report(member).map_or(0.0, |report| report.json[field].as_f64().unwrap_or(f64::NAN))
}

fn quotas(fleet: &Fleet, members: &[usize]) -> Vec<f64> {
    members.iter().map(|member| reported_number(fleet, *member, "share")).collect()
}

/// Returns whether each of these members has its guaranteed minimum and an equal part of the leased
/// quota, which `holders` members share.
fn have_equal_quotas(fleet: &Fleet, members: &[usize], holders: usize) -> bool {
    let minimum = 0.5 / fleet.options.size as f64;
    quotas(fleet, members)
        .iter()
        .all(|quota| (quota - minimum - 0.5 / holders as f64).abs() < ROUNDING_TOLERANCE)
}

/// Waits until a condition holds, and records the quotas of these members for the history checker
/// in the meantime.
fn record_until(fleet: &Fleet, members: &[usize], what: &str, holds: impl Fn(&Fleet) -> bool) {
    let recorder = Recorder::current();
    fleet.wait_until(what, |fleet| {
        for (member, quota) in members.iter().zip(quotas(fleet, members)) {
            recorder.record_quota(&Fleet::name(*member), quota, MAX_ATTEMPT_MS);
        }
        holds(fleet)
    });
    recorder.check_quota();
}

fn fleet_with_equal_quotas(members: usize) -> Fleet {
    let fleet = joined_fleet(all_founders(members));
    let all: Vec<usize> = (0..members).collect();
    record_until(&fleet, &all, "all have equal quotas", |fleet| have_equal_quotas(fleet, &all, members));
    fleet
}

#[test]
fn in_a_partition_the_minority_keeps_its_guaranteed_minimum_and_the_majority_its_leases() {
    let fleet = fleet_with_equal_quotas(5);
    assert!(reported_number(&fleet, 0, "view") >= 1.0 && reported_number(&fleet, 0, "lease_ms") > 0.0);
    fleet.partition(&[&[0, 1], &[2, 3, 4]]);
    let base = reported_number(&fleet, 0, "base");
    let is_base =
        |fleet: &Fleet| quotas(fleet, &[0, 1]).iter().all(|quota| (quota - base).abs() < ROUNDING_TOLERANCE);
    record_until(&fleet, &ALL, "a majority takes over", |fleet| have_equal_quotas(fleet, &[2, 3, 4], 3));
    assert!(is_base(&fleet), "the minority had its guaranteed minimum before that");
    for member in ["n0", "n1"] {
        assert!(fleet.timeline.first_match(member, "its lease has ended", 0).is_some(), "{}", fleet.timeline);
    }
    fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
    record_until(&fleet, &ALL, "all have equal quotas again", |fleet| have_equal_quotas(fleet, &ALL, 5));
}

#[test]
fn members_partitioned_from_each_other_keep_their_guaranteed_minimum_and_recover() {
    let fleet = fleet_with_equal_quotas(3);
    fleet.partition(&[&[0], &[1], &[2]]);
    let all = [0, 1, 2];
    record_until(&fleet, &all, "all have their guaranteed minimum", |fleet| {
        all.iter()
            .all(|member| reported_number(fleet, *member, "share") == reported_number(fleet, *member, "base"))
    });
    fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
    record_until(&fleet, &all, "all have equal quotas again", |fleet| have_equal_quotas(fleet, &all, 3));
}

#[test]
fn a_lease_holder_that_was_stopped_continues_with_its_guaranteed_minimum() {
    let fleet = fleet_with_equal_quotas(5);
    fleet.process(4).signal("STOP");
    let others = [0, 1, 2, 3];
    record_until(&fleet, &others, "the others have its lease", |fleet| have_equal_quotas(fleet, &others, 4));
    fleet.process(4).signal("CONT");
    // The member's first report is after the end of its lease.
    let quota = reported_number(&fleet, 4, "share");
    assert!((quota - reported_number(&fleet, 4, "base")).abs() < 0.5 / 5.0 / 2.0, "{quota}");
    record_until(&fleet, &ALL, "all have equal quotas again", |fleet| have_equal_quotas(fleet, &ALL, 5));
}

#[test]
fn restarted_members_share_the_quota_though_one_stays_away() {
    let mut fleet = fleet_with_equal_quotas(5);
    for member in &ALL {
        fleet.kill(*member);
    }
    let alive = [0, 1, 2, 4];
    for member in &alive {
        fleet.start(*member);
    }
    assert!(
        quotas(&fleet, &alive).iter().all(|quota| *quota <= 0.5 / 6.0 + ROUNDING_TOLERANCE),
        "no lease outlives its process"
    );
    record_until(&fleet, &alive, "all have equal quotas", |fleet| have_equal_quotas(fleet, &alive, 4));
    fleet.start(3);
    record_until(&fleet, &ALL, "all five have equal quotas", |fleet| have_equal_quotas(fleet, &ALL, 5));
}

#[test]
fn two_processes_in_a_hot_restart_have_one_guaranteed_minimum_and_the_second_no_lease() {
    let mut fleet = fleet_with_equal_quotas(3);
    let second = fleet.start_second_process(1);
    let first = fleet.replace_process(1, second);
    fleet.wait_until("the second process is the member", |fleet| fleet.report(1).is_some());
    let minimum = 0.5 / fleet.options.size as f64;
    record_until(&fleet, &[0, 1, 2], "n1 has its lease and half of the guaranteed minimum", |fleet| {
        (reported_number(fleet, 1, "share") - minimum / 2.0 - 0.5 / 3.0).abs() < ROUNDING_TOLERANCE
            && have_equal_quotas(fleet, &[0, 2], 3)
    });
    first.signal("TERM");
    assert!(first.wait_for_exit().success());
    record_until(&fleet, &[0, 1, 2], "n1 has the other half too", |fleet| {
        have_equal_quotas(fleet, &[0, 1, 2], 3)
    });
}

#[test]
fn a_member_with_other_founders_is_left_out_of_the_quota() {
    let mut fleet = Fleet::new(all_founders(4), nodes(), origin());
    let mut other_founders = fleet.config(3, &[0, 1, 2]);
    other_founders["fleet"]["founders"] = serde_json::json!([fleet.advertised_address(3).to_string()]);
    fleet.set_config(3, &other_founders);
    for member in 0..4 {
        fleet.start(member);
    }
    record_until(&fleet, &[0, 1, 2], "the others have equal quotas", |fleet| {
        have_equal_quotas(fleet, &[0, 1, 2], 3)
    });
    fleet.wait_until("the conflict is logged", |fleet| {
        fleet.timeline.first_match("n3", "ERROR: a member has other founders", 0).is_some()
    });
}

/// Guards against a fleet that exceeds the limit of a node although the quotas that admin servers
/// report are within it: the node itself counts its attempts, through a partition, a stop and a
/// crash.
#[test]
fn attempts_in_flight_at_a_node_never_exceed_the_limit_of_the_fleet() {
    let node = || {
        StubServer::node(|line| {
            sleep(ms(40));
            StubAction::Reply(format!("VA 1 {} h1\r\nv\r\n", pinetrail_test_harness::opaque(line)))
        })
    };
    let options = Options { node_calls: Some(NODE_ATTEMPT_LIMIT), ..all_founders(5) };
    let mut fleet = Fleet::start_all(options, vec![node()], origin());
    Recorder::current().record_attempt_limit(&fleet.nodes[0].address.to_string(), NODE_ATTEMPT_LIMIT);
    fleet.wait_until("all have equal quotas", |fleet| have_equal_quotas(fleet, &ALL, 5));
    let done = AtomicBool::new(false);
    let addresses: Vec<_> = ALL.iter().map(|member| fleet.process(*member).client_address).collect();
    thread::scope(|scope| {
        for address in &addresses {
            for number in 0..12 {
                let done = &done;
                scope.spawn(move || {
                    let mut count = 0;
                    while !done.load(Ordering::Relaxed) {
                        // The proxy may be down or stopped: only attempts that reach the node
                        // count.
                        let Some(mut client) = pinetrail_test_harness::Client::try_connect(*address) else {
                            sleep(ms(50));
                            continue;
                        };
                        while !done.load(Ordering::Relaxed) {
                            count += 1;
                            if client.try_get(&format!("r{number}-{count}")).is_none() {
                                break;
                            }
                        }
                    }
                });
            }
        }
        sleep(ms(1_000));
        fleet.partition(&[&[0, 1], &[2, 3, 4]]);
        fleet.wait_until("a majority takes over", |fleet| have_equal_quotas(fleet, &[2, 3, 4], 3));
        fleet.process(4).signal("STOP");
        sleep(ms(3_000));
        fleet.process(4).signal("CONT");
        fleet.kill(3);
        fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
        fleet.start(3);
        fleet.wait_until("all have equal quotas again", |fleet| have_equal_quotas(fleet, &ALL, 5));
        sleep(ms(500));
        done.store(true, Ordering::Relaxed);
    });
    Recorder::current().check_quota();
    let max_in_flight = fleet.nodes[0].max_in_flight();
    assert!(max_in_flight <= NODE_ATTEMPT_LIMIT, "{max_in_flight} attempts in flight\n{}", fleet.timeline);
    assert!(
        max_in_flight > NODE_ATTEMPT_LIMIT / 2,
        "only {max_in_flight} attempts in flight: less than half of the limit"
    );
}

#[test]
fn quotas_under_seeded_faults_add_up_and_recover() {
    for seed in [11, 12] {
        let mut fleet = joined_fleet(Options { seed, ..all_founders(5) });
        let script = Script::from_seed(seed, 5, 5, 10_000);
        fleet.run_script(&script);
        record_until(&fleet, &ALL, "all have equal quotas", |fleet| have_equal_quotas(fleet, &ALL, 5));
    }
}

/// Guards against attempts that run for longer than their quota stays reserved after the end of a
/// lease: a reload allows longer deadlines than `call_ms`.
#[test]
fn a_reload_with_deadlines_longer_than_call_ms_changes_nothing() {
    let mut fleet = fleet_with_equal_quotas(3);
    let mut longer = fleet.config(1, &[0, 2]);
    longer["settings"]["Grades"][0]["GiveUp"] = serde_json::json!(5000.0);
    // The newer limit would apply only from the next start on.
    longer["fleet"]["call_ms"] = serde_json::json!(5000);
    fleet.set_config(1, &longer);
    fleet.process(1).signal("HUP");
    fleet.wait_until("the reload is rejected", |fleet| {
        fleet.timeline.first_match("n1", "call_ms 1000 is below the longest GiveUp, 5000 ms", 0).is_some()
    });
    assert!(have_equal_quotas(&fleet, &[0, 1, 2], 3));
}
