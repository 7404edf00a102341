//! Shares of several real processes under faults between them: what their admin servers say, and
//! what the stand-in nodes count.

use crate::{met, ms, nodes, origin, ALL};
use pinetrail_test_harness::fleet::{Fleet, Options};
use pinetrail_test_harness::recorder::Recorder;
use pinetrail_test_harness::script::Script;
use pinetrail_test_harness::{StubAction, StubServer};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};

/// Calls in flight of all together at one node.
const NODE_CALLS: usize = 24;
/// How long calls run at the most, as the harness configures it.
const CALL_MS: f64 = 1000.0;
const EPSILON: f64 = 1e-6;

/// Members that share, each of which founds.
fn sharing(members: usize) -> Options {
    Options { founders: (0..members).collect(), size: members + 1, ..Options::of(members) }
}

fn seen(fleet: &Fleet, member: usize, field: &str) -> f64 {
    fleet.report(member).map_or(0.0, |report| report.json[field].as_f64().unwrap_or(f64::NAN))
}

fn shares(fleet: &Fleet, members: &[usize]) -> Vec<f64> {
    members.iter().map(|member| seen(fleet, *member, "share")).collect()
}

/// Whether each of these has an equal part of what is leased, beside its base.
fn have(fleet: &Fleet, members: &[usize], of: usize) -> bool {
    let base = 0.5 / fleet.options.size as f64;
    shares(fleet, members).iter().all(|share| (share - base - 0.5 / of as f64).abs() < EPSILON)
}

/// Waits until something holds. Meanwhile all shares are read, again and again, and written down
/// for the judge.
fn until(fleet: &Fleet, members: &[usize], what: &str, holds: impl Fn(&Fleet) -> bool) {
    let recorder = Recorder::own();
    fleet.wait_until(what, |fleet| {
        for (member, share) in members.iter().zip(shares(fleet, members)) {
            recorder.record_quota(&Fleet::name(*member), share, CALL_MS);
        }
        holds(fleet)
    });
    recorder.check_quota();
}

fn all_share(members: usize) -> Fleet {
    let fleet = met(sharing(members));
    let all: Vec<usize> = (0..members).collect();
    until(&fleet, &all, "all have theirs", |fleet| have(fleet, &all, members));
    fleet
}

#[test]
fn in_a_partition_the_minority_keeps_its_guaranteed_minimum_and_the_majority_its_leases() {
    let fleet = all_share(5);
    assert!(seen(&fleet, 0, "view") >= 1.0 && seen(&fleet, 0, "lease_ms") > 0.0);
    fleet.cut_into(&[&[0, 1], &[2, 3, 4]]);
    let base = seen(&fleet, 0, "base");
    let is_base = |fleet: &Fleet| shares(fleet, &[0, 1]).iter().all(|share| (share - base).abs() < EPSILON);
    until(&fleet, &ALL, "a majority takes over", |fleet| have(fleet, &[2, 3, 4], 3));
    assert!(is_base(&fleet), "the minority had its base before that");
    for member in ["n0", "n1"] {
        assert!(fleet.timeline.first_match(member, "its lease has ended", 0).is_some(), "{}", fleet.timeline);
    }
    fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
    until(&fleet, &ALL, "all have theirs again", |fleet| have(fleet, &ALL, 5));
}

#[test]
fn members_partitioned_from_each_other_keep_their_guaranteed_minimum_and_recover() {
    let fleet = all_share(3);
    fleet.cut_into(&[&[0], &[1], &[2]]);
    let all = [0, 1, 2];
    until(&fleet, &all, "all have their bases", |fleet| {
        all.iter().all(|member| seen(fleet, *member, "share") == seen(fleet, *member, "base"))
    });
    fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
    until(&fleet, &all, "all have theirs again", |fleet| have(fleet, &all, 3));
}

#[test]
fn a_lease_holder_that_was_stopped_continues_with_its_guaranteed_minimum() {
    let fleet = all_share(5);
    fleet.process(4).signal("STOP");
    let others = [0, 1, 2, 3];
    until(&fleet, &others, "the others have its part", |fleet| have(fleet, &others, 4));
    fleet.process(4).signal("CONT");
    // Whatever it says first, it says with a lease that ended long ago.
    let share = seen(&fleet, 4, "share");
    assert!((share - seen(&fleet, 4, "base")).abs() < 0.5 / 5.0 / 2.0, "{share}");
    until(&fleet, &ALL, "all have theirs again", |fleet| have(fleet, &ALL, 5));
}

#[test]
fn restarted_members_share_the_quota_though_one_stays_away() {
    let mut fleet = all_share(5);
    for member in &ALL {
        fleet.kill(*member);
    }
    let back = [0, 1, 2, 4];
    for member in &back {
        fleet.start(*member);
    }
    assert!(
        shares(&fleet, &back).iter().all(|share| *share <= 0.5 / 6.0 + EPSILON),
        "no lease outlives its process"
    );
    until(&fleet, &back, "they share", |fleet| have(fleet, &back, 4));
    fleet.start(3);
    until(&fleet, &ALL, "so does the last", |fleet| have(fleet, &ALL, 5));
}

#[test]
fn two_processes_in_a_hot_restart_have_one_guaranteed_minimum_and_the_second_no_lease() {
    let mut fleet = all_share(3);
    let second = fleet.start_second_process(1);
    let first = fleet.replace_process(1, second);
    fleet.wait_until("the newcomer speaks", |fleet| fleet.report(1).is_some());
    let base = 0.5 / fleet.options.size as f64;
    until(&fleet, &[0, 1, 2], "it is leased its part, and has half of the base", |fleet| {
        (seen(fleet, 1, "share") - base / 2.0 - 0.5 / 3.0).abs() < EPSILON && have(fleet, &[0, 2], 3)
    });
    first.signal("TERM");
    assert!(first.end().success());
    until(&fleet, &[0, 1, 2], "it has the other half", |fleet| have(fleet, &[0, 1, 2], 3));
}

#[test]
fn a_member_with_other_founders_is_left_out_of_the_quota() {
    let mut fleet = Fleet::new(sharing(4), nodes(), origin());
    let mut wrong = fleet.config(3, &[0, 1, 2]);
    wrong["fleet"]["founders"] = serde_json::json!([fleet.advertised_address(3).to_string()]);
    fleet.set_config(3, &wrong);
    for member in 0..4 {
        fleet.start(member);
    }
    until(&fleet, &[0, 1, 2], "the others share", |fleet| have(fleet, &[0, 1, 2], 3));
    fleet.wait_until("it is said", |fleet| {
        fleet.timeline.first_match("n3", "ERROR: a member has other founders", 0).is_some()
    });
}

/// What the nodes count, whatever the admin servers say: through a cut, a stop and a death.
#[test]
fn attempts_in_flight_at_a_node_never_exceed_the_limit_of_the_fleet() {
    let node = || {
        StubServer::node(|line| {
            sleep(ms(40));
            StubAction::Reply(format!("VA 1 {} h1\r\nv\r\n", pinetrail_test_harness::opaque(line)))
        })
    };
    let options = Options { node_calls: Some(NODE_CALLS), ..sharing(5) };
    let mut fleet = Fleet::start_all(options, vec![node()], origin());
    Recorder::own().record_attempt_limit(&fleet.nodes[0].address.to_string(), NODE_CALLS);
    fleet.wait_until("they share", |fleet| have(fleet, &ALL, 5));
    let done = AtomicBool::new(false);
    let addresses: Vec<_> = ALL.iter().map(|member| fleet.process(*member).client_address).collect();
    thread::scope(|scope| {
        for address in &addresses {
            for number in 0..12 {
                let done = &done;
                scope.spawn(move || {
                    let mut count = 0;
                    while !done.load(Ordering::Relaxed) {
                        // The proxy may be dead or stopped: what counts is what reaches the node.
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
        fleet.cut_into(&[&[0, 1], &[2, 3, 4]]);
        fleet.wait_until("a majority takes over", |fleet| have(fleet, &[2, 3, 4], 3));
        fleet.process(4).signal("STOP");
        sleep(ms(3_000));
        fleet.process(4).signal("CONT");
        fleet.kill(3);
        fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
        fleet.start(3);
        fleet.wait_until("all have theirs again", |fleet| have(fleet, &ALL, 5));
        sleep(ms(500));
        done.store(true, Ordering::Relaxed);
    });
    Recorder::own().check_quota();
    let most = fleet.nodes[0].most_at_once();
    assert!(most <= NODE_CALLS, "{most} calls in flight\n{}", fleet.timeline);
    assert!(most > NODE_CALLS / 2, "{most}: it was put to the test");
}

#[test]
fn quotas_under_seeded_faults_add_up_and_recover() {
    for seed in [11, 12] {
        let mut fleet = met(Options { seed, ..sharing(5) });
        let script = Script::from_seed(seed, 5, 5, 10_000);
        fleet.play(&script);
        until(&fleet, &ALL, "all have theirs", |fleet| have(fleet, &ALL, 5));
    }
}

/// Guards against calls that run longer than what is leased is kept free after them.
#[test]
fn a_reload_with_deadlines_longer_than_call_ms_changes_nothing() {
    let mut fleet = all_share(3);
    let mut longer = fleet.config(1, &[0, 2]);
    longer["settings"]["Grades"][0]["GiveUp"] = serde_json::json!(5000.0);
    // The newer bound would count only from the next start on.
    longer["fleet"]["call_ms"] = serde_json::json!(5000);
    fleet.set_config(1, &longer);
    fleet.process(1).signal("HUP");
    fleet.wait_until("it is refused", |fleet| {
        fleet.timeline.first_match("n1", "call_ms 1000 is below the longest GiveUp, 5000", 0).is_some()
    });
    assert!(have(&fleet, &[0, 1, 2], 3));
}
