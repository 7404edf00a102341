//! Drift reports of real processes under faults: the active policy of each process is compared with
//! the approved one.

use crate::policy::{all_have_version, fleet_with_policy};
use pinetrail_test_harness::fleet::Fleet;
use pinetrail_test_harness::policy::{get_json, settings};
use pinetrail_test_harness::send_to_admin;
use serde_json::json;

/// Returns the state of one member as another reports it, and the parts of its policy that differ.
fn reported_state(fleet: &Fleet, by: usize, member: usize) -> (String, Vec<String>) {
    let report = get_json(fleet.process(by).admin_address, "/control/drift");
    let node =
        report["nodes"].as_array().into_iter().flatten().find(|node| node["name"] == Fleet::name(member));
    let parts = node.and_then(|node| node["parts"].as_array()).into_iter().flatten();
    let state = node.and_then(|node| node["state"].as_str()).unwrap_or_default().to_owned();
    (state, parts.filter_map(|part| Some(part.as_str()?.to_owned())).collect())
}

fn all_report_state(fleet: &Fleet, member: usize, state: &str) -> bool {
    (0..4).filter(|by| fleet.is_running(*by)).all(|by| reported_state(fleet, by, member).0 == state)
}

/// Returns the number of alarms that members raised about this one.
fn alarm_count(fleet: &Fleet, member: usize) -> usize {
    let prefix = format!("ALARM: policy: {} ", Fleet::name(member));
    fleet.timeline.to_string().lines().filter(|line| line.contains(&prefix)).count()
}

/// Starts a fleet in which member 3 applies the settings of its own file at SIGHUP, as an operator
/// may configure it in an emergency.
fn fleet_with_local_member() -> Fleet {
    let mut fleet = fleet_with_policy(4, 3);
    fleet.kill(3);
    let mut local = fleet.config(3, &[0, 1, 2]);
    local["fleet"]["policy"]["local"] = json!(true);
    fleet.set_config(3, &local);
    fleet.start(3);
    fleet.wait_until("all have the first version", |fleet| all_have_version(fleet, &[0, 1, 2, 3], 1));
    fleet.wait_until("all report the same policy", |fleet| {
        (0..4).all(|member| all_report_state(fleet, member, "same"))
    });
    fleet
}

/// Makes member 3 apply settings that differ from the fleet's.
fn apply_local_settings(fleet: &mut Fleet) {
    let mut config = fleet.config(3, &[0, 1, 2]);
    config["fleet"]["policy"]["local"] = json!(true);
    config["listen"] = json!(fleet.process(3).client_address.to_string());
    config["settings"] = settings(fleet, 2);
    fleet.set_config(3, &config);
    fleet.process(3).signal("HUP");
}

#[test]
fn a_local_change_is_reported_by_every_member_with_one_alarm_and_can_be_undone() {
    let mut fleet = fleet_with_local_member();
    apply_local_settings(&mut fleet);
    fleet.wait_until("every admin server reports it", |fleet| all_report_state(fleet, 3, "differs"));
    assert_eq!(reported_state(&fleet, 0, 3).1, ["Grades"], "the part of the policy that differs");
    fleet.wait_until("there is an alarm", |fleet| alarm_count(fleet, 3) > 0);
    std::thread::sleep(crate::ms(1000));
    assert_eq!(alarm_count(&fleet, 3), 1, "one member raises one alarm\n{}", fleet.timeline);
    let (status, _) = send_to_admin(
        fleet.process(3).admin_address,
        "POST /control/policy/restore HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n",
    );
    assert_eq!(status, 200);
    fleet.wait_until("all have the same policy", |fleet| all_report_state(fleet, 3, "same"));
    assert!(fleet.client(3).get("k", "a1", 1000).0.starts_with("VA "), "member 3 serves by the policy");
}

#[test]
fn a_partitioned_member_is_silent_to_others_and_fenced_to_itself() {
    let fleet = fleet_with_local_member();
    fleet.partition(&[&[3], &[0, 1, 2]]);
    fleet.wait_until("n3 is silent", |fleet| (0..3).all(|by| reported_state(fleet, by, 3).0 == "silent"));
    fleet.wait_until("n3 reports that it is fenced", |fleet| {
        reported_state(fleet, 3, 3).0 == "fenced" && reported_state(fleet, 3, 0).0 == "silent"
    });
    assert_eq!(alarm_count(&fleet, 3), 0, "silence is no drift");
    fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
    fleet.wait_until("all agree", |fleet| (0..4).all(|member| all_report_state(fleet, member, "same")));
}

#[test]
fn the_next_leader_raises_no_second_alarm_when_the_leader_dies() {
    let mut fleet = fleet_with_local_member();
    let leader = |fleet: &Fleet| {
        (0..3).find(|member| {
            fleet.is_running(*member)
                && fleet.report(*member).is_some_and(|report| report.json["steward"] == true)
        })
    };
    fleet.wait_until("there is a leader", |fleet| leader(fleet).is_some());
    let first = leader(&fleet).unwrap();
    fleet.kill(first);
    // There is no leader when the drift begins.
    apply_local_settings(&mut fleet);
    fleet.wait_until("there is an alarm", |fleet| alarm_count(fleet, 3) > 0);
    std::thread::sleep(crate::ms(800));
    assert_eq!(alarm_count(&fleet, 3), 1);
    // The next leader knows that the alarm was raised.
    let second = leader(&fleet).unwrap();
    fleet.kill(second);
    fleet.start(first);
    fleet.wait_until("there is a third leader", |fleet| leader(fleet).is_some_and(|third| third != second));
    std::thread::sleep(crate::ms(1000));
    assert_eq!(alarm_count(&fleet, 3), 1, "{}", fleet.timeline);
}
