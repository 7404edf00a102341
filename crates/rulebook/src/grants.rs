//! The permits that a founder gave, by its own clock: while one of another version may be in force, it votes for no book.
//! Nothing here waits.

use crate::{Book, Head, Stage, Times};
use pinetrail_links::Process;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// In place of those that the process before this one permitted.
const UNKNOWN: &str = "who was permitted before a founder started";

/// What a process says of itself when it asks for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asked {
    /// Which of its questions to this founder this is.
    pub number: u64,
    /// The version that it has in force.
    pub version: u64,
    /// Whether it wants to admit under it; else it admits nothing any more by what it was permitted before.
    pub admits: bool,
    /// What it makes of the open change, if it has looked at it.
    pub word: Option<(String, Word)>,
    /// Whether it goes on without a permit.
    pub serves_on: bool,
}

/// What a process makes of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// It could put it in force at any moment.
    Ready,
    /// It cannot: the path, and why.
    No(String),
}

/// What a founder knows of a process that asks it.
#[derive(Clone, Debug)]
struct Holder {
    number: u64,
    version: u64,
    /// Until when a permit may be in force there; none if it has none.
    until: Option<Instant>,
    heard: Instant,
    word: Option<(String, Word)>,
    serves_on: bool,
}

/// The permits that a founder gave.
#[derive(Clone, Debug)]
pub struct Grants {
    times: Times,
    began: Instant,
    holders: BTreeMap<Process, Holder>,
}

impl Grants {
    /// A founder that has just started.
    pub fn new(times: Times, now: Instant) -> Grants {
        Grants { times, began: now, holders: BTreeMap::new() }
    }

    /// A process asks. `chosen` is what is known to be agreed, `voted` the version of the last vote. Whether it may admit.
    pub fn ask(&mut self, now: Instant, who: &Process, asked: Asked, chosen: &Head, voted: u64) -> bool {
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
        let is_ready = open.is_some_and(|open| asked.word == Some((open.id.clone(), Word::Ready)));
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
    pub fn block(&self, now: Instant, book: &Book, voted: u64) -> Vec<(String, u64)> {
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
        let is_ready =
            |holder: &Holder| holder.word.as_ref().is_some_and(|(of, word)| of == id && *word == Word::Ready);
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
            Some((of, Word::No(why))) if of == id => Some(format!("{who}: {why}")),
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
mod tests {
    use super::*;
    use crate::Book;

    fn who() -> Process {
        Process { name: "n1".into(), start: 5 }
    }

    fn asked(number: u64, version: u64) -> Asked {
        Asked { number, version, admits: true, word: None, serves_on: false }
    }

    fn later(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn a_permit_keeps_votes_back_until_it_has_ended_or_is_given_up() {
        let times = Times::default();
        let began = Instant::now();
        let now = began + times.counted() * 2;
        let mut grants = Grants::new(times, began);
        let (one, two) = (Book::first("a"), Book { version: 2, ..Book::first("b") });
        assert!(grants.ask(now, &who(), asked(1, 1), &one.head(), 1));
        assert_eq!(grants.block(now, &one, 1), []);
        assert_eq!(grants.block(now, &two, 1).len(), 1);
        assert_eq!(grants.block(now + times.permit, &two, 1).len(), 1, "its holder's clock may be slower");
        assert_eq!(grants.block(now + times.counted(), &two, 1), []);
        assert!(!grants.ask(now, &who(), Asked { admits: false, ..asked(2, 1) }, &one.head(), 1));
        assert_eq!(grants.block(now, &two, 1), []);
        assert!(!grants.ask(now, &who(), asked(2, 1), &one.head(), 1), "a late word changes nothing");
        assert_eq!(grants.block(now, &two, 1), []);
    }

    #[test]
    fn no_permit_for_what_is_not_agreed_or_is_about_to_end() {
        let now = Instant::now();
        let mut grants = Grants::new(Times::default(), now);
        let one = Book::first("a").open("x", 1, "b", "n0").unwrap();
        assert!(!grants.ask(now, &who(), asked(1, 2), &one.head(), 1), "it is not in force");
        assert!(!grants.ask(now, &who(), asked(2, 1), &one.head(), 2), "this founder voted beyond it");
        assert!(grants.ask(now, &who(), asked(3, 1), &one.head(), 1));
        let strict = one.at("x", 1, Stage::Preparing { strict: true }).unwrap();
        assert!(!grants.ask(now, &who(), asked(4, 1), &strict.head(), 1), "it is not ready");
        let ready = Asked { word: Some(("x".into(), Word::Ready)), ..asked(5, 1) };
        assert!(grants.ask(now, &who(), ready, &strict.head(), 1));
        let closing = strict.at("x", 1, Stage::Closing).unwrap();
        let ready = Asked { word: Some(("x".into(), Word::Ready)), ..asked(6, 1) };
        assert!(!grants.ask(now, &who(), ready, &closing.head(), 1));
        let later = now + later(2100);
        assert_eq!(grants.holders(later, "x"), []);
        assert_eq!(grants.holders(now, "x")[0], ("n1".to_owned(), true, 2041), "what it has still counts");
    }

    #[test]
    fn who_goes_on_without_a_permit_is_named_unless_it_gave_it_up() {
        let now = Instant::now();
        let mut grants = Grants::new(Times::default(), now);
        let head = Book::first("a").head();
        assert!(grants.ask(now, &who(), Asked { serves_on: true, ..asked(1, 1) }, &head, 1));
        assert_eq!(grants.serving_on(now), Vec::<String>::new());
        let later = now + later(60_000);
        grants.forget(later, Duration::from_secs(30));
        assert_eq!(grants.serving_on(later), ["n1"]);
        grants.ask(later, &who(), Asked { admits: false, serves_on: true, ..asked(2, 1) }, &head, 1);
        assert_eq!(grants.serving_on(later), Vec::<String>::new());
    }

    #[test]
    fn a_founder_that_has_just_started_keeps_its_vote_for_a_permits_time() {
        let now = Instant::now();
        let grants = Grants::new(Times::default(), now);
        let two = Book { version: 2, ..Book::first("b") };
        assert_eq!(grants.block(now, &two, 1).len(), 1);
        assert_eq!(grants.block(now, &two, 2), [], "it voted for that before");
        assert_eq!(grants.block(now + later(2100), &two, 1), []);
    }
}
