//! What operators ask about the fleet's policy, and how they are answered. They are answered within a second, whatever is cut.

use super::{text, Policy};
use crate::net::deadline_stream::sleep;
use pinetrail_policy_consensus::{ChangeStatus, Conflict, ConsensusStatus, Outcome, ProposalError};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::future::Future;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Founders answer within this, or the operator is told that they do not. The door owes an answer within 1 s.
const WITHIN: Duration = Duration::from_millis(700);
const ANSWERED_WITHIN: Duration = Duration::from_millis(900);
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// A status and a JSON text.
pub type Answer = (u16, String);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    id: String,
    after: u64,
    settings: Value,
}

#[derive(Serialize)]
struct Standing {
    version: u64,
    digest: String,
    state: &'static str,
    change: Option<String>,
}

fn no(status: u16, why: impl ToString) -> Answer {
    (status, json!({"error": why.to_string()}).to_string())
}

impl Policy {
    /// `GET /control/policy`.
    pub fn standing(&self) -> Answer {
        let status = self.node.status();
        let state = match status.status {
            ConsensusStatus::Steady => "steady",
            ConsensusStatus::Changing => "changing",
            ConsensusStatus::CatchingUp => "catching-up",
            ConsensusStatus::Fenced => "fenced",
        };
        let standing = Standing {
            version: status.active_version,
            digest: status.agreed_digest.to_string(),
            state,
            change: status.open_change,
        };
        (200, serde_json::to_string(&standing).unwrap_or_default())
    }

    /// `POST /control/policy`.
    pub fn propose(&self, body: &[u8]) -> Answer {
        let proposal: Proposal = match serde_json::from_slice(body) {
            Ok(proposal) => proposal,
            Err(error) => return no(400, format!("the body is no proposal: {error}")),
        };
        let (node, id) = (Arc::clone(&self.node), proposal.id.clone());
        let text = text::common(&proposal.settings);
        let done = self.wait(async move { node.propose(&proposal.id, proposal.after, &text, WITHIN).await });
        match done {
            Some(Ok(version)) => (202, json!({"id": id, "version": version}).to_string()),
            Some(Err(ProposalError::Rejected(why))) => no(400, why),
            Some(Err(ProposalError::Conflict(why @ (Conflict::InvalidId | Conflict::PolicyTooLong)))) => {
                no(400, why)
            }
            Some(Err(ProposalError::Conflict(why))) => no(409, why),
            Some(Err(why @ ProposalError::NoMajority)) => no(503, why),
            None => no(503, ProposalError::NoMajority),
        }
    }

    /// `GET /control/drift`.
    pub fn drift(&self) -> Answer {
        (200, self.drift.report().to_string())
    }

    /// `POST /control/policy/restore`.
    pub fn restore(&self) -> Answer {
        match self.drift.restore() {
            Ok(version) => (200, json!({"version": version}).to_string()),
            Err(why) => no(409, why),
        }
    }

    /// `GET /control/policy/changes/ID`.
    pub fn change(&self, id: &str) -> Answer {
        let (node, id) = (Arc::clone(&self.node), id.to_owned());
        let seen = self.wait(async move { node.change_status(&id, WITHIN / 3).await });
        match seen.flatten() {
            Some(ChangeStatus { outcome, reason, waiting_for }) => {
                let outcome = match outcome {
                    None => "open",
                    Some(Outcome::Committed) => "taken",
                    Some(Outcome::Rejected) => "refused",
                    Some(Outcome::Abandoned) => "abandoned",
                };
                (200, json!({"outcome": outcome, "why": reason, "waiting_for": waiting_for}).to_string())
            }
            None => no(404, "no change of this name is known here"),
        }
    }

    /// Waits for something that is done on the thread of the links; none if it takes too long.
    fn wait<T: Send + 'static>(&self, done: impl Future<Output = T> + Send + 'static) -> Option<T> {
        let (say, said) = channel();
        self.runtime.spawn(async move {
            // Who asked may have been answered by then.
            let _ = say.send(done.await);
        });
        let until = Instant::now() + ANSWERED_WITHIN;
        while Instant::now() < until {
            if let Ok(done) = said.try_recv() {
                return Some(done);
            }
            sleep(LOOK_EVERY);
        }
        None
    }
}

#[cfg(test)]
#[path = "door_golden_tests.rs"]
mod golden_tests;
