//! What operators ask.

use super::proposer::{Failed, Step};
use super::Node;
use crate::messages::{words, Message, Reply};
use crate::{Book, Conflict, Digest, Outcome};
use pinetrail_peer_transport::Net;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// Why a change is not opened.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Refused {
    /// This process could not put it in force.
    #[error("{0}")]
    Check(String),
    /// It does not follow from what is agreed.
    #[error(transparent)]
    Conflict(#[from] Conflict),
    /// No majority of founders answers.
    #[error("no majority of founders answers: whether it was proposed is not known; the same id may be sent again")]
    NoMajority,
}

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It admits under the version that is agreed.
    Steady,
    /// The same, and a change is open.
    Changing,
    /// It was never permitted to admit, or cannot put in force what is agreed.
    CatchingUp,
    /// Its permit has ended.
    Fenced,
}

/// How a change stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// How it ended; none while it is open.
    pub outcome: Option<Outcome>,
    /// Why.
    pub why: String,
    /// For whom it waits.
    pub waiting_for: Vec<String>,
}

impl<N: Net> Node<N> {
    /// Proposes a change; the version that it would bring.
    pub async fn propose(
        self: &Arc<Self>,
        id: &str,
        after: u64,
        text: &str,
        within: Duration,
    ) -> Result<u64, Refused> {
        self.app.check(text).map_err(Refused::Check)?;
        let by = self.settings.me.name.to_string();
        let make = |book: Option<&Book>| match book.map(|book| book.open(id, after, text, &by)) {
            None => Step::Stay,
            Some(Err(why)) => Step::Not(why),
            Some(Ok(book)) => Step::Next(book),
        };
        let book = self.step(within, make).await.map_err(|failed| match failed {
            Failed::Conflict(why) => Refused::Conflict(why),
            Failed::Blocked(_) | Failed::NoMajority => Refused::NoMajority,
        })?;
        let ended = book.ended.iter().find(|ended| ended.id == id).map(|ended| ended.version);
        Ok(ended.unwrap_or(book.version + 1))
    }

    /// How a change stands; none if nobody who answers in time knows of it.
    pub async fn change(&self, id: &str, within: Duration) -> Option<Seen> {
        let own = self.seen(id);
        if own.as_ref().is_some_and(|seen| seen.outcome.is_some()) || self.known().seat.is_some() {
            return own;
        }
        for seat in 0..self.settings.seats.0 {
            let Some(holder) = self.links.holder(seat) else { continue };
            let answer = self.links.ask(&holder, words(&Message::Whole(0)), within).await;
            if let Some(Reply::Whole(book)) = answer.and_then(|answer| crate::messages::read(&answer)) {
                if let Some(seen) = in_book(&book, id, &self.known().waits) {
                    return Some(seen);
                }
            }
        }
        own
    }

    /// Says something to all that are linked, for the floor of this number.
    pub fn say(&self, floor: u8, body: &[u8]) {
        self.links.tell_all(&words(&Message::Other(floor, body.to_vec())));
    }

    /// The version that is agreed and its text, if that is at hand.
    pub fn approved(&self) -> Option<(u64, Arc<str>)> {
        let known = self.known();
        Some((known.head.version, known.text(known.head.digest)?))
    }

    /// How a change ended, as far as this process knows by itself.
    pub fn ended(&self, id: &str) -> Option<Outcome> {
        self.seen(id)?.outcome
    }

    fn seen(&self, id: &str) -> Option<Seen> {
        let known = self.known();
        known.book.as_ref().and_then(|book| in_book(book, id, &known.waits))
    }

    /// The version in force here, its text's digest as agreed, where this process stands, and the change that is open.
    pub fn standing(&self) -> (u64, Digest, State, Option<String>) {
        let lasts = self.permit.lasts(Instant::now()).is_some();
        let known = self.known();
        let open = known.head.change.as_ref().map(|open| open.id.clone());
        let state = match (known.admitted, known.in_force == known.head.version && known.unfit.is_none()) {
            (false, _) | (_, false) => State::CatchingUp,
            _ if open.is_some() && (lasts || self.permit.is_given_up()) => State::Changing,
            _ if lasts => State::Steady,
            _ => State::Fenced,
        };
        (known.in_force, known.head.digest, state, open)
    }

    /// Why this process does not admit yet.
    pub fn why_not(&self) -> String {
        let known = self.known();
        match (&known.unfit, known.head.serial, known.admitted) {
            (Some((version, why)), ..) => {
                format!("version {version} of the policy cannot be in force here: {why}")
            }
            (None, 0, _) => "no founder has told the version in force".to_owned(),
            (None, _, false) => "no majority of founders permits it to admit".to_owned(),
            (None, ..) => {
                "its permit has ended: it is cut off from the founders, or they have no majority".to_owned()
            }
        }
    }
}

fn in_book(book: &Book, id: &str, waits: &(String, Vec<String>)) -> Option<Seen> {
    if book.change.as_ref().is_some_and(|change| change.id == id) {
        let waiting_for = if waits.0 == id { waits.1.clone() } else { Vec::new() };
        return Some(Seen { outcome: None, why: String::new(), waiting_for });
    }
    let ended = book.ended.iter().find(|ended| ended.id == id)?;
    Some(Seen { outcome: Some(ended.outcome), why: ended.why.clone(), waiting_for: Vec::new() })
}
