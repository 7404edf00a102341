//! A change of the policy, while it is open and once it has finished. Read [`Change`] first.

use crate::Digest;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// How far an open change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Every process validates it.
    Preparing {
        /// Whether processes that are not ready get no more leases for the version before.
        strict: bool,
    },
    /// All that may admit under the version before are asked to stop.
    Closing,
}

/// How a change finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Its version became the active one.
    Committed,
    /// A process rejected it.
    Rejected,
    /// It took too long.
    Abandoned,
}

/// A change that is open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its id, which the operator chose.
    pub id: String,
    /// The text of the policy that it would make active.
    pub text: Arc<str>,
    /// How far it has come.
    pub stage: Stage,
    /// How often it has been at its first stage.
    pub attempt: u32,
    /// The name of the process that proposed it.
    pub proposer: String,
}

impl Change {
    /// The summary of this change.
    #[must_use]
    pub fn summary(&self) -> ChangeSummary {
        ChangeSummary {
            id: self.id.clone(),
            digest: Digest::of(&self.text),
            stage: self.stage,
            attempt: self.attempt,
        }
    }
}

/// An open change without its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// Its id.
    pub id: String,
    /// The digest of its text.
    pub digest: Digest,
    /// How far it has come.
    pub stage: Stage,
    /// How often it has been at its first stage.
    pub attempt: u32,
}

/// A change that has finished.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedChange {
    /// Its id.
    pub id: String,
    /// The version that it made active, or would have.
    pub version: u64,
    /// The digest of its policy.
    pub digest: Digest,
    /// How it finished.
    pub outcome: Outcome,
    /// Why, in words for the operator.
    pub reason: String,
}

impl FinishedChange {
    /// A digest of all its fields. Processes of different versions of this program compare it, so
    /// its text is spelled out here and keeps the names of the first version, whatever the Rust
    /// names are.
    pub(crate) fn content_digest(&self) -> Digest {
        let outcome = match self.outcome {
            Outcome::Committed => "Taken",
            Outcome::Rejected => "Refused",
            Outcome::Abandoned => "Abandoned",
        };
        let FinishedChange { id, version, digest: Digest(digest), reason, .. } = self;
        Digest::of(&format!(
            "Ended {{ id: {id:?}, version: {version}, digest: Digest({digest}), \
             outcome: {outcome}, why: {reason:?} }}"
        ))
    }
}
