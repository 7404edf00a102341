//! Changes of the policy, open and finished. Read [`Change`] first.
//!
//! The transitions between the stages of a change are methods of
//! [`ReplicatedState`](crate::ReplicatedState). The order of variants and fields is part of the
//! format of messages and state files.

use crate::Digest;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The stage of an open change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Every process validates the change.
    Preparing {
        /// Whether processes that are not ready get no more leases for the active version.
        strict: bool,
    },
    /// Lease holders release their leases, and no more leases are granted for the active version.
    Closing,
}

/// The outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The version of the change became the active one.
    Committed,
    /// A process rejected the change.
    Rejected,
    /// The change was open for longer than
    /// [`Timing::change_timeout`](crate::Timing::change_timeout).
    Abandoned,
}

/// An open change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The id of the change, chosen by the operator.
    pub id: String,
    /// The text of the policy that the change would make active.
    pub text: Arc<str>,
    /// The stage of the change.
    pub stage: Stage,
    /// The number of times that the change has entered [`Stage::Preparing`], from 1.
    pub attempt: u32,
    /// The name of the process that proposed the change.
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
    /// The id of the change.
    pub id: String,
    /// The digest of the policy text of the change.
    pub digest: Digest,
    /// The stage of the change.
    pub stage: Stage,
    /// The number of times that the change has entered [`Stage::Preparing`], from 1.
    pub attempt: u32,
}

/// A finished change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedChange {
    /// The id of the change.
    pub id: String,
    /// The version that the change made active, or would have made active.
    pub version: u64,
    /// The digest of the policy text of the change.
    pub digest: Digest,
    /// The outcome of the change.
    pub outcome: Outcome,
    /// The reason for the outcome, as shown to the operator.
    pub reason: String,
}

impl FinishedChange {
    /// Returns a digest of all fields. Processes of different versions of this program compare the
    /// digest, so the hashed text is written out here and keeps the names of the first version.
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
