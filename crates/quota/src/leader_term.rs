//! A process that is steward, or wants to be.

use crate::ledger::Ledger;
use crate::message::{VoteRequest, VoteResponse};
use crate::settings::Settings;
use crate::view::{Ballot, Process, View};
use crate::voter::Voter;
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How far it has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// It asks for votes.
    Asking,
    /// It has them, and must have a view decided before it serves: one that it found under way, or the first.
    Deciding,
    /// It leases.
    Serving { began: Time, ledger: Ledger },
}

/// Who stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaderTerm {
    me: Process,
    pub(crate) ballot: Ballot,
    /// The view whose council it asks; none if it founds.
    view: Option<View>,
    votes: BTreeMap<Process, Time>,
    found: Option<(Ballot, View)>,
    next: Option<View>,
    takes: BTreeSet<Process>,
    /// Who said that it ends soon.
    leaving: BTreeSet<Process>,
    pub(crate) phase: Phase,
    /// Until when it has the votes that it needs. Danger: looked at before anything else is done in its office. Between two looks
    /// another may have been in office.
    valid_until: Time,
    pub(crate) began: Time,
    /// When it came into office, or had its latest view decided: from then on those who sit in it may vote.
    decided: Time,
}

impl LeaderTerm {
    /// Stands in the view that is known, or to found one.
    pub(crate) fn new(me: Process, now: Time, seat: &mut Voter, founds: bool) -> LeaderTerm {
        let mut standing = LeaderTerm {
            me,
            ballot: seat.seen,
            view: seat.view.clone().filter(|_| !founds),
            votes: BTreeMap::new(),
            found: None,
            next: None,
            takes: BTreeSet::new(),
            leaving: BTreeSet::new(),
            phase: Phase::Asking,
            valid_until: 0,
            began: now,
            decided: now,
        };
        standing.raise(seat);
        standing
    }

    fn raise(&mut self, seat: &mut Voter) {
        self.ballot = Ballot { round: seat.seen.round + 1, who: self.me };
        seat.sees(self.ballot, 0);
        // Danger: what was taken in an earlier ballot decides nothing in this one.
        self.takes.clear();
        if let Some(next) = self.next.as_mut().filter(|_| self.view.is_none()) {
            next.ballot = self.ballot;
        }
    }

    /// Whether it holds the votes that it needs, and has served.
    pub(crate) fn serves(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Serving { .. }) && now < self.valid_until
    }

    /// How long ago those whose votes it holds were last heard.
    pub(crate) fn silence(&self, now: Time, settings: &Settings) -> Time {
        (now + settings.vote).saturating_sub(self.valid_until)
    }

    /// Whether it has lost its office by now.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        !matches!(self.phase, Phase::Asking) && now >= self.valid_until
    }

    /// What it asks.
    pub(crate) fn ask(&self, now: Time) -> VoteRequest {
        VoteRequest {
            ballot: self.ballot,
            at: now,
            founds: self.view.is_none(),
            in_office: self.serves(now),
            view: self.view.clone(),
            next: self.next.clone(),
        }
    }

    /// Whom it must ask, in council.
    pub(crate) fn electorate(&self, settings: &Settings) -> Vec<SocketAddr> {
        match &self.view {
            Some(view) => view.voters.iter().map(|process| process.address).collect(),
            None => settings.founders.clone(),
        }
    }

    /// Takes an answer to what it asked in this ballot.
    pub(crate) fn hear(&mut self, now: Time, answer: &VoteResponse, seat: &mut Voter, settings: &Settings) {
        if answer.leaves {
            self.leaving.insert(answer.from);
        }
        let counts = match &self.view {
            Some(view) => view.is_voter(&answer.from),
            None => settings.founders.binary_search(&answer.from.address).is_ok(),
        };
        if answer.ballot == self.ballot && counts && answer.yes {
            let until = self.votes.entry(answer.from).or_default();
            *until = (*until).max(answer.asked_at + settings.vote);
            if answer.takes.is_some() && answer.takes == self.next.as_ref().map(|next| next.ballot) {
                self.takes.insert(answer.from);
            }
            let earlier = answer.pending.as_ref().filter(|(ballot, _)| *ballot < self.ballot);
            if let Some((ballot, view)) = earlier.filter(|_| matches!(self.phase, Phase::Asking)) {
                if self.found.as_ref().is_none_or(|(found, _)| found < ballot) {
                    self.found = Some((*ballot, view.clone()));
                }
            }
        } else if !answer.yes && answer.ballot == self.ballot && answer.promised > self.ballot {
            // What was found under way in this ballot says nothing of the next, but it is asked there again.
            let is_asking = matches!(self.phase, Phase::Asking);
            self.raise(seat);
            if is_asking {
                (self.votes, self.found) = (BTreeMap::new(), None);
            }
        }
        self.go_on(now, seat, settings);
    }

    fn go_on(&mut self, now: Time, seat: &mut Voter, settings: &Settings) {
        self.count(settings);
        if now >= self.valid_until {
            return;
        }
        if self.phase == Phase::Asking {
            let found = self.found.take();
            self.next = match &self.view {
                // Danger: what an earlier steward proposed may have been decided without anybody knowing.
                Some(_) => found.map(|(_, view)| view),
                // A view that others of this ballot took lives no more: they have left it.
                None => Some(self.founded(seat.number, now)),
            };
            self.phase = Phase::Deciding;
        }
        let seats: BTreeSet<SocketAddr> = self.takes.iter().map(|process| process.address).collect();
        if let Some(next) = self.next.take_if(|_| seats.len() >= quorum(&self.view, settings)) {
            seat.adopt(&next);
            (self.view, self.decided) = (Some(next), now);
            self.raise(seat);
            self.count(settings);
        }
        let decided = self.next.is_none() && self.view.is_some();
        if self.phase == Phase::Deciding && decided && now < self.valid_until {
            self.decided = now;
            self.phase = Phase::Serving { began: now, ledger: Ledger::new(now, settings) };
        }
    }

    fn founded(&self, number: u64, now: Time) -> View {
        let council = self.votes.iter().filter(|(_, until)| now < **until).map(|(who, _)| *who).collect();
        View { ballot: self.ballot, number: number + 1, voters: council }
    }

    /// Until when it has the votes that it needs: of processes at different seats.
    fn count(&mut self, settings: &Settings) {
        let mut by_seat = BTreeMap::new();
        for (who, until) in &self.votes {
            if self.view.as_ref().is_none_or(|view| view.is_voter(who)) {
                let best: &mut Time = by_seat.entry(who.address).or_default();
                *best = (*best).max(*until);
            }
        }
        let mut until: Vec<Time> = by_seat.into_values().collect();
        until.sort_unstable_by(|a, b| b.cmp(a));
        self.valid_until = until.get(quorum(&self.view, settings) - 1).copied().unwrap_or(0);
    }

    /// Proposes a council of these, if it is another and can decide.
    pub(crate) fn propose(
        &mut self,
        now: Time,
        mut council: Vec<Process>,
        seat: &mut Voter,
        settings: &Settings,
    ) {
        // A process that does not answer is out before anybody else has noticed.
        if let Some(view) = self.view.as_ref().filter(|_| now >= self.decided + settings.period * 2) {
            council
                .retain(|one| !view.is_voter(one) || self.votes.get(one).is_some_and(|until| now < *until));
        }
        council.retain(|one| !self.leaving.contains(one));
        council.sort();
        let is_other = |view: &View| council != view.voters && council.len() >= settings.least();
        if self.serves(now) && self.next.is_none() && self.view.as_ref().is_some_and(is_other) {
            self.raise(seat);
            self.next = Some(View { ballot: self.ballot, number: seat.number + 1, voters: council });
        }
    }
}

fn quorum(view: &Option<View>, settings: &Settings) -> usize {
    match view {
        Some(view) => view.quorum(settings.least()),
        None => settings.founding(),
    }
}
