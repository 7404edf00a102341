//! Tests of the policy of a fleet of real processes with faults between them, checked on the
//! responses that clients received.

mod configuration;
mod storage;

use crate::{ms, nodes, origin};
use pinetrail_test_harness::call_admin;
use pinetrail_test_harness::fleet::{Fleet, Options};
use pinetrail_test_harness::policy::{
    change_outcome, get_json, now_ms, policy_status, propose, run_under_faults, run_with_reloads, settings,
    PolicyClients,
};
use serde_json::json;
use std::time::Instant;

/// Starts members with one policy, the first `founders` of which are founders.
pub(crate) fn fleet_with_policy(members: usize, founders: usize) -> Fleet {
    let options =
        Options { founders: (0..founders).collect(), policy: true, ..Options::with_members(members) };
    Fleet::start_all(options, nodes(), origin())
}

/// Returns whether these members apply this version, and no change is in progress.
pub(crate) fn all_have_version(fleet: &Fleet, members: &[usize], version: u64) -> bool {
    members.iter().all(|member| policy_status(fleet, *member) == (version, "steady".to_owned()))
}

/// Proposes the second version of the policy at a member's admin server, as change `x`.
fn propose_second(fleet: &Fleet, member: usize) {
    let (status, response) = propose(fleet.process(member).admin_address, "x", 1, &settings(fleet, 2));
    assert_eq!((status, response["version"].as_u64()), (202, Some(2)), "{response}");
}

/// Starts a fleet, waits until all members have the first version, and starts clients of it.
fn fleet_under_load(members: usize, founders: usize) -> (Fleet, PolicyClients) {
    let fleet = fleet_with_policy(members, founders);
    let all: Vec<usize> = (0..members).collect();
    fleet.wait_until("all have the first version", |fleet| all_have_version(fleet, &all, 1));
    let clients = PolicyClients::start(&fleet);
    std::thread::sleep(ms(150));
    (fleet, clients)
}

/// Waits until change `x` ends at this member, and checks its outcome.
fn wait_for_outcome(fleet: &Fleet, member: usize, expected: &str) {
    fleet.wait_until("the change ends", |fleet| !change_outcome(fleet, member, "x").is_empty());
    assert_eq!(change_outcome(fleet, member, "x"), expected, "{}", fleet.timeline);
}

#[test]
fn a_change_becomes_active_at_one_moment_everywhere() {
    let fleet = fleet_with_policy(4, 3);
    fleet.wait_until("all have the first version", |fleet| all_have_version(fleet, &[0, 1, 2, 3], 1));
    let clients = PolicyClients::start(&fleet);
    std::thread::sleep(ms(200));
    let started_at = Instant::now();
    propose_second(&fleet, 3);
    fleet.wait_until("all have the second version", |fleet| all_have_version(fleet, &[0, 1, 2, 3], 2));
    assert!(started_at.elapsed() < ms(5000));
    assert_eq!(change_outcome(&fleet, 3, "x"), "taken");
    // The same change again has no effect; a conflicting one is rejected.
    propose_second(&fleet, 0);
    assert_eq!(propose(fleet.process(1).admin_address, "y", 1, &settings(&fleet, 1)).0, 409);
    assert_eq!(propose(fleet.process(1).admin_address, "x", 2, &settings(&fleet, 1)).0, 409);
    std::thread::sleep(ms(200));
    let counts = clients.check();
    assert!(counts[0].1 > 50 && counts[1].1 > 50, "{counts:?}");
}

#[test]
fn peer_connections_reset_during_a_change_are_opened_again() {
    let (fleet, clients) = fleet_under_load(4, 3);
    for turn in 0..3 {
        for other in 1..4 {
            fleet.peer_faults.reset(0, other);
        }
        if turn == 1 {
            propose_second(&fleet, 3);
        }
        std::thread::sleep(ms(20));
    }
    wait_for_outcome(&fleet, 3, "taken");
    fleet.wait_until("all have the second version", |fleet| all_have_version(fleet, &[0, 1, 2, 3], 2));
    clients.check();
}

#[test]
fn a_member_that_was_down_during_a_change_starts_with_the_committed_version_and_not_its_file() {
    let (mut fleet, clients) = fleet_under_load(4, 3);
    fleet.kill(3);
    propose_second(&fleet, 0);
    wait_for_outcome(&fleet, 0, "taken");
    fleet.start(3);
    assert_eq!(policy_status(&fleet, 3).0, 2, "n3 is ready only with the committed version");
    let new_clients = PolicyClients::start_at(&[(Fleet::name(3), fleet.process(3).client_address)]);
    fleet.wait_until("n3 serves by version 2", |_| new_clients.decided_since("n3", 2, 0.0));
    assert_eq!(new_clients.check()[0].1, 0, "no request is decided by the old version");
    clients.check();
}

#[test]
fn a_partitioned_member_is_fenced_and_catches_up() {
    let (fleet, clients) = fleet_under_load(5, 3);
    fleet.partition(&[&[3, 4], &[0, 1, 2]]);
    propose_second(&fleet, 1);
    wait_for_outcome(&fleet, 1, "taken");
    let committed_ms = now_ms();
    assert_eq!(policy_status(&fleet, 0), (2, "steady".to_owned()));
    for member in [3, 4] {
        assert_eq!(policy_status(&fleet, member), (1, "fenced".to_owned()), "its admission lease has ended");
        assert_eq!(call_admin(fleet.process(member).admin_address, "GET", "/control/ready").0, 503);
        assert_eq!(fleet.client(member).request("mn\r\n"), "SERVER_ERROR out of service\r\n");
        let rejection = fleet.client(member).get("k", &format!("f{member}"), 1000).0;
        assert_eq!(rejection, "SERVER_ERROR busy 500\r\n", "a fenced member rejects with a Retry-After");
        assert_eq!(propose(fleet.process(member).admin_address, "z", 1, &settings(&fleet, 2)).0, 503);
    }
    fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
    fleet.wait_until("n3 and n4 catch up", |fleet| all_have_version(fleet, &[0, 1, 2, 3, 4], 2));
    fleet.wait_until("n3 and n4 serve by version 2", |_| {
        ["n3", "n4"].iter().all(|name| clients.decided_since(name, 2, committed_ms))
    });
    clients.check();
}

#[test]
fn a_process_stopped_across_a_change_admits_nothing_by_the_old_version() {
    let (fleet, clients) = fleet_under_load(4, 3);
    fleet.process(3).signal("STOP");
    propose_second(&fleet, 0);
    wait_for_outcome(&fleet, 0, "taken");
    // Its clients continue to send; their requests stay unread.
    std::thread::sleep(ms(600));
    let resumed_ms = now_ms();
    fleet.process(3).signal("CONT");
    fleet.wait_until("n3 serves by version 2", |_| clients.decided_since("n3", 2, resumed_ms));
    clients.check();
}

#[test]
fn a_partitioned_member_that_fails_open_serves_on_and_is_named_in_the_outcome() {
    let options = Options { founders: vec![0, 1, 2], policy: true, ..Options::with_members(4) };
    let mut fleet = Fleet::new(options, nodes(), origin());
    let mut config = fleet.config(3, &[0, 1, 2]);
    config["fleet"]["policy"]["when_cut"] = json!("serve");
    fleet.set_config(3, &config);
    fleet.start_together(&[0, 1, 2, 3]);
    fleet.wait_until("all have the first version", |fleet| all_have_version(fleet, &[0, 1, 2, 3], 1));
    fleet.partition(&[&[3], &[0, 1, 2]]);
    propose_second(&fleet, 0);
    wait_for_outcome(&fleet, 0, "taken");
    let change = get_json(fleet.process(0).admin_address, "/control/policy/changes/x");
    assert!(change["why"].as_str().unwrap().contains("n3"), "{change}");
    assert!(fleet.client(3).get("k", "s1", 1000).0.starts_with("VA "), "n3 serves by the first version");
    assert_eq!(policy_status(&fleet, 3), (1, "fenced".to_owned()), "n3 reports that it is fenced");
    assert_eq!(
        call_admin(fleet.process(3).admin_address, "GET", "/control/ready").0,
        200,
        "n3 accepts clients"
    );
    fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
    fleet.wait_until("n3 catches up", |fleet| all_have_version(fleet, &[0, 1, 2, 3], 2));
}

#[test]
fn one_rejection_rejects_a_change_everywhere_and_names_the_key() {
    let options = Options { founders: vec![0, 1, 2], policy: true, ..Options::with_members(4) };
    let mut fleet = Fleet::new(options, nodes(), origin());
    // Member 3 keeps the lower `call_ms`, so it cannot allow longer attempts.
    for member in 0..3 {
        let mut config = fleet.config(member, &[0, 1, 2, 3]);
        config["fleet"]["call_ms"] = json!(3000);
        fleet.set_config(member, &config);
    }
    fleet.start_together(&[0, 1, 2, 3]);
    fleet.wait_until("all have the first version", |fleet| all_have_version(fleet, &[0, 1, 2, 3], 1));
    let clients = PolicyClients::start(&fleet);
    let mut longer = settings(&fleet, 2);
    longer["Grades"][0]["GiveUp"] = json!(2000.0);
    assert_eq!(propose(fleet.process(0).admin_address, "x", 1, &longer).0, 202, "n0 could apply it");
    wait_for_outcome(&fleet, 1, "refused");
    let change = get_json(fleet.process(1).admin_address, "/control/policy/changes/x");
    let reason = change["why"].as_str().unwrap();
    assert!(reason.contains("n3: Grades") && reason.contains("call_ms"), "{change}");
    let mut bad = settings(&fleet, 2);
    bad["Grades"][0]["Aim"] = json!(0.0);
    let (status, response) = propose(fleet.process(1).admin_address, "bad", 1, &bad);
    assert!(status == 400 && response["error"].as_str().unwrap().contains("Grades[scan].Aim"), "{response}");
    bad = settings(&fleet, 2);
    bad["Gradse"] = json!(1);
    let (status, response) = propose(fleet.process(1).admin_address, "bad", 1, &bad);
    assert!(status == 400 && response["error"].as_str().unwrap().contains("\"Grades\""), "{response}");
    assert_eq!(call_admin(fleet.process(1).admin_address, "GET", "/control/policy/changes/bad").0, 404);
    fleet.wait_until("all keep the first version", |fleet| all_have_version(fleet, &[0, 1, 2, 3], 1));
    assert_eq!(clients.check()[1].1, 0);
}

#[test]
fn one_of_two_concurrent_changes_is_committed() {
    let (fleet, clients) = fleet_under_load(4, 3);
    let admins = [0, 3].map(|member| fleet.process(member).admin_address);
    let second = settings(&fleet, 2);
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let proposals: Vec<_> = ["a", "b"]
            .iter()
            .zip(admins)
            .map(|(id, admin)| (id, admin, &second))
            .map(|(id, admin, second)| scope.spawn(move || propose(admin, id, 1, second).0))
            .collect();
        proposals.into_iter().map(|proposal| proposal.join().unwrap()).collect()
    });
    assert!(statuses.iter().filter(|status| **status == 202).count() == 1, "{statuses:?}");
    assert!(statuses.iter().all(|status| [202, 409].contains(status)), "{statuses:?}");
    fleet.wait_until("one is committed", |fleet| all_have_version(fleet, &[0, 1, 2, 3], 2));
    clients.check();
}

#[test]
fn a_slow_peer_delays_only_itself() {
    let (fleet, clients) = fleet_under_load(4, 3);
    for other in 0..3 {
        fleet.datagram_faults.change_path(3, other, |path| path.max_bytes_per_s = Some(1000));
        fleet.datagram_faults.change_path(other, 3, |path| path.max_bytes_per_s = Some(1000));
    }
    propose_second(&fleet, 0);
    wait_for_outcome(&fleet, 0, "taken");
    let committed_ms = now_ms();
    fleet.wait_until("the others serve", |_| {
        ["n0", "n1", "n2"].iter().all(|name| clients.decided_since(name, 2, committed_ms))
    });
    fleet.datagram_faults.change_all_paths(|path| path.max_bytes_per_s = None);
    fleet.wait_until("n3 serves by version 2", |_| clients.decided_since("n3", 2, committed_ms));
    clients.check();
}

#[test]
fn a_change_ends_though_its_proposer_or_leader_is_killed_at_any_step() {
    // The leader is the live voter with the lowest number: n0. Each case kills a process at another
    // step of the change, which is selected by a delay in ms.
    for (killed, proposer, delay_ms) in
        [(3, 3, 0), (3, 3, 15), (0, 3, 0), (0, 3, 10), (0, 0, 25), (0, 3, 40), (0, 0, 70)]
    {
        let (mut fleet, clients) = fleet_under_load(4, 3);
        let (admin, second) = (fleet.process(proposer).admin_address, settings(&fleet, 2));
        // The proposer may be killed before it responds.
        let proposal = std::thread::spawn(move || {
            let _ = std::panic::catch_unwind(|| propose(admin, "x", 1, &second));
        });
        std::thread::sleep(ms(delay_ms));
        fleet.kill(killed);
        proposal.join().unwrap();
        let others: Vec<usize> = (0..4).filter(|member| *member != killed).collect();
        // The change was either never recorded or is committed: no member rejects it, and
        // none is down for long enough for it to be abandoned.
        fleet.wait_until("the others are steady", |fleet| {
            [1, 2].iter().any(|version| all_have_version(fleet, &others, *version))
        });
        fleet.start(killed);
        // The change may still be open at this moment.
        fleet.wait_until("all agree", |fleet| {
            [1, 2].iter().any(|version| all_have_version(fleet, &[0, 1, 2, 3], *version))
        });
        clients.check();
    }
}

#[test]
fn a_change_during_a_hot_restart_becomes_active_at_one_moment() {
    // A member that is no founder, and a founder whose vote and disk the second process takes over.
    for member in [3, 0] {
        let (mut fleet, clients) = fleet_under_load(4, 3);
        let second = fleet.start_second_process(member);
        propose_second(&fleet, 1);
        let first = fleet.replace_process(member, second);
        first.signal("TERM");
        first.wait_for_exit();
        fleet.wait_until("all have the second version", |fleet| all_have_version(fleet, &[0, 1, 2, 3], 2));
        fleet.wait_until("the second process serves by version 2", |_| {
            clients.decided_since(&Fleet::name(member), 2, 0.0)
        });
        clients.check();
    }
}

#[test]
fn a_change_under_seeded_faults_becomes_active_at_one_moment() {
    for seed in [1, 2, 3] {
        let fleet = fleet_with_policy(4, 3);
        let timeline = fleet.timeline.clone();
        let run = run_under_faults(fleet, seed);
        assert!(run.violations == 0 && run.decided > 500, "{run:?}\n{timeline}");
    }
}

/// Guards against a checker that detects no violation: with a SIGHUP at each proxy in turn, two
/// policies decide requests at the same time.
#[test]
fn reloads_in_turn_show_two_versions_at_once() {
    let run = run_with_reloads(Fleet::start_all(Options::with_members(3), nodes(), origin()), ms(150));
    assert!(run.violations > 0 && run.overlap_ms > 150.0, "{run:?}");
}
