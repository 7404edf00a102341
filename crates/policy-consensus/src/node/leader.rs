//! Brings an open change to its end. Of the founders that are there the one with the lowest seat does so; if two take
//! themselves for it that costs time and nothing else, since each step is agreed.

use super::proposer::{StepError, Transition};
use super::ConsensusNode;
use crate::messages::{encode, Message, Reply};
use crate::{ChangeSummary, Outcome, ReplicatedState, Stage};
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// An open change is looked at so often at the least.
const LOOK: Duration = Duration::from_millis(15);

/// What this process saw of the open change.
struct ObservedChange {
    open: ChangeSummary,
    /// When it was first seen, and at this stage.
    since: Instant,
    at_stage: Instant,
    /// Not to be closed before: somebody was in the way.
    not_before: Instant,
}

impl<N: Network> ConsensusNode<N> {
    /// Does so for as long as this process runs.
    pub(super) async fn steward(self: Arc<Self>) {
        let mut watched: Option<ObservedChange> = None;
        loop {
            let seen = self.news.seen();
            watched = self.watch(watched);
            match &mut watched {
                None => self.news.since(seen).await,
                Some(watched) => {
                    self.advance(watched).await;
                    let _ = timeout(LOOK, self.news.since(seen)).await;
                }
            }
        }
    }

    fn watch(&self, before: Option<ObservedChange>) -> Option<ObservedChange> {
        let known = self.known();
        known.seat.as_ref()?;
        let open = known.head.change.clone()?;
        let now = Instant::now();
        match before.filter(|before| before.open.id == open.id) {
            Some(before) if before.open == open => Some(before),
            Some(before) => Some(ObservedChange { open, at_stage: now, ..before }),
            None => Some(ObservedChange { open, since: now, at_stage: now, not_before: now }),
        }
    }

    /// How many founders with lower seats are there.
    fn before_me(&self) -> u32 {
        let own = self.known().seat.as_ref().map_or(0, |seat| seat.number);
        (0..own).filter(|seat| self.links.voter_process(*seat).is_some()).count() as u32
    }

    async fn advance(self: &Arc<Self>, watched: &mut ObservedChange) {
        let open = watched.open.clone();
        let no = self.known().seat.as_ref().and_then(|seat| seat.grants.no(&open.id));
        if let Some(why) = no {
            return self.end(&open, Outcome::Rejected, &why).await;
        }
        let times = &self.settings.timing;
        let before_me = self.before_me();
        match open.stage {
            // Danger: while it is closed nobody admits. Whoever is steward may have died or been stopped just now.
            Stage::Closing if watched.at_stage.elapsed() > times.close * (1 + before_me) => {
                self.put_at(&open, Stage::Preparing { strict: true }).await;
            }
            Stage::Closing if before_me == 0 => self.take(watched, &open).await,
            Stage::Preparing { .. } if watched.since.elapsed() > times.change * (1 + before_me) => {
                let (_, names) = self.known().waits.clone();
                self.end(&open, Outcome::Abandoned, &format!("it waited for {}", names.join(", "))).await;
            }
            Stage::Preparing { strict } if before_me == 0 => {
                let waits = self.waits_for(&open.id).await;
                self.tell_waits(&open.id, &waits);
                if waits.is_empty() && Instant::now() >= watched.not_before {
                    self.put_at(&open, Stage::Closing).await;
                } else if !strict && watched.at_stage.elapsed() > times.ready {
                    self.put_at(&open, Stage::Preparing { strict: true }).await;
                }
            }
            Stage::Closing | Stage::Preparing { .. } => {}
        }
    }

    /// Who may admit and is not ready, by what a majority of founders says; those that name fewest count.
    async fn waits_for(self: &Arc<Self>, id: &str) -> Vec<String> {
        let mut told = Vec::new();
        let asking: Vec<_> = (0..self.settings.voters.0)
            .map(|seat| {
                let (node, message) = (Arc::clone(self), Message::ListHolders(id.to_owned()));
                tokio::spawn(async move { node.ask(seat, &message).await })
            })
            .collect();
        for asked in asking {
            if let Ok(Some(Reply::Holders(holders))) = asked.await {
                let waits = holders.into_iter().filter(|(_, is_ready, _)| !is_ready);
                told.push(waits.map(|(name, ..)| name).collect::<Vec<_>>());
            }
        }
        let majority = self.settings.voters.majority();
        if told.len() < majority {
            return vec!["a majority of founders".to_owned()];
        }
        told.sort_by_key(Vec::len);
        let mut names: Vec<String> = told.into_iter().take(majority).flatten().collect();
        names.sort();
        names.dedup();
        names
    }

    /// All have been asked to stop admitting: the version is taken once nobody may any more.
    async fn take(self: &Arc<Self>, watched: &mut ObservedChange, open: &ChangeSummary) {
        let now = Instant::now();
        let holders =
            self.known().seat.as_ref().map_or(Vec::new(), |seat| seat.grants.holders(now, &open.id));
        if holders.iter().any(|(_, is_ready, _)| *is_ready) {
            return;
        }
        let on = self.known().seat.as_ref().map_or(Vec::new(), |seat| seat.grants.serving_on(now));
        let why = if on.is_empty() {
            String::new()
        } else {
            format!("without a permit, and perhaps still by the version before: {}", on.join(", "))
        };
        let id = open.id.clone();
        let make = |book: Option<&ReplicatedState>| match book
            .and_then(|book| book.end(&id, Outcome::Committed, &why))
        {
            Some(book) => Transition::Next(book),
            None => Transition::Stay,
        };
        if let Err(StepError::Blocked(by)) = self.step(self.settings.timing.answer, make).await {
            let longest = by.iter().map(|(_, ms)| *ms).max().unwrap_or_default();
            watched.not_before = Instant::now() + Duration::from_millis(longest);
            self.tell_waits(&open.id, &by.into_iter().map(|(name, _)| name).collect::<Vec<_>>());
        }
    }

    async fn put_at(self: &Arc<Self>, open: &ChangeSummary, stage: Stage) {
        let make = |book: Option<&ReplicatedState>| match book
            .and_then(|book| book.at(&open.id, open.attempt, stage))
        {
            Some(book) => Transition::Next(book),
            None => Transition::Stay,
        };
        // Without a majority it is tried again.
        let _ = self.step(self.settings.timing.answer, make).await;
    }

    async fn end(self: &Arc<Self>, open: &ChangeSummary, outcome: Outcome, why: &str) {
        let make =
            |book: Option<&ReplicatedState>| match book.and_then(|book| book.end(&open.id, outcome, why)) {
                Some(book) => Transition::Next(book),
                None => Transition::Stay,
            };
        let _ = self.step(self.settings.timing.answer, make).await;
    }

    fn tell_waits(&self, id: &str, names: &[String]) {
        let waits = (id.to_owned(), names.to_vec());
        let before = std::mem::replace(&mut self.known().waits, waits.clone());
        if before != waits {
            self.links.broadcast(&encode(&Message::WaitingFor(waits.0, waits.1)));
        }
    }
}
