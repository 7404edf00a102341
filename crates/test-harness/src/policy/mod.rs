//! A fleet with one policy: what its members report of it ([`policy_status`], [`change_outcome`]),
//! clients that see which version decided each request ([`PolicyClients`]), and whole runs under
//! faults ([`run_under_faults`]).
//!
//! Two policies alternate: the class `read` of one is called `scan` by the other. So an odd version
//! serves `read` and does not know `scan`, and an even one the other way round.

mod clients;
mod run;

pub use clients::{now_ms, PolicyClients};
pub use run::{run_under_faults, run_with_reloads, PolicyRun};

use crate::client::{call_admin, send_to_admin};
use crate::fleet::Fleet;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The settings of a version.
pub fn settings(fleet: &Fleet, version: u64) -> Value {
    let mut settings = fleet.config(0, &[])["settings"].clone();
    if version.is_multiple_of(2) {
        settings["Grades"][0]["Name"] = json!("scan");
    }
    settings
}

/// Proposes a change of this name that follows a version: the status of the answer, and its JSON.
pub fn propose(admin: SocketAddr, id: &str, after: u64, settings: &Value) -> (u16, Value) {
    let body = json!({"id": id, "after": after, "settings": settings}).to_string();
    let request = format!(
        "POST /control/policy HTTP/1.1\r\nHost: door\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let (status, text) = send_to_admin(admin, &request);
    (status, serde_json::from_str(&text).unwrap_or(Value::Null))
}

/// What an admin server answers to `GET` of a path; null if it is no JSON.
pub fn get_json(admin: SocketAddr, path: &str) -> Value {
    serde_json::from_str(&call_admin(admin, "GET", path).1).unwrap_or(Value::Null)
}

/// The version that is active at a member, and the member's state.
pub fn policy_status(fleet: &Fleet, member: usize) -> (u64, String) {
    let status = get_json(fleet.process(member).admin_address, "/control/policy");
    let version = status["version"].as_u64().unwrap_or(0);
    let state = status["state"].as_str().unwrap_or_default();
    (version, state.to_owned())
}

/// How a change ended, as a member reports it; empty while it is open or not known.
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
