//! A change of the policy, while it is open and after it has finished. Read [`Change`] first.
//!
//! The steps between its stages are methods of [`ReplicatedState`](crate::ReplicatedState). The
//! order of variants and fields is the format of messages and state files.

use crate::Digest;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The stage of an open change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Every process validates it.
    Preparing {
        /// Whether processes that are not ready get no more leases for the active version.
        strict: bool,
    },
    /// Lease holders release their leases, and no more are granted for the active version.
    Closing,
}

/// The outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Its version became the active one.
    Committed,
    /// A process rejected it.
    Rejected,
    /// It was open for longer than [`Timing::change_timeout`](crate::Timing::change_timeout).
    Abandoned,
}

/// A change that is open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its id, chosen by the operator.
    pub id: String,
    /// The text of the policy that it would make active.
    pub text: Arc<str>,
    /// Its stage.
    pub stage: Stage,
    /// Counts, from 1, its passes through [`Stage::Preparing`].
    pub attempt: u32,
    /// The name of the process that proposed it.
    pub proposer: String,
}

impl Change {
    /// Returns the summary of this change.
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
    /// Its stage.
    pub stage: Stage,
    /// Counts, from 1, its passes through [`Stage::Preparing`].
    pub attempt: u32,
}

/// A change that has finished.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedChange {
    /// Its id.
    pub id: String,
    /// The version that it made active, or would have made active.
    pub version: u64,
    /// The digest of its policy.
    pub digest: Digest,
    /// Its outcome.
    pub outcome: Outcome,
    /// The reason for that outcome, as the operator reads it.
    pub reason: String,
}

impl FinishedChange {
    /// Returns a digest of all its fields. Processes of different versions of this program compare
    /// it, so its text is written out here and keeps the names of the first version.
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
