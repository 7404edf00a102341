//! Tests of a fleet with a common policy: the policy that members report ([`policy_status`],
//! [`change_outcome`]), clients that find out which version decided each request
//! ([`PolicyClients`]), and complete runs under faults ([`run_under_faults`]).
//!
//! Two policies alternate, in which the same class is named `read` and `scan`. An odd version
//! therefore serves `read` and rejects `scan` as unknown; an even version does the opposite.

mod clients;
mod run;

pub use clients::{now_ms, PolicyClients};
pub use run::{run_under_faults, run_with_reloads, PolicyRun};

use crate::client::{call_admin, send_to_admin};
use crate::fleet::Fleet;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Returns the settings of a version.
pub fn settings(fleet: &Fleet, version: u64) -> Value {
    let mut settings = fleet.config(0, &[])["settings"].clone();
    if version.is_multiple_of(2) {
        settings["Grades"][0]["Name"] = json!("scan");
    }
    settings
}

/// Proposes the change `id` to follow the version `after`; returns the status and JSON of the
/// response.
pub fn propose(admin: SocketAddr, id: &str, after: u64, settings: &Value) -> (u16, Value) {
    let body = json!({"id": id, "after": after, "settings": settings}).to_string();
    let request = format!(
        "POST /control/policy HTTP/1.1\r\nHost: door\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let (status, text) = send_to_admin(admin, &request);
    (status, serde_json::from_str(&text).unwrap_or(Value::Null))
}

/// Gets a path of an admin endpoint; returns the JSON of the response, or null for a response
/// without JSON.
pub fn get_json(admin: SocketAddr, path: &str) -> Value {
    serde_json::from_str(&call_admin(admin, "GET", path).1).unwrap_or(Value::Null)
}

/// Returns the version that is active at a member and the state of the member.
pub fn policy_status(fleet: &Fleet, member: usize) -> (u64, String) {
    let status = get_json(fleet.process(member).admin_address, "/control/policy");
    let version = status["version"].as_u64().unwrap_or(0);
    let state = status["state"].as_str().unwrap_or_default();
    (version, state.to_owned())
}

/// Returns the outcome of a change that a member reports; empty if the change is open or unknown.
pub fn change_outcome(fleet: &Fleet, member: usize, id: &str) -> String {
    let path = format!("/control/policy/changes/{id}");
    let change = get_json(fleet.process(member).admin_address, &path);
    let outcome = change["outcome"].as_str().unwrap_or_default();
    if outcome == "open" {
        String::new()
    } else {
        outcome.to_owned()
    }
}
