//! Two processes of one member in an upgrade are one member.

use crate::met;
use pinetrail_test_harness::call_admin;
use pinetrail_test_harness::fleet::{Fleet, Options};

/// Guards against an upgrade that looks like a failure to the others, and against two processes
/// that both speak.
#[test]
fn a_hot_restart_passes_the_name_on_and_no_member_is_reported_failed() {
    let mut fleet = met(Options::of(3));
    let begun = fleet.timeline.now();
    for _ in 0..2 {
        let second = fleet.start_second_process(1);
        let first = fleet.replace_process(1, second);
        fleet.wait_until("the newcomer speaks", |fleet| fleet.report(1).is_some());
        assert_eq!(call_admin(first.admin_address, "GET", "/control/fleet").0, 503, "the other one speaks");
        fleet.wait_until("they agree", |fleet| fleet.all_agree(&[0, 1, 2]));
        first.signal("TERM");
        assert!(first.end().success());
        // The old one's end is no goodbye.
        fleet.wait_until("they still agree", |fleet| fleet.all_agree(&[0, 1, 2]));
        assert!(fleet.report(1).unwrap().json.get("rival").is_none());
    }
    for member in ["n0", "n2"] {
        assert!(fleet.timeline.first_match(member, "-> failed", begun).is_none(), "{}", fleet.timeline);
        assert!(fleet.timeline.first_match(member, "left", begun).is_none());
        assert!(fleet.timeline.first_match(member, "n1 is a new process", begun).is_some());
    }
}

#[test]
fn a_second_process_that_dies_leaves_the_name_to_the_first() {
    let fleet = met(Options::of(3));
    let second = fleet.start_second_process(1);
    fleet.wait_until("the newcomer speaks", |fleet| fleet.report(1).is_none());
    drop(second);
    fleet.wait_until("the old one speaks again", |fleet| {
        fleet.report(1).is_some() && fleet.all_agree(&[0, 1, 2])
    });
}

/// Guards against a name that is lost since the cut hides the upgrade.
#[test]
fn a_hot_restart_during_a_partition_is_known_after_it() {
    let mut fleet = met(Options::of(3));
    fleet.cut_into(&[&[1], &[0, 2]]);
    let failed = |fleet: &Fleet, member: usize| fleet.report(member).unwrap().names("failed") == ["n1"];
    fleet.wait_until("the others know", |fleet| failed(fleet, 0) && failed(fleet, 2));
    let second = fleet.start_second_process(1);
    let first = fleet.replace_process(1, second);
    first.signal("TERM");
    assert!(first.end().success());
    fleet.wait_until("the newcomer speaks", |fleet| {
        fleet.report(1).is_some_and(|report| report.side == "alone")
    });
    fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
    fleet.wait_until("they agree", |fleet| fleet.all_agree(&[0, 1, 2]));
}
