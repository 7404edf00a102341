//! The requests of operators about the fleet's policy: methods of [`Policy`], each of which returns
//! a [`PolicyResponse`]. Each is answered within a second, whatever is cut off.

use super::{text, Policy};
use crate::net::deadline_stream::sleep;
use pinetrail_policy_consensus::{ChangeStatus, Conflict, ConsensusStatus, Outcome, ProposalError};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::future::Future;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The founders answer within this time, or the operator is told that they do not.
const FOUNDERS_TIMEOUT: Duration = Duration::from_millis(700);
/// One founder answers within this time when a change is asked for: they are asked in turn.
const FOUNDER_TIMEOUT: Duration = FOUNDERS_TIMEOUT.checked_div(3).unwrap();
/// The most time that a request waits for the policy's thread. The admin server owes a response
/// within 1 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// The pause between two looks whether the policy's thread is done.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A response to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyResponse {
    /// The HTTP status.
    pub status: u16,
    /// A JSON document.
    pub json: String,
}

impl PolicyResponse {
    fn new(status: u16, json: &Value) -> PolicyResponse {
        PolicyResponse { status, json: json.to_string() }
    }

    fn error(status: u16, reason: impl ToString) -> PolicyResponse {
        PolicyResponse::new(status, &json!({"error": reason.to_string()}))
    }
}

/// The body of a proposal. The names of the fields are those of its JSON.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    id: String,
    after: u64,
    settings: Value,
}

/// The state of the policy at this process. The names of the fields are those of its JSON.
#[derive(Serialize)]
struct PolicyStatus {
    version: u64,
    digest: String,
    state: &'static str,
    change: Option<String>,
}

impl Policy {
    /// `GET /control/policy`.
    pub fn status(&self) -> PolicyResponse {
        let status = self.node.status();
        let state = match status.status {
            ConsensusStatus::Steady => "steady",
            ConsensusStatus::Changing => "changing",
            ConsensusStatus::CatchingUp => "catching-up",
            ConsensusStatus::Fenced => "fenced",
        };
        let status = PolicyStatus {
            version: status.active_version,
            digest: status.agreed_digest.to_string(),
            state,
            change: status.open_change,
        };
        // It cannot fail: all of the fields have a JSON form.
        PolicyResponse { status: 200, json: serde_json::to_string(&status).unwrap_or_default() }
    }

    /// `POST /control/policy`.
    pub fn propose(&self, body: &[u8]) -> PolicyResponse {
        let proposal: Proposal = match serde_json::from_slice(body) {
            Ok(proposal) => proposal,
            Err(error) => {
                return PolicyResponse::error(400, format!("the body is no proposal: {error}"));
            }
        };
        let node = Arc::clone(&self.node);
        let id = proposal.id.clone();
        let text = text::to_policy_text(&proposal.settings);
        let proposed = self.wait_for(async move {
            node.propose(&proposal.id, proposal.after, &text, FOUNDERS_TIMEOUT).await
        });
        match proposed {
            Some(Ok(version)) => PolicyResponse::new(202, &json!({"id": id, "version": version})),
            Some(Err(error)) => PolicyResponse::error(proposal_error_status(&error), error),
            None => PolicyResponse::error(503, ProposalError::NoMajority),
        }
    }

    /// `GET /control/drift`.
    pub fn drift_report(&self) -> PolicyResponse {
        PolicyResponse::new(200, &self.drift_monitor.to_json())
    }

    /// `POST /control/policy/restore`.
    pub fn restore(&self) -> PolicyResponse {
        match self.drift_monitor.restore() {
            Ok(version) => PolicyResponse::new(200, &json!({"version": version})),
            Err(error) => PolicyResponse::error(409, error),
        }
    }

    /// `GET /control/policy/changes/ID`.
    pub fn change_status(&self, id: &str) -> PolicyResponse {
        let node = Arc::clone(&self.node);
        let id = id.to_owned();
        let status = self.wait_for(async move { node.change_status(&id, FOUNDER_TIMEOUT).await });
        let Some(ChangeStatus { outcome, reason, waiting_for }) = status.flatten() else {
            return PolicyResponse::error(404, "no change of this name is known here");
        };
        let outcome = match outcome {
            None => "open",
            Some(Outcome::Committed) => "taken",
            Some(Outcome::Rejected) => "refused",
            Some(Outcome::Abandoned) => "abandoned",
        };
        PolicyResponse::new(200, &json!({"outcome": outcome, "why": reason, "waiting_for": waiting_for}))
    }

    /// Runs a future on the policy's thread and waits for its value; none if it takes too long. It
    /// is called in a coroutine, which must not block its thread, so that it polls.
    ///
    /// The task that is spawned ends with the future, also when nobody waits any more.
    fn wait_for<T: Send + 'static>(&self, future: impl Future<Output = T> + Send + 'static) -> Option<T> {
        let (sender, receiver) = channel();
        self.thread.runtime().spawn(async move {
            // The operator may have been answered by then.
            let _ = sender.send(future.await);
        });
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(value) = receiver.try_recv() {
                return Some(value);
            }
            sleep(POLL_INTERVAL);
        }
        None
    }
}

/// The HTTP status of a proposal that was not taken.
fn proposal_error_status(error: &ProposalError) -> u16 {
    match error {
        ProposalError::Rejected(_)
        | ProposalError::Conflict(Conflict::InvalidId | Conflict::PolicyTooLong) => 400,
        ProposalError::Conflict(_) => 409,
        ProposalError::NoMajority => 503,
    }
}

#[cfg(test)]
#[path = "admin_golden_tests.rs"]
mod golden_tests;
