//! What is agreed: the version in force, the change that is open, how the last ones ended. Each step makes a new book of
//! the one before, without waits; who votes for it is another matter.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// So many changes that ended are remembered.
const REMEMBERED: usize = 64;
/// The longest text of a policy, and the longest name of a change.
const MAX_TEXT: usize = 256 * 1024;
const MAX_ID: usize = 64;

/// A hash (XXH3, 64 bits) of a policy's text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Digest {
    /// Of this text.
    pub fn of(text: &str) -> Digest {
        Digest(xxh3_64(text.as_bytes()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Where an open change stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Everybody checks it.
    Preparing {
        /// Whether who is not ready gets no permit for the version before any more.
        strict: bool,
    },
    /// All that could admit under the version before are asked to stop.
    Closing,
}

/// How a change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Its version came into force.
    Committed,
    /// Somebody said no.
    Rejected,
    /// It took too long.
    Abandoned,
}

/// A change that is open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its name.
    pub id: String,
    /// The policy that it would bring.
    pub text: Arc<str>,
    /// Where it stands.
    pub stage: Stage,
    /// How often it was at its first stage.
    pub attempt: u32,
    /// Who proposed it.
    pub by: String,
}

/// A change that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedChange {
    /// Its name.
    pub id: String,
    /// The version that it brought, or would have.
    pub version: u64,
    /// Of its policy.
    pub digest: Digest,
    /// How it ended.
    pub outcome: Outcome,
    /// Why.
    pub why: String,
}

impl FinishedChange {
    /// A digest of all its fields. Processes of different versions of this program compare it, so its
    /// text is spelled out here and keeps the names of the first version, whatever the Rust names are.
    fn content_digest(&self) -> Digest {
        let outcome = match self.outcome {
            Outcome::Committed => "Taken",
            Outcome::Rejected => "Refused",
            Outcome::Abandoned => "Abandoned",
        };
        let FinishedChange { id, version, digest: Digest(digest), why, .. } = self;
        Digest::of(&format!(
            "Ended {{ id: {id:?}, version: {version}, digest: Digest({digest}), \
             outcome: {outcome}, why: {why:?} }}"
        ))
    }
}

/// What is agreed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Counts the steps.
    pub revision: u64,
    /// The version in force.
    pub version: u64,
    /// Its text.
    pub text: Arc<str>,
    /// The change that is open.
    pub change: Option<Change>,
    /// Those that ended, the latest last.
    pub ended: Vec<FinishedChange>,
}

/// The same in short.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSummary {
    /// Of the book.
    pub revision: u64,
    /// The version in force.
    pub version: u64,
    /// Of its text.
    pub digest: Digest,
    /// The change that is open.
    pub change: Option<ChangeSummary>,
    /// Of how the last change ended. Danger: two founders may end one for two reasons; only one of these is agreed.
    pub last: Digest,
}

/// An open change in short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// Its name.
    pub id: String,
    /// Of its text.
    pub digest: Digest,
    /// Where it stands.
    pub stage: Stage,
    /// How often it was at its first stage.
    pub attempt: u32,
}

/// Why a change cannot be opened.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Conflict {
    /// Another version is in force.
    #[error("version {0} is in force")]
    Version(u64),
    /// Another change is open.
    #[error("the change {0} is open")]
    Change(String),
    /// A change of this name had another text.
    #[error("a change of this name proposed something else")]
    Name,
    /// A name is empty or too long, or a text is too long.
    #[error("{0}")]
    Form(&'static str),
}

impl ReplicatedState {
    /// The first book.
    pub fn initial(text: &str) -> ReplicatedState {
        ReplicatedState { revision: 1, version: 1, text: text.into(), change: None, ended: Vec::new() }
    }

    /// The same in short.
    pub fn summary(&self) -> StateSummary {
        let open = |change: &Change| ChangeSummary {
            id: change.id.clone(),
            digest: Digest::of(&change.text),
            stage: change.stage,
            attempt: change.attempt,
        };
        StateSummary {
            revision: self.revision,
            version: self.version,
            digest: Digest::of(&self.text),
            change: self.change.as_ref().map(open),
            last: self.ended.last().map_or(Digest::default(), FinishedChange::content_digest),
        }
    }

    /// With a change opened; the same book if it was opened before.
    pub fn open(&self, id: &str, after: u64, text: &str, by: &str) -> Result<ReplicatedState, Conflict> {
        if id.is_empty() || id.len() > MAX_ID {
            return Err(Conflict::Form("id must have 1 to 64 bytes"));
        }
        if text.len() > MAX_TEXT {
            return Err(Conflict::Form("settings must have at most 262144 bytes"));
        }
        let same =
            |digest: Digest| if digest == Digest::of(text) { Ok(self.clone()) } else { Err(Conflict::Name) };
        if let Some(change) = self.change.as_ref().filter(|change| change.id == id) {
            return same(Digest::of(&change.text));
        }
        if let Some(ended) = self.ended.iter().find(|ended| ended.id == id) {
            return same(ended.digest);
        }
        if let Some(change) = &self.change {
            return Err(Conflict::Change(change.id.clone()));
        }
        if after != self.version {
            return Err(Conflict::Version(self.version));
        }
        let stage = Stage::Preparing { strict: false };
        let change = Change { id: id.to_owned(), text: text.into(), stage, attempt: 1, by: by.to_owned() };
        Ok(ReplicatedState { revision: self.revision + 1, change: Some(change), ..self.clone() })
    }

    /// With an open change at another stage; none if it is not open, or is there.
    pub fn at(&self, id: &str, attempt: u32, stage: Stage) -> Option<ReplicatedState> {
        let change = self.change.as_ref().filter(|change| change.id == id && change.attempt == attempt)?;
        if change.stage == stage {
            return None;
        }
        // Danger: who gave its permit up in one attempt must not pass for having done so in the next.
        let again = u32::from(change.stage == Stage::Closing);
        let change = Change { stage, attempt: attempt + again, ..change.clone() };
        Some(ReplicatedState { revision: self.revision + 1, change: Some(change), ..self.clone() })
    }

    /// With a change ended; none if it is not open. Danger: it is taken only from the stage at which all stop admitting.
    pub fn end(&self, id: &str, outcome: Outcome, why: &str) -> Option<ReplicatedState> {
        let change = self.change.as_ref().filter(|change| change.id == id)?;
        let taken = outcome == Outcome::Committed;
        if taken && change.stage != Stage::Closing {
            return None;
        }
        let version = self.version + 1;
        let mut ended = self.ended.clone();
        ended.push(FinishedChange {
            id: id.to_owned(),
            version,
            digest: Digest::of(&change.text),
            outcome,
            why: why.to_owned(),
        });
        let late = ended.len().saturating_sub(REMEMBERED);
        ended.drain(..late);
        let (version, text) =
            if taken { (version, Arc::clone(&change.text)) } else { (self.version, Arc::clone(&self.text)) };
        Some(ReplicatedState { revision: self.revision + 1, version, text, change: None, ended })
    }
}

#[cfg(test)]
mod tests;
