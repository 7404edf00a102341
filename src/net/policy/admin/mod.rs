//! The requests of operators about the fleet's policy: methods of [`Policy`], each of which returns
//! a [`PolicyResponse`] within a second, even while connections to peers are down. `documents`
//! defines the JSON.

pub(super) mod documents;

use super::{text, Policy};
use crate::net::deadline_stream::sleep;
use documents::{PolicyStatus, Proposal};
use pinetrail_policy_consensus::{Conflict, ProposalError};
use serde_json::{json, Value};
use std::future::Future;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time within which a majority of voters has to agree on a proposal.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(700);
/// The number of voters that are asked for the status of a change, one after another, within
/// [`PROPOSAL_TIMEOUT`].
const VOTERS_PER_STATUS_REQUEST: u32 = 3;
/// The time within which one voter has to reply to a request for the status of a change.
const VOTER_TIMEOUT: Duration = PROPOSAL_TIMEOUT.checked_div(VOTERS_PER_STATUS_REQUEST).unwrap();
/// The longest wait of a request for the policy thread. It is below 1 s, the time within which the
/// admin server must respond.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// The pause between two checks whether the policy thread has returned a value.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A response to an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The body, a JSON document.
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

impl Policy {
    /// Returns the status of the policy at this process, for `GET /control/policy`.
    pub fn status(&self) -> PolicyResponse {
        let status = PolicyStatus::from(self.node.status());
        // Serialization cannot fail: all fields have a JSON form.
        PolicyResponse { status: 200, json: serde_json::to_string(&status).unwrap_or_default() }
    }

    /// Proposes a change of the policy, for `POST /control/policy`.
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
        let proposed = self.run_on_policy_thread(async move {
            node.propose(&proposal.id, proposal.base_version, &text, PROPOSAL_TIMEOUT).await
        });
        match proposed {
            Some(Ok(version)) => PolicyResponse::new(202, &json!({"id": id, "version": version})),
            Some(Err(error)) => PolicyResponse::error(proposal_error_status(&error), error),
            None => PolicyResponse::error(503, ProposalError::NoMajority),
        }
    }

    /// Returns the drift states of all processes, for `GET /control/drift`.
    pub fn drift_report(&self) -> PolicyResponse {
        PolicyResponse::new(200, &self.drift_monitor.to_json())
    }

    /// Restores the approved policy at this process, for `POST /control/policy/restore`.
    pub fn restore(&self) -> PolicyResponse {
        match self.drift_monitor.restore() {
            Ok(version) => PolicyResponse::new(200, &json!({"version": version})),
            Err(error) => PolicyResponse::error(409, error),
        }
    }

    /// Returns the status of a change, for `GET /control/policy/changes/ID`.
    pub fn change_status(&self, id: &str) -> PolicyResponse {
        let node = Arc::clone(&self.node);
        let id = id.to_owned();
        let status = self.run_on_policy_thread(async move { node.change_status(&id, VOTER_TIMEOUT).await });
        match status.flatten() {
            Some(status) => PolicyResponse::new(200, &documents::change_status(&status)),
            None => PolicyResponse::error(404, "no change of this name is known here"),
        }
    }

    /// Runs a future on the policy thread and waits for its value; returns `None` after
    /// [`REQUEST_TIMEOUT`]. Polls for the value, since the caller is a coroutine, which must not
    /// block its thread.
    ///
    /// The spawned task runs until the future completes, even after the timeout.
    fn run_on_policy_thread<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = channel();
        self.thread.runtime().spawn(async move {
            // Fails if the receiver was dropped after the timeout.
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

/// Returns the HTTP status code for a proposal that has opened no change.
fn proposal_error_status(error: &ProposalError) -> u16 {
    match error {
        ProposalError::Rejected(_)
        | ProposalError::Conflict(Conflict::InvalidId | Conflict::PolicyTooLong) => 400,
        ProposalError::Conflict(_) => 409,
        ProposalError::NoMajority => 503,
    }
}

#[cfg(test)]
mod golden_tests;
