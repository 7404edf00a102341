//! Hot restarts: two processes of one member count as one.

use crate::{joined_fleet, ms, origin};
use pinetrail_test_harness::fleet::{Fleet, Options};
use pinetrail_test_harness::{
    call_admin, opaque, Completion, Deliveries, Framing, PacedResponse, StubAction, StubServer,
};
use std::io::Read;
use std::time::Instant;

/// Guards against a hot restart that other members report as a failure, or in which both processes
/// take part in the membership.
#[test]
fn a_hot_restart_passes_the_name_on_and_no_member_is_reported_failed() {
    let mut fleet = joined_fleet(Options::with_members(3));
    let started_ms = fleet.timeline.elapsed_ms();
    for _ in 0..2 {
        let second = fleet.start_second_process(1);
        let first = fleet.replace_process(1, second);
        fleet.wait_until("the second process is the member", |fleet| fleet.report(1).is_some());
        assert_eq!(
            call_admin(first.admin_address, "GET", "/control/fleet").0,
            503,
            "only the second process reports"
        );
        fleet.wait_until("all agree", |fleet| fleet.all_agree(&[0, 1, 2]));
        first.signal("TERM");
        assert!(first.wait_for_exit().success());
        // The end of the first process is not announced as a departure.
        fleet.wait_until("all still agree", |fleet| fleet.all_agree(&[0, 1, 2]));
        assert!(fleet.report(1).unwrap().json.get("rival").is_none());
    }
    for member in ["n0", "n2"] {
        assert!(fleet.timeline.first_match(member, "-> failed", started_ms).is_none(), "{}", fleet.timeline);
        assert!(fleet.timeline.first_match(member, "left", started_ms).is_none());
        assert!(fleet.timeline.first_match(member, "n1 is a new process", started_ms).is_some());
    }
}

#[test]
fn a_second_process_that_dies_leaves_the_name_to_the_first() {
    let fleet = joined_fleet(Options::with_members(3));
    let second = fleet.start_second_process(1);
    fleet.wait_until("the second process is the member", |fleet| fleet.report(1).is_none());
    drop(second);
    fleet.wait_until("the first process is the member again", |fleet| {
        fleet.report(1).is_some() && fleet.all_agree(&[0, 1, 2])
    });
}

/// Guards against a name that is lost because a partition hides the hot restart from the other
/// members.
#[test]
fn a_hot_restart_during_a_partition_is_known_after_it() {
    let mut fleet = joined_fleet(Options::with_members(3));
    fleet.partition(&[&[1], &[0, 2]]);
    let failed =
        |fleet: &Fleet, member: usize| fleet.report(member).unwrap().names_in_state("failed") == ["n1"];
    fleet.wait_until("the others report n1 as failed", |fleet| failed(fleet, 0) && failed(fleet, 2));
    let second = fleet.start_second_process(1);
    let first = fleet.replace_process(1, second);
    first.signal("TERM");
    assert!(first.wait_for_exit().success());
    fleet.wait_until("the second process is the member", |fleet| {
        fleet.report(1).is_some_and(|report| report.side == "alone")
    });
    fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
    fleet.wait_until("all agree", |fleet| fleet.all_agree(&[0, 1, 2]));
}

/// Starts a node that gives the value `slow` of this length over 4 s, and a short value for other keys.
fn node_with_slow_value(length: usize) -> StubServer {
    StubServer::node(move |line| {
        if !line.starts_with("mg slow ") {
            return StubAction::Reply(format!("VA 1 {} h1\r\nv\r\n", opaque(line)));
        }
        let response = PacedResponse {
            framing: Framing::Memcache,
            value: vec![b'x'; length],
            first_bytes: 8192,
            duration: ms(4000),
            pieces: 80,
            completion: Completion::Whole,
        };
        let request = line.to_owned();
        StubAction::ReplyWith(Box::new(move |stream| {
            response.write(&request, stream, &Deliveries::default())
        }))
    })
}

/// Guards against a process that keeps the name, the voter, the lease or the quota of its proxy while it
/// finishes a value after SIGTERM.
#[test]
fn a_new_process_joins_votes_and_serves_while_the_old_one_finishes_a_value() {
    const VALUE_BYTES: usize = 256 * 1024;
    let options = Options { founders: vec![0, 1, 2], policy: true, ..Options::with_members(3) };
    let mut fleet = Fleet::start_all(options, vec![node_with_slow_value(VALUE_BYTES)], origin());
    fleet.wait_until("all have joined", |fleet| fleet.all_agree(&[0, 1, 2]));
    let quota =
        |fleet: &Fleet| fleet.report(1).and_then(|report| report.json["share"].as_f64()).unwrap_or(0.0);
    let quotas_are_equal = |fleet: &Fleet| quota(fleet) > 0.5 / 3.0;
    fleet.wait_until("the member has its part of the quota", quotas_are_equal);
    let mut reader = fleet.client(1);
    reader.send("mg slow v O1 Pc=read,t=acme,d=900\r\n");
    assert_eq!(reader.read_line(), format!("VA {VALUE_BYTES} O1\r\n"));
    let old = fleet.take_process(1);
    old.signal("TERM");
    // The clients wait for at most 1 s, so the earliest kill is 1.7 s after SIGTERM.
    std::thread::sleep(ms(1500));
    let started_at = Instant::now();
    fleet.start(1);
    assert!(started_at.elapsed() < ms(1500), "ready after {:?}", started_at.elapsed());
    assert_eq!(fleet.client(1).get("k", "2", 900).1, "v\r\n");
    fleet.wait_until("the new process is the member", |fleet| fleet.all_agree(&[0, 1, 2]));
    // Of three voters two remain, so requests are admitted only if the new process is one of them.
    fleet.kill(0);
    std::thread::sleep(ms(1500));
    assert_eq!(fleet.client(1).get("k", "3", 900).1, "v\r\n");
    assert_eq!(call_admin(fleet.process(1).admin_address, "GET", "/control/ready").0, 200);
    let mut value = vec![0; VALUE_BYTES + 2];
    reader.reader().read_exact(&mut value).expect("the old process gives the whole value");
    assert!(old.wait_for_exit().success());
    fleet.wait_until("the new process has its part of the quota", quotas_are_equal);
}
