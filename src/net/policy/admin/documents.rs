//! The JSON documents of `/control/policy` and `/control/drift`. Read [`PolicyStatus`] first.
//!
//! Only this file maps the program's names of fields and states to those that operators' tools
//! read, so the latter stay the same when the program's names change.

use crate::net::policy::digest;
use pinetrail_drift::{DriftDetector, TrackedProcess};
use pinetrail_policy_consensus::{ChangeStatus, ConsensusStatus, NodeStatus, Outcome};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::time::Duration;

/// The body of a proposal.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Proposal {
    /// The id of the change.
    pub(super) id: String,
    /// The version on which the change is based.
    #[serde(rename = "after")]
    pub(super) base_version: u64,
    /// The settings that the change would make active.
    pub(super) settings: Value,
}

/// The status of the policy at this process.
#[derive(Serialize)]
pub(super) struct PolicyStatus {
    #[serde(rename = "version")]
    pub(super) active_version: u64,
    #[serde(rename = "digest")]
    pub(super) agreed_digest: String,
    #[serde(rename = "state")]
    pub(super) status: &'static str,
    #[serde(rename = "change")]
    pub(super) open_change: Option<String>,
}

impl From<NodeStatus> for PolicyStatus {
    fn from(node: NodeStatus) -> PolicyStatus {
        PolicyStatus {
            active_version: node.active_version,
            agreed_digest: node.agreed_digest.to_string(),
            status: status_name(node.status),
            open_change: node.open_change,
        }
    }
}

fn status_name(status: ConsensusStatus) -> &'static str {
    match status {
        ConsensusStatus::Steady => "steady",
        ConsensusStatus::Changing => "changing",
        ConsensusStatus::CatchingUp => "catching-up",
        ConsensusStatus::Fenced => "fenced",
    }
}

fn outcome_name(outcome: Option<Outcome>) -> &'static str {
    match outcome {
        None => "open",
        Some(Outcome::Committed) => "taken",
        Some(Outcome::Rejected) => "refused",
        Some(Outcome::Abandoned) => "abandoned",
    }
}

/// Returns the status of a change.
pub(super) fn change_status(status: &ChangeStatus) -> Value {
    json!({
        "outcome": outcome_name(status.outcome),
        "why": status.reason,
        "waiting_for": status.waiting_for,
    })
}

/// Returns the drift states of all processes. `reporter` is the name of this process, and
/// `clock_start` the Unix time at which the detector's clock was 0.
pub(in crate::net::policy) fn drift_report(
    detector: &DriftDetector,
    reporter: &str,
    clock_start: Duration,
) -> Value {
    let processes: Vec<Value> =
        detector.processes().map(|tracked| process_drift(&tracked, clock_start)).collect();
    let approved = detector.approved();
    let approved_digest = digest::combined_digest(&approved.part_digests);
    json!({
        "approved": {"version": approved.version, "digest": hex(approved_digest)},
        "seen_by": reporter,
        "nodes": processes,
    })
}

/// Returns the drift state of one process, with its times in Unix milliseconds.
fn process_drift(tracked: &TrackedProcess, clock_start: Duration) -> Value {
    let clock_start_ms = u64::try_from(clock_start.as_millis()).unwrap_or(u64::MAX);
    json!({
        "name": tracked.process.name,
        "start": tracked.process.start,
        "state": tracked.state.as_str(),
        "version": tracked.report.version,
        "digest": hex(digest::combined_digest(&tracked.report.part_digests)),
        "parts": tracked.differing_parts,
        "since_ms": clock_start_ms + tracked.state_since.as_millis(),
        "heard_ms": clock_start_ms + tracked.last_report_at.as_millis(),
    })
}

fn hex(digest: u64) -> String {
    format!("{digest:016x}")
}
