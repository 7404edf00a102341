//! The permits that a founder gave, by its own clock: while one of another version may be in force, it votes for no book.
//! Nothing here waits.

use crate::{ReplicatedState, Stage, StateSummary, Timing};
use pinetrail_peer_transport::Process;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// In place of those that the process before this one permitted.
const UNKNOWN: &str = "who was permitted before a founder started";

/// What a process says of itself when it asks for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Which of its questions to this founder this is.
    pub number: u64,
    /// The version that it has in force.
    pub version: u64,
    /// Whether it wants to admit under it; else it admits nothing any more by what it was permitted before.
    pub admits: bool,
    /// What it makes of the open change, if it has looked at it.
    pub word: Option<(String, Readiness)>,
    /// Whether it goes on without a permit.
    pub serves_on: bool,
}

/// What a process makes of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// It could put it in force at any moment.
    Ready,
    /// It cannot: the path, and why.
    Rejected(String),
}

/// What a founder knows of a process that asks it.
#[derive(Clone, Debug)]
struct Holder {
    number: u64,
    version: u64,
    /// Until when a permit may be in force there; none if it has none.
    until: Option<Instant>,
    heard: Instant,
    word: Option<(String, Readiness)>,
    serves_on: bool,
}

/// The permits that a founder gave.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    times: Timing,
    began: Instant,
    holders: BTreeMap<Process, Holder>,
}

impl LeaseTable {
    /// A founder that has just started.
    pub fn new(times: Timing, now: Instant) -> LeaseTable {
        LeaseTable { times, began: now, holders: BTreeMap::new() }
    }

    /// A process asks. `chosen` is what is known to be agreed, `voted` the version of the last vote. Whether it may admit.
    pub fn ask(
        &mut self,
        now: Instant,
        who: &Process,
        asked: LeaseRequest,
        chosen: &StateSummary,
        voted: u64,
    ) -> bool {
        let entry = self.holders.entry(who.clone()).or_insert_with(|| Holder {
            number: 0,
            version: 0,
            until: None,
            heard: now,
            word: None,
            serves_on: false,
        });
        // Danger: what was said before a later word may arrive after it, and would undo it.
        if asked.number <= entry.number {
            return false;
        }
        let fits = asked.version == chosen.version && voted <= chosen.version && chosen.version > 0;
        let open = chosen.change.as_ref();
        let is_ready = open.is_some_and(|open| asked.word == Some((open.id.clone(), Readiness::Ready)));
        let stays = match open.map(|open| open.stage) {
            None | Some(Stage::Preparing { strict: false }) => true,
            Some(Stage::Preparing { strict: true }) => is_ready,
            Some(Stage::Closing) => false,
        };
        (entry.number, entry.heard, entry.serves_on) = (asked.number, now, asked.serves_on);
        entry.word = asked.word;
        if !asked.admits {
            entry.until = None;
            return false;
        }
        if !(fits && stays) {
            return false;
        }
        (entry.version, entry.until) = (asked.version, Some(now + self.times.counted()));
        true
    }

    /// Who may still admit under another version than this book's, and for how many ms at the most: no vote for it till then.
    pub fn block(&self, now: Instant, book: &ReplicatedState, voted: u64) -> Vec<(String, u64)> {
        let held = self.holders.iter().filter_map(|(who, holder)| {
            let until = holder.until.filter(|until| *until > now && holder.version != book.version)?;
            Some((who.name.to_string(), left(until, now)))
        });
        let mut all: Vec<(String, u64)> = held.collect();
        // Danger: what the process before this one permitted is not known here.
        let unknown = self.began + self.times.counted();
        if book.version != voted && unknown > now && voted > 0 {
            all.push((UNKNOWN.to_owned(), left(unknown, now)));
        }
        all
    }

    /// Who may admit now, whether it is ready for this change, and for how many ms at the most it may.
    pub fn holders(&self, now: Instant, id: &str) -> Vec<(String, bool, u64)> {
        let is_ready = |holder: &Holder| {
            holder.word.as_ref().is_some_and(|(of, word)| of == id && *word == Readiness::Ready)
        };
        let held = self.holders.iter().filter_map(|(who, holder)| {
            let until = holder.until.filter(|until| *until > now)?;
            Some((who.name.to_string(), is_ready(holder), left(until, now)))
        });
        let mut all: Vec<_> = held.collect();
        let unknown = self.began + self.times.counted();
        if unknown > now {
            all.push((UNKNOWN.to_owned(), false, left(unknown, now)));
        }
        all
    }

    /// Who said no to this change, and why.
    pub fn no(&self, id: &str) -> Option<String> {
        self.holders.iter().find_map(|(who, holder)| match &holder.word {
            Some((of, Readiness::Rejected(why))) if of == id => Some(format!("{who}: {why}")),
            _ => None,
        })
    }

    /// Who goes on without a permit: its own has ended, and it did not give it up.
    pub fn serving_on(&self, now: Instant) -> Vec<String> {
        let on = |holder: &Holder| holder.serves_on && holder.until.is_some_and(|until| until <= now);
        self.holders.iter().filter(|(_, holder)| on(holder)).map(|(who, _)| who.to_string()).collect()
    }

    /// Forgets who was not heard for so long and holds nothing, and of each name all but the latest process. Who goes on without a permit is
    /// remembered: a change's answer names it, however long it has been cut off.
    pub fn forget(&mut self, now: Instant, after: Duration) {
        let latest: BTreeMap<_, _> = self.holders.keys().map(|who| (who.name.clone(), who.start)).collect();
        self.holders.retain(|who, holder| {
            let holds = holder.until.is_some_and(|until| until > now);
            let serves =
                holder.serves_on && holder.until.is_some() && latest.get(&who.name) == Some(&who.start);
            holds || serves || now.saturating_duration_since(holder.heard) < after
        });
    }
}

/// Whole ms, at least one.
fn left(until: Instant, now: Instant) -> u64 {
    u64::try_from((until - now).as_millis()).unwrap_or(u64::MAX).max(1)
}

#[cfg(test)]
mod tests;
