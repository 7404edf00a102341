//! Converts configurations and endpoint lists, which are JSON, to the types of the history checker.

use pinetrail_history_checker::{Class, DeduplicationScope, Idempotency, Limits, Node, NodeState};
use serde_json::Value;

/// Time after the deadline of a request, in ms, within which the response counts as in time.
const RESPONSE_SLACK_MS: f64 = 20.0;
/// Time after the listing of a drain, in ms, within which new attempts may still go to the node.
const DRAIN_GRACE_MS: f64 = 1000.0;

/// Converts an entry of an endpoint list to a node. The start of the node becomes relative to
/// `start_unix_ms`, the start of the recording in ms since the Unix epoch.
pub(super) fn node(entry: &Value, start_unix_ms: f64) -> Node {
    let text = |key: &str| entry[key].as_str().unwrap().to_owned();
    Node {
        name: text("instanceId"),
        address: text("hostPort"),
        zone: u16::from(text("zone") != "a"),
        cell: entry["cell"].as_u64().unwrap() as u16,
        state: match &*text("lifecycle") {
            "ready" => NodeState::Ready,
            "draining" => NodeState::Draining,
            _ => NodeState::Gone,
        },
        started: entry["startedAtMs"].as_f64().unwrap() - start_unix_ms,
    }
}

/// Reads the limits that the rules apply from the settings of a configuration.
pub(super) fn limits(settings: &Value) -> Limits {
    let permissions = &settings["Permissions"];
    let safety = &settings["Safety"];
    let safety_value = |name: &str| safety[name].as_f64().unwrap();
    let grades = settings["Grades"].as_array().unwrap();
    let name = |grade: &Value| grade["Name"].as_str().unwrap_or_default().to_owned();
    Limits {
        classes: grades.iter().map(|grade| (name(grade), class(grade))).collect(),
        max_attempts: permissions["MaxAttempts"].as_u64().unwrap() as usize,
        allows_hedging: permissions["SecondCopies"].as_bool().unwrap(),
        response_slack: RESPONSE_SLACK_MS,
        drain_grace: DRAIN_GRACE_MS,
        start_capacity: safety_value("StartCapacity"),
        warm_up_time: safety_value("Cold"),
        overload_multiple: safety_value("FallMultiple"),
        overload_time: safety_value("TipAfter"),
    }
}

fn class(grade: &Value) -> Class {
    let text = |key: &str| grade[key].as_str().unwrap_or_default();
    Class {
        idempotency: match text("Semantics") {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::Keyed,
            _ => Idempotency::NotIdempotent,
        },
        scope: match text("DedupScope") {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            _ => DeduplicationScope::Cell,
        },
        window: grade["RepeatWindow"].as_f64().unwrap_or(0.0),
    }
}
