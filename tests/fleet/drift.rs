//! What each of several real processes has in force against what was approved, under faults between
//! them.

use crate::policy::{governed, has};
use pinetrail_test_harness::fleet::Fleet;
use pinetrail_test_harness::policy::{get_json, settings};
use pinetrail_test_harness::send_to_admin;
use serde_json::json;

/// How a member's admin server sees another, and the parts that differ.
fn seen(fleet: &Fleet, by: usize, whom: usize) -> (String, Vec<String>) {
    let drift = get_json(fleet.process(by).admin_address, "/control/drift");
    let node = drift["nodes"].as_array().into_iter().flatten().find(|node| node["name"] == Fleet::name(whom));
    let parts = node.and_then(|node| node["parts"].as_array()).into_iter().flatten();
    let state = node.and_then(|node| node["state"].as_str()).unwrap_or_default().to_owned();
    (state, parts.filter_map(|part| Some(part.as_str()?.to_owned())).collect())
}

fn all_see(fleet: &Fleet, whom: usize, state: &str) -> bool {
    (0..4).filter(|by| fleet.runs(*by)).all(|by| seen(fleet, by, whom).0 == state)
}

/// The alarms that members raised about one.
fn alarms(fleet: &Fleet, whom: usize) -> usize {
    let words = format!("ALARM: policy: {} ", Fleet::name(whom));
    fleet.timeline.to_string().lines().filter(|line| line.contains(&words)).count()
}

/// A fleet in which one lets settings of its file in at SIGHUP, for emergencies.
fn with_a_loose_one() -> Fleet {
    let mut fleet = governed(4, 3);
    fleet.kill(3);
    let mut loose = fleet.config(3, &[0, 1, 2]);
    loose["fleet"]["policy"]["local"] = json!(true);
    fleet.set_config(3, &loose);
    fleet.start(3);
    fleet.wait_until("all have the first version", |fleet| has(fleet, &[0, 1, 2, 3], 1));
    fleet.wait_until("all are seen to have it", |fleet| (0..4).all(|whom| all_see(fleet, whom, "same")));
    fleet
}

/// Gives the loose one other settings than the fleet's.
fn drift(fleet: &mut Fleet) {
    let mut other = fleet.config(3, &[0, 1, 2]);
    other["fleet"]["policy"]["local"] = json!(true);
    other["listen"] = json!(fleet.process(3).client_address.to_string());
    other["settings"] = settings(fleet, 2);
    fleet.set_config(3, &other);
    fleet.process(3).signal("HUP");
}

#[test]
fn a_local_change_is_reported_by_every_member_with_one_alarm_and_can_be_undone() {
    let mut fleet = with_a_loose_one();
    drift(&mut fleet);
    fleet.wait_until("every admin server shows it", |fleet| all_see(fleet, 3, "differs"));
    assert_eq!(seen(&fleet, 0, 3).1, ["Grades"], "and in what");
    fleet.wait_until("there is an alarm", |fleet| alarms(fleet, 3) > 0);
    std::thread::sleep(crate::ms(1000));
    assert_eq!(alarms(&fleet, 3), 1, "one, by one of them\n{}", fleet.timeline);
    let (status, _) = send_to_admin(
        fleet.process(3).admin_address,
        "POST /control/policy/restore HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n",
    );
    assert_eq!(status, 200);
    fleet.wait_until("all have it again", |fleet| all_see(fleet, 3, "same"));
    assert!(fleet.client(3).get("k", "a1", 1000).0.starts_with("VA "), "and serve by it");
}

#[test]
fn a_partitioned_member_is_silent_to_others_and_fenced_to_itself() {
    let fleet = with_a_loose_one();
    fleet.cut_into(&[&[3], &[0, 1, 2]]);
    fleet.wait_until("it is silent", |fleet| (0..3).all(|by| seen(fleet, by, 3).0 == "silent"));
    fleet.wait_until("it knows", |fleet| seen(fleet, 3, 3).0 == "fenced" && seen(fleet, 3, 0).0 == "silent");
    assert_eq!(alarms(&fleet, 3), 0, "silence is no drift");
    fleet.datagram_faults.change_all_paths(|path| path.partitioned = false);
    fleet.wait_until("all are well", |fleet| (0..4).all(|whom| all_see(fleet, whom, "same")));
}

#[test]
fn another_member_goes_on_when_the_holder_of_the_alarm_dies() {
    let mut fleet = with_a_loose_one();
    let steward = |fleet: &Fleet| {
        (0..3).find(|member| {
            fleet.runs(*member) && fleet.report(*member).is_some_and(|report| report.json["steward"] == true)
        })
    };
    fleet.wait_until("there is a steward", |fleet| steward(fleet).is_some());
    let first = steward(&fleet).unwrap();
    fleet.kill(first);
    // Nobody holds the office when it begins.
    drift(&mut fleet);
    fleet.wait_until("there is an alarm", |fleet| alarms(fleet, 3) > 0);
    std::thread::sleep(crate::ms(800));
    assert_eq!(alarms(&fleet, 3), 1);
    // The next holder knows that it was raised.
    let second = steward(&fleet).unwrap();
    fleet.kill(second);
    fleet.start(first);
    fleet.wait_until("there is a third", |fleet| steward(fleet).is_some_and(|third| third != second));
    std::thread::sleep(crate::ms(1000));
    assert_eq!(alarms(&fleet, 3), 1, "{}", fleet.timeline);
}
