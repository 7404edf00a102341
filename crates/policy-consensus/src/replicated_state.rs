//! The state that the voters agree on: the active version of the policy, the open change, and the
//! outcomes of the last changes. Read [`ReplicatedState`] first.
//!
//! Each transition of a change is one function that returns the next state: [`propose`] opens the
//! change, [`advance`] moves it to another stage, [`finish`] ends it. No transition waits. The
//! proposer and the acceptors bring a majority of voters to agree on the result.
//!
//! [`propose`]: ReplicatedState::propose
//! [`advance`]: ReplicatedState::advance
//! [`finish`]: ReplicatedState::finish

use crate::{Change, ChangeSummary, Digest, FinishedChange, Outcome, Stage};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// The maximum number of finished changes that the state keeps.
const MAX_FINISHED_CHANGES: usize = 64;
/// The maximum length of a policy's text in bytes.
const MAX_POLICY_BYTES: usize = 256 * 1024;
/// The maximum length of a change's id in bytes.
const MAX_ID_BYTES: usize = 64;

/// The state that the voters agree on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The counter of transitions; the first state of a fleet has revision 1.
    pub revision: u64,
    /// The active version of the policy.
    pub version: u64,
    /// The text of the active version.
    pub text: Arc<str>,
    /// The open change.
    pub open_change: Option<Change>,
    /// The last finished changes, oldest first.
    pub finished_changes: Vec<FinishedChange>,
}

/// A summary of a state without its texts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSummary {
    /// The revision of the state; 0 if no state is known.
    pub revision: u64,
    /// The active version of the policy.
    pub version: u64,
    /// The digest of the active version.
    pub digest: Digest,
    /// The open change.
    pub open_change: Option<ChangeSummary>,
    /// The digest of the last finished change, which covers the reason for its outcome.
    ///
    /// Note: two voters may finish a change for different reasons, of which only one is agreed.
    pub last_finished: Digest,
}

/// The reason why a change cannot be opened.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Conflict {
    /// The change is based on a version that is not the active one.
    #[error("version {active} is in force")]
    OtherVersion {
        /// The active version.
        active: u64,
    },
    /// Another change is open.
    #[error("the change {id} is open")]
    OtherChange {
        /// The id of the open change.
        id: String,
    },
    /// A change with the same id had another text.
    #[error("a change of this name proposed something else")]
    IdReused,
    /// The id is empty or too long.
    #[error("id must have 1 to 64 bytes")]
    InvalidId,
    /// The text is too long.
    #[error("settings must have at most 262144 bytes")]
    PolicyTooLong,
}

impl ReplicatedState {
    /// Returns the first state of a fleet, with this text as version 1.
    #[must_use]
    pub fn initial(text: &str) -> ReplicatedState {
        ReplicatedState {
            revision: 1,
            version: 1,
            text: text.into(),
            open_change: None,
            finished_changes: Vec::new(),
        }
    }

    /// Returns the summary of this state.
    #[must_use]
    pub fn summary(&self) -> StateSummary {
        let last_finished = self.finished_changes.last();
        StateSummary {
            revision: self.revision,
            version: self.version,
            digest: Digest::of(&self.text),
            open_change: self.open_change.as_ref().map(Change::summary),
            last_finished: last_finished.map_or(Digest::default(), FinishedChange::content_digest),
        }
    }

    /// Returns the state in which a change is open, if the change may be opened. If the change was
    /// opened before, that state equals this one.
    ///
    /// Inputs: the id of the change, the version on which the change is based, its text, and the
    /// name of the process that proposes it.
    /// Reason: changes follow one another, and an operator may repeat a proposal that got no
    /// answer.
    /// Source: Rystsov, "CASPaxos" (2018): a change is a function of the current value.
    ///
    /// # Errors
    ///
    /// If the change does not follow from this state, or is not well-formed.
    pub fn propose(
        &self,
        id: &str,
        base_version: u64,
        text: &str,
        proposer: &str,
    ) -> Result<ReplicatedState, Conflict> {
        if id.is_empty() || id.len() > MAX_ID_BYTES {
            return Err(Conflict::InvalidId);
        }
        if text.len() > MAX_POLICY_BYTES {
            return Err(Conflict::PolicyTooLong);
        }
        if let Some(digest) = self.digest_of_change(id) {
            return if digest == Digest::of(text) { Ok(self.clone()) } else { Err(Conflict::IdReused) };
        }
        if let Some(change) = &self.open_change {
            return Err(Conflict::OtherChange { id: change.id.clone() });
        }
        if base_version != self.version {
            return Err(Conflict::OtherVersion { active: self.version });
        }
        let change = Change {
            id: id.to_owned(),
            text: text.into(),
            stage: Stage::Preparing { strict: false },
            attempt: 1,
            proposer: proposer.to_owned(),
        };
        Ok(self.next_with_open_change(change))
    }

    /// Returns the next state, in which the open change has moved to another stage, or `None` if
    /// this attempt of the change is not open or is already at that stage.
    ///
    /// Inputs: the id and the attempt of the change, and the stage.
    /// Reason: a leader that acts on an earlier attempt must not move the present one.
    /// Source: Rystsov, "CASPaxos" (2018): a change is a function of the current value.
    ///
    /// Invariant: a change that returns from closing begins a new attempt, so that a process that
    /// released its lease in one attempt does not count as released in the next.
    #[must_use]
    pub fn advance(&self, id: &str, attempt: u32, stage: Stage) -> Option<ReplicatedState> {
        let change = self.open_change_with_id(id).filter(|change| change.attempt == attempt)?;
        if change.stage == stage {
            return None;
        }
        let mut next = Change { stage, ..change.clone() };
        if change.stage == Stage::Closing {
            next.attempt += 1;
        }
        Some(self.next_with_open_change(next))
    }

    /// Returns the next state, in which the open change has finished, or `None` if the change is
    /// not open or may not be committed yet. A committed change makes its version the active one.
    ///
    /// Inputs: the id of the change, its outcome, and the reason for the outcome.
    /// Reason: a change finishes once; a leader that repeats the step has no effect.
    /// Source: Rystsov, "CASPaxos" (2018): a change is a function of the current value.
    ///
    /// Invariant: a change is committed only from [`Stage::Closing`], in which no lease is granted.
    #[must_use]
    pub fn finish(&self, id: &str, outcome: Outcome, reason: &str) -> Option<ReplicatedState> {
        let change = self.open_change_with_id(id)?;
        let is_committed = outcome == Outcome::Committed;
        if is_committed && change.stage != Stage::Closing {
            return None;
        }
        let mut next = self.clone();
        next.revision += 1;
        next.open_change = None;
        next.finished_changes.push(FinishedChange {
            id: id.to_owned(),
            version: self.version + 1,
            digest: Digest::of(&change.text),
            outcome,
            reason: reason.to_owned(),
        });
        let surplus = next.finished_changes.len().saturating_sub(MAX_FINISHED_CHANGES);
        next.finished_changes.drain(..surplus);
        if is_committed {
            next.version = self.version + 1;
            next.text = Arc::clone(&change.text);
        }
        Some(next)
    }

    /// Returns the text with this digest, if the active version or the open change has that text.
    pub(crate) fn text_with_digest(&self, digest: Digest) -> Option<Arc<str>> {
        let open_text = self.open_change.as_ref().map(|change| &change.text);
        let texts = [Some(&self.text), open_text];
        texts.into_iter().flatten().find(|text| Digest::of(text) == digest).cloned()
    }

    /// Returns the finished change with this id, if the state still keeps it.
    pub(crate) fn finished_change(&self, id: &str) -> Option<&FinishedChange> {
        self.finished_changes.iter().find(|change| change.id == id)
    }

    /// Returns the open change, if it has this id.
    pub(crate) fn open_change_with_id(&self, id: &str) -> Option<&Change> {
        self.open_change.as_ref().filter(|change| change.id == id)
    }

    fn digest_of_change(&self, id: &str) -> Option<Digest> {
        if let Some(change) = self.open_change_with_id(id) {
            return Some(Digest::of(&change.text));
        }
        self.finished_change(id).map(|change| change.digest)
    }

    fn next_with_open_change(&self, change: Change) -> ReplicatedState {
        ReplicatedState { revision: self.revision + 1, open_change: Some(change), ..self.clone() }
    }
}

#[cfg(test)]
mod tests;
