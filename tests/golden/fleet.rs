//! Responses of the admin servers of a fleet: its members, quotas, policy, and drift.

use crate::admin::{complete_response, request};
use crate::{compare, escaped, origin, without_number};
use pinetrail_test_harness::fleet::{Fleet, Options};
use pinetrail_test_harness::policy::{change_outcome, policy_status, settings};
use pinetrail_test_harness::{call_admin, StubServer};
use serde_json::{json, Value};

/// Numbers that differ from run to run, by their keys.
const VARYING: [&str; 6] = ["since_ms", "heard_ms", "start", "incarnation", "lease_ms", "view"];

fn nodes() -> Vec<StubServer> {
    vec![StubServer::hit_node("v")]
}

fn admin_address_of(fleet: &Fleet, member: usize) -> std::net::SocketAddr {
    fleet.process(member).admin_address
}

/// A response without its varying parts: the numbers of [`VARYING`] and addresses. The head must
/// have the length of the body, which is not recorded where the body varies.
fn without_varying_parts(fleet: &Fleet, response: &str) -> String {
    let (head, text) = response.split_once("\r\n\r\n").expect("a head and a text");
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

/// A member's response to this body of a proposal.
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
    fleet.wait_until("they meet", |fleet| fleet.all_agree(&[0, 1]));
    actual += &exchange(&fleet, 0, "GET /control/fleet");
    actual += &exchange(&fleet, 1, "GET /control/fleet");
    actual += &exchange(&fleet, 0, "GET /control/policy");
    let leaving = fleet.take_process(1);
    leaving.signal("TERM");
    assert!(leaving.wait_for_exit().success());
    let has_left = |fleet: &Fleet| fleet.report(0).unwrap().names_in_state("left") == ["n1"];
    fleet.wait_until("it has left", has_left);
    actual += &exchange(&fleet, 0, "GET /control/fleet");
    compare("fleet", include_str!("recorded/fleet.txt"), &actual);
}

#[test]
fn quotas_of_a_fleet_with_founders_are_reported_as_recorded() {
    let options = Options { founders: vec![0], ..Options::with_members(2) };
    let mut fleet = Fleet::new(options, nodes(), origin());
    let report_json = |fleet: &Fleet, member: usize| fleet.report(member).unwrap().json;
    fleet.start(0);
    fleet.wait_until("the first is the leader", |fleet| report_json(fleet, 0)["steward"] == true);
    fleet.start(1);
    // The guaranteed minimum is one of 32 parts, and the lease half of the 16 leased parts.
    let has_part = |fleet: &Fleet, member: usize| report_json(fleet, member)["share"] == json!(9.0 / 32.0);
    let all = |fleet: &Fleet| fleet.all_agree(&[0, 1]) && (0..2).all(|member| has_part(fleet, member));
    fleet.wait_until("each has its part", all);
    let actual = [0, 1].map(|member| exchange(&fleet, member, "GET /control/fleet")).concat();
    compare("founders", include_str!("recorded/founders.txt"), &actual);
}

/// Three members with one policy, all of them founders.
fn fleet_with_policy() -> Fleet {
    let options = Options { founders: vec![0, 1, 2], policy: true, ..Options::with_members(3) };
    let fleet = Fleet::start_all(options, nodes(), origin());
    wait_for_version(&fleet, 1);
    fleet
}

/// Waits until all have a version, and report that the others have it.
fn wait_for_version(fleet: &Fleet, version: u64) {
    let same = |drift: &Value| {
        let nodes = drift["nodes"].as_array().map_or(&[][..], |nodes| nodes);
        nodes.len() == 3 && nodes.iter().all(|node| node["state"] == "same")
    };
    let drift_at = |member| call_admin(admin_address_of(fleet, member), "GET", "/control/drift").1;
    fleet.wait_until("all have the version", |fleet| {
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
    fleet.wait_until("the change ends", |fleet| !change_outcome(fleet, 1, "x").is_empty());
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
    fleet.wait_until("it is fenced", |fleet| policy_status(fleet, 2) == (1, "fenced".to_owned()));
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
    // Member 2 applies the settings of its own file, for emergencies.
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
    fleet.wait_until("the other sees it", |fleet| {
        call_admin(admin_address_of(fleet, 0), "GET", "/control/drift").1.contains(r#""state":"differs""#)
    });
    actual += &exchange(&fleet, 0, "GET /control/drift");
    actual += &exchange(&fleet, 2, "POST /control/policy/restore");
    wait_for_version(&fleet, 1);
    actual += &exchange(&fleet, 0, "GET /control/drift");
    compare("drift", include_str!("recorded/drift.txt"), &actual);
}
