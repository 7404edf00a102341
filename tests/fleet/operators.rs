//! The membership as operators see it: reports, departures, conflicts of names, and the size limit.

use crate::{joined_fleet, nodes, origin};
use pinetrail_test_harness::fleet::{Fleet, Options};

#[test]
fn the_admin_server_lists_every_member_in_the_order_of_names() {
    let fleet = joined_fleet(Options::with_members(3));
    let report = fleet.report(1).unwrap();
    assert_eq!((report.json["self"].as_str(), &*report.side), (Some("n1"), "whole"));
    let members = report.json["members"].as_array().unwrap();
    let names: Vec<&str> = members.iter().map(|member| member["name"].as_str().unwrap()).collect();
    assert_eq!(names, ["n0", "n1", "n2"], "the reporting member is listed too");
    for (number, member) in members.iter().enumerate() {
        assert_eq!(member["address"].as_str(), Some(&*fleet.advertised_address(number).to_string()));
        assert_eq!((member["state"].as_str(), member["incarnation"].as_u64()), (Some("alive"), Some(0)));
        assert!(member["since_ms"].as_u64().unwrap() > 1_700_000_000_000, "Unix time in ms");
    }
    assert!(report.json.get("rival").is_none());
}

/// Guards against a graceful shutdown that is reported as a failure.
#[test]
fn a_member_that_gets_sigterm_leaves_the_fleet() {
    let mut fleet = joined_fleet(Options::with_members(3));
    let process = fleet.take_process(2);
    process.signal("TERM");
    assert!(process.wait_for_exit().success());
    fleet.wait_until("n2 has left", |fleet| {
        [0, 1].iter().all(|member| {
            let report = fleet.report(*member).unwrap();
            report.names_in_state("left") == ["n2"] && report.side == "whole"
        })
    });
    fleet.start(2);
    fleet.wait_until("n2 has joined again", |fleet| fleet.all_agree(&[0, 1, 2]));
}

/// Guards against a name that two processes use unnoticed: the later process is the member, and
/// both must report the conflict.
#[test]
fn two_processes_under_one_name_both_log_the_conflict() {
    let mut fleet = Fleet::new(Options { peers: vec![0, 1], ..Options::with_members(4) }, nodes(), origin());
    for member in 0..3 {
        fleet.start(member);
    }
    fleet.wait_until("all have joined", |fleet| fleet.all_agree(&[0, 1, 2]));
    let mut duplicate = fleet.config(3, &[0, 1]);
    duplicate["name"] = "n2".into();
    fleet.set_config(3, &duplicate);
    fleet.start(3);
    let both_report_it = |fleet: &Fleet| {
        let rival = |member: usize| fleet.report(member).unwrap().json["rival"].clone();
        rival(2)["address"] == fleet.advertised_address(3).to_string()
            && rival(2)["counts"] == true
            && rival(3)["address"] == fleet.advertised_address(2).to_string()
            && rival(3)["counts"] == false
    };
    fleet.wait_until("both report the conflict", both_report_it);
    assert!(fleet.timeline.first_match("n2", "ERROR: another process", 0).is_some());
    assert!(fleet.timeline.first_match("n3", "ERROR: another process", 0).is_some());
    assert_eq!(fleet.report(2).unwrap().side, "alone");
    fleet.wait_until("the later one counts", |fleet| {
        fleet.report(0).unwrap().members["n2"].is_alive_at(fleet.advertised_address(3))
    });
    fleet.kill(3);
    fleet.wait_until("the earlier one is back", |fleet| {
        fleet.report(0).unwrap().members["n2"].is_alive_at(fleet.advertised_address(2))
            && fleet.report(2).unwrap().json.get("rival").is_none()
    });
}

#[test]
fn a_member_beyond_the_size_is_rejected_and_logs_why() {
    let mut fleet =
        Fleet::new(Options { size: 3, peers: vec![0, 1], ..Options::with_members(4) }, nodes(), origin());
    for member in 0..3 {
        fleet.start(member);
    }
    fleet.wait_until("all have joined", |fleet| fleet.all_agree(&[0, 1, 2]));
    fleet.start(3);
    fleet.wait_until("the rejection is logged", |fleet| {
        fleet.timeline.first_match("n3", "has no room for this member", 0).is_some()
    });
    assert!(fleet.all_agree(&[0, 1, 2]));
}
