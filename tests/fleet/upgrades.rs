//! Hot restarts: two processes of one member count as one.

use crate::joined_fleet;
use pinetrail_test_harness::call_admin;
use pinetrail_test_harness::fleet::{Fleet, Options};

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
