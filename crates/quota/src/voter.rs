//! What a process promises: its vote, which ends by itself, and which next view it takes.

use crate::message::{LeaseRequest, VoteRequest, VoteResponse};
use crate::settings::Settings;
use crate::view::{Ballot, Process, View};
use crate::Time;

/// The promises of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Voter {
    me: Process,
    began: Time,
    /// The latest view that it knows to be decided.
    pub(crate) view: Option<View>,
    /// The ballot by which it helped to found a fleet anew: views of before are none any more.
    floor: Ballot,
    promised: Ballot,
    /// Whom it has its vote, and until when.
    vote: Option<(Process, Time)>,
    pending: Option<(Ballot, View)>,
    /// The latest round, and the highest number of a view, that it heard of.
    pub(crate) seen: Ballot,
    pub(crate) number: u64,
    /// When it last heard of a steward in office.
    pub(crate) heard: Time,
    /// Whether this process ends soon.
    pub(crate) leaves: bool,
}

impl Voter {
    pub(crate) fn new(me: Process, now: Time) -> Voter {
        let none = Ballot { round: 0, who: me };
        Voter {
            me,
            began: now,
            view: None,
            floor: none,
            promised: none,
            vote: None,
            pending: None,
            seen: none,
            number: 0,
            heard: now,
            leaves: false,
        }
    }

    /// Whether it votes in the view that it knows.
    pub(crate) fn is_seated(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.is_voter(&self.me))
    }

    /// Whether its vote is not another's.
    pub(crate) fn is_free(&self, now: Time) -> bool {
        self.vote.is_none_or(|(who, until)| who == self.me || until <= now)
    }

    /// Takes its vote back from itself. Danger: only if nothing counts it any more.
    pub(crate) fn release(&mut self) {
        self.vote = self.vote.filter(|(who, _)| *who != self.me);
    }

    /// Takes a view that is decided; whether it is a later one.
    pub(crate) fn adopt(&mut self, view: &View) -> bool {
        self.sees(view.ballot, view.number);
        let is_later = self.view.as_ref().is_none_or(|own| view.ballot > own.ballot);
        if !is_later || view.ballot < self.floor {
            return false;
        }
        self.promised = self.promised.max(view.ballot);
        self.pending = None;
        self.view = Some(view.clone());
        true
    }

    /// Has heard of a ballot and of the number of a view.
    pub(crate) fn sees(&mut self, ballot: Ballot, number: u64) {
        self.seen = self.seen.max(ballot);
        self.number = self.number.max(number);
    }

    /// Answers; what it votes for it keeps to.
    pub(crate) fn answer(
        &mut self,
        now: Time,
        ask: &VoteRequest,
        want: LeaseRequest,
        settings: &Settings,
    ) -> VoteResponse {
        self.sees(ask.ballot, 0);
        if let Some(view) = &ask.view {
            self.adopt(view);
        }
        if ask.in_office {
            self.heard = now;
        }
        let yes = self.votes(now, ask, settings);
        let mut takes = None;
        if yes {
            self.promised = ask.ballot;
            // Danger: who asks counts from when it asked, which was before now; this clock may be the faster one.
            self.vote = Some((ask.ballot.who, now + settings.stretched(settings.vote)));
            if let Some(next) = &ask.next {
                takes = Some(next.ballot);
                self.pending = Some((ask.ballot, next.clone()));
                if ask.founds {
                    // Danger: no view of before may live on beside the one that is founded.
                    self.view = None;
                    self.floor = ask.ballot;
                }
            }
        }
        let later = |view: &&View| ask.view.as_ref().is_none_or(|asked| view.ballot > asked.ballot);
        let newer = self.view.as_ref().filter(later).cloned();
        // Danger: two councils of the most founders do not fit a datagram beside all else. Who is behind has no use for what was
        // proposed since: it learns of the view first.
        let pending = self.pending.clone().filter(|_| newer.is_none());
        VoteResponse {
            from: self.me,
            ballot: ask.ballot,
            asked_at: ask.at,
            yes,
            takes,
            pending,
            promised: self.seen,
            newer,
            number: self.number,
            leaves: self.leaves,
            want,
        }
    }

    fn votes(&self, now: Time, ask: &VoteRequest, settings: &Settings) -> bool {
        let who = ask.ballot.who;
        if ask.ballot < self.promised || self.vote.is_some_and(|(to, until)| to != who && now < until) {
            return false;
        }
        if !ask.founds {
            let same = |view: &View| ask.view.as_ref().is_some_and(|asked| asked.ballot == view.ballot);
            return self.is_seated() && self.view.as_ref().is_some_and(same);
        }
        // Danger: the process before this one at its seat may have a vote out that it knows nothing of.
        let is_settled = now >= self.began + settings.stretched(settings.vote);
        let is_lost = self.view.is_none() || now >= self.heard + settings.lease;
        settings.founders.binary_search(&self.me.address).is_ok() && is_settled && is_lost
    }
}
