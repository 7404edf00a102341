//! [`Voter`]: what a process promises. Its vote ends by itself, as in PaxosLease (Trencseni, Gazso
//! and Reinhardt 2012), so that it needs no disk; which next view it accepts follows the acceptor
//! of Paxos (Lamport 1998).

use crate::message::{AcceptedView, LeaseRequest, VoteRequest, VoteResponse};
use crate::settings::Settings;
use crate::view::{Ballot, Process, View};
use crate::Time;

/// A vote, for as long as it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Vote {
    candidate: Process,
    ends_at: Time,
}

/// The promises of one process. Times are in ms of its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Voter {
    local: Process,
    started_at: Time,
    /// The latest view that it knows to be decided.
    pub(crate) view: Option<View>,
    /// The ballot in which it helped to found a new fleet: earlier views are void.
    founding_ballot: Ballot,
    promised: Ballot,
    vote: Option<Vote>,
    /// The next view that it has accepted and that may be decided.
    accepted: Option<AcceptedView>,
    /// The latest ballot that it has seen.
    pub(crate) highest_ballot: Ballot,
    /// The highest number of a view that it has seen.
    pub(crate) highest_view_number: u64,
    /// When it last had a message from a leader.
    pub(crate) leader_heard_at: Time,
    /// Whether this process ends soon.
    pub(crate) leaving: bool,
}

impl Voter {
    /// A process that has just started and has promised nothing.
    pub(crate) fn new(local: Process, now: Time) -> Voter {
        let no_ballot = Ballot { round: 0, proposer: local };
        Voter {
            local,
            started_at: now,
            view: None,
            founding_ballot: no_ballot,
            promised: no_ballot,
            vote: None,
            accepted: None,
            highest_ballot: no_ballot,
            highest_view_number: 0,
            leader_heard_at: now,
            leaving: false,
        }
    }

    /// Whether it votes in the view that it knows.
    pub(crate) fn is_voter(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.is_voter(&self.local))
    }

    /// The number of the view that it knows; 0 if it knows none.
    pub(crate) fn view_number(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.number)
    }

    /// Whether it may vote for itself: no other candidate has its vote.
    pub(crate) fn can_vote_for_itself(&self, now: Time) -> bool {
        self.vote.is_none_or(|vote| vote.candidate == self.local || vote.ends_at <= now)
    }

    /// Takes back a vote for itself. Danger: only if nothing counts it any more.
    pub(crate) fn withdraw_own_vote(&mut self) {
        self.vote = self.vote.filter(|vote| vote.candidate != self.local);
    }

    /// Adopts a decided view, if that is later than the known one and not void.
    pub(crate) fn adopt(&mut self, view: &View) {
        self.observe(view.ballot, view.number);
        let is_later = self.view.as_ref().is_none_or(|known| view.ballot > known.ballot);
        if !is_later || view.ballot < self.founding_ballot {
            return;
        }
        self.promised = self.promised.max(view.ballot);
        self.accepted = None;
        self.view = Some(view.clone());
    }

    /// Remembers the highest ballot and view number that it has seen.
    pub(crate) fn observe(&mut self, ballot: Ballot, view_number: u64) {
        self.highest_ballot = self.highest_ballot.max(ballot);
        self.highest_view_number = self.highest_view_number.max(view_number);
    }

    /// Responds to a request; it keeps to what it grants and accepts.
    pub(crate) fn handle_vote_request(
        &mut self,
        now: Time,
        request: &VoteRequest,
        lease_request: LeaseRequest,
        settings: &Settings,
    ) -> VoteResponse {
        self.observe(request.ballot, 0);
        if let Some(view) = &request.view {
            self.adopt(view);
        }
        if request.is_leader {
            self.leader_heard_at = now;
        }
        let vote_granted = self.grants_vote(now, request, settings);
        let accepts = if vote_granted { self.promise(now, request, settings) } else { None };
        let newer_view = self.view_newer_than(request.view.as_ref());
        // Danger: two views with the most voters do not fit a datagram beside all else. Who is
        // behind has no use for what was proposed since: it learns of the decided view first.
        let accepted = if newer_view.is_none() { self.accepted.clone() } else { None };
        VoteResponse {
            from: self.local,
            ballot: request.ballot,
            request_sent_at: request.sent_at,
            vote_granted,
            accepts,
            accepted,
            highest_ballot: self.highest_ballot,
            newer_view,
            highest_view_number: self.highest_view_number,
            leaving: self.leaving,
            lease_request,
        }
    }

    /// Votes, and accepts the proposed view if there is one; returns the ballot of that view.
    fn promise(&mut self, now: Time, request: &VoteRequest, settings: &Settings) -> Option<Ballot> {
        self.promised = request.ballot;
        // Danger: the candidate counts from when it sent the request, which was before now; this
        // clock may be the faster one.
        let ends_at = now + settings.with_skew(settings.vote_duration);
        self.vote = Some(Vote { candidate: request.ballot.proposer, ends_at });
        let proposed = request.proposed_view.clone()?;
        let view_ballot = proposed.ballot;
        self.accepted = Some(AcceptedView { ballot: request.ballot, view: proposed });
        if request.founding {
            // Danger: no view of before may live on beside the one that is founded.
            self.view = None;
            self.founding_ballot = request.ballot;
        }
        Some(view_ballot)
    }

    fn view_newer_than(&self, known: Option<&View>) -> Option<View> {
        let own = self.view.as_ref()?;
        let is_newer = known.is_none_or(|known| own.ballot > known.ballot);
        is_newer.then(|| own.clone())
    }

    fn grants_vote(&self, now: Time, request: &VoteRequest, settings: &Settings) -> bool {
        let candidate = request.ballot.proposer;
        let is_taken = self.vote.is_some_and(|vote| vote.candidate != candidate && now < vote.ends_at);
        if request.ballot < self.promised || is_taken {
            return false;
        }
        if request.founding {
            return self.may_found(now, settings);
        }
        match (&self.view, &request.view) {
            (Some(known), Some(asked)) => known.ballot == asked.ballot && self.is_voter(),
            _ => false,
        }
    }

    /// Whether it may help to found a new fleet.
    fn may_found(&self, now: Time, settings: &Settings) -> bool {
        let is_founder = settings.founders.binary_search(&self.local.address).is_ok();
        // Danger: the process before this one at its address may have granted a vote that this one
        // knows nothing of.
        let earlier_votes_ended = now >= self.started_at + settings.with_skew(settings.vote_duration);
        let fleet_is_lost = self.view.is_none() || now >= self.leader_heard_at + settings.lease_duration;
        is_founder && earlier_votes_ended && fleet_is_lost
    }
}
