//! Tests of the responses of a fleet's admin servers: members, quotas, policy, and drift.

use crate::admin::{complete_response, request};
use crate::{compare, escaped, origin, without_number};
use pinetrail_test_harness::fleet::{Fleet, Options};
use pinetrail_test_harness::policy::{change_outcome, policy_status, settings};
use pinetrail_test_harness::{call_admin, StubServer};
use serde_json::{json, Value};

/// Keys of the numbers that differ from run to run.
const VARYING: [&str; 6] = ["since_ms", "heard_ms", "start", "incarnation", "lease_ms", "view"];

fn nodes() -> Vec<StubServer> {
    vec![StubServer::hit_node("v")]
}

fn admin_address_of(fleet: &Fleet, member: usize) -> std::net::SocketAddr {
    fleet.process(member).admin_address
}

/// Formats a response as one line of a recording, with marks for its varying parts: the numbers of
/// [`VARYING`] and the addresses. Checks that the head has the length of the body, because this
/// length is not recorded where the body varies.
fn without_varying_parts(fleet: &Fleet, response: &str) -> String {
    let (head, text) = response.split_once("\r\n\r\n").expect("a head and a body");
    let length = format!("\r\nContent-Length: {}\r\n", text.len());
    assert!(head.contains(&length), "{response}");
    let mut normalized = text.to_owned();
    for key in VARYING {
        normalized = without_number(&normalized, &format!("\"{key}\":"), "N");
    }
    for member in 0..fleet.options.members {
        normalized =
            normalized.replace(&fleet.advertised_address(member).to_string(), &format!("ADDRESS-{member}"));
    }
    let head =
        if normalized == text { head.to_owned() } else { without_number(head, "Content-Length: ", "N") };
    escaped(&format!("{head}\r\n\r\n{normalized}"))
}

fn exchange(fleet: &Fleet, member: usize, line: &str) -> String {
    let response = complete_response(admin_address_of(fleet, member), &request(line));
    format!("> {line}\n< {}\n", without_varying_parts(fleet, &response))
}

/// Sends the body of a proposal to a member; returns the response under a title.
fn propose(fleet: &Fleet, member: usize, title: &str, body: &str) -> String {
    let request = format!(
        "POST /control/policy HTTP/1.1\r\nHost: door\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let response = complete_response(admin_address_of(fleet, member), &request);
    format!("> POST /control/policy, {title}\n< {}\n", without_varying_parts(fleet, &response))
}

fn proposal(id: &str, after: u64, settings: &Value) -> String {
    json!({"id": id, "after": after, "settings": settings}).to_string()
}

#[test]
fn a_fleet_of_one_and_of_two_is_reported_as_recorded() {
    let mut fleet = Fleet::new(Options::with_members(2), nodes(), origin());
    fleet.start(0);
    let mut actual = exchange(&fleet, 0, "GET /control/fleet");
    fleet.start(1);
    fleet.wait_until("the members see each other", |fleet| fleet.all_agree(&[0, 1]));
    actual += &exchange(&fleet, 0, "GET /control/fleet");
    actual += &exchange(&fleet, 1, "GET /control/fleet");
    actual += &exchange(&fleet, 0, "GET /control/policy");
    let leaving = fleet.take_process(1);
    leaving.signal("TERM");
    assert!(leaving.wait_for_exit().success());
    let has_left = |fleet: &Fleet| fleet.report(0).unwrap().names_in_state("left") == ["n1"];
    fleet.wait_until("member 1 is listed as left", has_left);
    actual += &exchange(&fleet, 0, "GET /control/fleet");
    compare("fleet", include_str!("recorded/fleet.txt"), &actual);
}

#[test]
fn quotas_of_a_fleet_with_founders_are_reported_as_recorded() {
    let options = Options { founders: vec![0], ..Options::with_members(2) };
    let mut fleet = Fleet::new(options, nodes(), origin());
    let report_json = |fleet: &Fleet, member: usize| fleet.report(member).unwrap().json;
    fleet.start(0);
    fleet.wait_until("member 0 is the leader", |fleet| report_json(fleet, 0)["steward"] == true);
    fleet.start(1);
    // Each member has a guaranteed minimum of one of 32 parts and a lease of half of the 16 leased
    // parts.
    let has_part = |fleet: &Fleet, member: usize| report_json(fleet, member)["share"] == json!(9.0 / 32.0);
    let all = |fleet: &Fleet| fleet.all_agree(&[0, 1]) && (0..2).all(|member| has_part(fleet, member));
    fleet.wait_until("each member has its quota", all);
    let actual = [0, 1].map(|member| exchange(&fleet, member, "GET /control/fleet")).concat();
    compare("founders", include_str!("recorded/founders.txt"), &actual);
}

/// Starts three members with one policy, all of them founders.
fn fleet_with_policy() -> Fleet {
    let options = Options { founders: vec![0, 1, 2], policy: true, ..Options::with_members(3) };
    let fleet = Fleet::start_all(options, nodes(), origin());
    wait_for_version(&fleet, 1);
    fleet
}

/// Waits until all members have a policy version and report that the others have the same.
fn wait_for_version(fleet: &Fleet, version: u64) {
    let same = |drift: &Value| {
        let nodes = drift["nodes"].as_array().map_or(&[][..], |nodes| nodes);
        nodes.len() == 3 && nodes.iter().all(|node| node["state"] == "same")
    };
    let drift_at = |member| call_admin(admin_address_of(fleet, member), "GET", "/control/drift").1;
    fleet.wait_until("all members have the policy version", |fleet| {
        let steady = (version, "steady".to_owned());
        (0..3).all(|member| policy_status(fleet, member) == steady)
            && (0..3).all(|member| same(&serde_json::from_str(&drift_at(member)).unwrap()))
    });
}

#[test]
fn a_policy_and_a_change_of_it_are_reported_as_recorded() {
    let fleet = fleet_with_policy();
    let get = |line: &str| exchange(&fleet, 1, line);
    let mut actual = get("GET /control/policy") + &get("GET /control/policy/changes/x");
    actual += &propose(&fleet, 1, "a change", &proposal("x", 1, &settings(&fleet, 2)));
    fleet.wait_until("the policy change ends", |fleet| !change_outcome(fleet, 1, "x").is_empty());
    wait_for_version(&fleet, 2);
    actual += &(get("GET /control/policy") + &get("GET /control/policy/changes/x"));
    actual += &propose(&fleet, 1, "the same", &proposal("x", 1, &settings(&fleet, 2)));
    actual += &propose(&fleet, 1, "another of its name", &proposal("x", 2, &settings(&fleet, 1)));
    compare("policy", include_str!("recorded/policy.txt"), &actual);
}

#[test]
fn invalid_proposals_are_rejected_as_recorded() {
    let fleet = fleet_with_policy();
    let valid = settings(&fleet, 2);
    let mut unknown = valid.clone();
    unknown["Gradse"] = json!(1);
    let mut no_aim = valid.clone();
    no_aim["Grades"][0]["Aim"] = json!(0.0);
    let bodies = [
        ("no JSON", "{".to_owned()),
        ("nothing in it", "{}".to_owned()),
        ("a field too many", r#"{"id":"x","after":1,"settings":{},"by":"me"}"#.to_owned()),
        ("no number", r#"{"id":"x","after":"1","settings":{}}"#.to_owned()),
        ("no id", proposal("", 1, &valid)),
        ("after a version that is not in force", proposal("x", 7, &valid)),
        ("an unknown key", proposal("x", 1, &unknown)),
        ("a bad value", proposal("x", 1, &no_aim)),
        ("empty settings", proposal("x", 1, &json!({}))),
    ];
    let actual: String = bodies.iter().map(|(title, body)| propose(&fleet, 0, title, body)).collect();
    compare("proposals", include_str!("recorded/proposals.txt"), &actual);
}

#[test]
fn a_partitioned_member_reports_that_it_is_fenced_as_recorded() {
    let fleet = fleet_with_policy();
    fleet.partition(&[&[2], &[0, 1]]);
    fleet.wait_until("member 2 is fenced", |fleet| policy_status(fleet, 2) == (1, "fenced".to_owned()));
    let mut actual = exchange(&fleet, 2, "GET /control/policy");
    actual += &exchange(&fleet, 2, "GET /control/ready");
    actual += &propose(&fleet, 2, "a change", &proposal("x", 1, &settings(&fleet, 2)));
    let mut client = fleet.client(2);
    actual += &format!("> mn\n< {}\n", escaped(&client.request("mn\r\n")));
    let response = fleet.client(2).get("k", "1", 1000).0;
    actual += &format!("> mg\n< {}\n", escaped(&response));
    compare("fenced", include_str!("recorded/fenced.txt"), &actual);
}

#[test]
fn drift_and_its_end_are_reported_as_recorded() {
    let options = Options { founders: vec![0, 1, 2], policy: true, ..Options::with_members(3) };
    let mut fleet = Fleet::new(options, nodes(), origin());
    // Member 2 applies the settings of its own file, a mode for emergencies.
    let mut local = fleet.config(2, &[0, 1]);
    local["fleet"]["policy"]["local"] = json!(true);
    fleet.set_config(2, &local);
    fleet.start_together(&[0, 1, 2]);
    wait_for_version(&fleet, 1);
    let mut actual = exchange(&fleet, 0, "GET /control/drift");
    actual += &exchange(&fleet, 0, "POST /control/policy/restore");
    local["listen"] = json!(fleet.process(2).client_address.to_string());
    local["settings"] = settings(&fleet, 2);
    fleet.set_config(2, &local);
    fleet.process(2).signal("HUP");
    fleet.wait_until("member 0 reports the drift", |fleet| {
        call_admin(admin_address_of(fleet, 0), "GET", "/control/drift").1.contains(r#""state":"differs""#)
    });
    actual += &exchange(&fleet, 0, "GET /control/drift");
    actual += &exchange(&fleet, 2, "POST /control/policy/restore");
    wait_for_version(&fleet, 1);
    actual += &exchange(&fleet, 0, "GET /control/drift");
    compare("drift", include_str!("recorded/drift.txt"), &actual);
}
