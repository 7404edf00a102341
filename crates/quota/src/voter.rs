//! The vote and the promises of a process: [`Voter`]. A vote expires, as in PaxosLease (Trencseni,
//! Gazso and Reinhardt 2012), so that a voter needs no disk. A voter accepts proposed views as an
//! acceptor of Paxos does (Lamport 1998).
//!
//! `vote` has the state of the vote, `vote_rules` the conditions under which a vote is granted.

mod vote;
mod vote_rules;

use crate::message::{AcceptedView, LeaseRequest, VoteRequest, VoteResponse};
use crate::settings::Settings;
use crate::view::{Ballot, Process, View};
use pinetrail_clock::Timestamp;
use vote::Vote;

/// The vote and the promises of one process. Timestamps are of its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Voter {
    local: Process,
    started_at: Timestamp,
    /// The latest decided view that this process knows.
    pub(crate) view: Option<View>,
    /// The ballot in which this process helped to found a new fleet; earlier views are void.
    founding_ballot: Ballot,
    /// The promised ballot: no vote is granted in an earlier one.
    promised: Ballot,
    vote: Vote,
    /// The next view that this process has accepted and that may be decided.
    accepted: Option<AcceptedView>,
    /// The latest ballot that this process has seen.
    pub(crate) highest_ballot: Ballot,
    /// The highest view number that this process has seen.
    pub(crate) highest_view_number: u64,
    /// The time at which this process last received a message from a leader, or acted as the
    /// leader.
    pub(crate) last_leader_contact: Timestamp,
    /// Whether this process shuts down soon.
    pub(crate) leaving: bool,
}

impl Voter {
    /// Creates the state of a process that has just started and has promised nothing.
    pub(crate) fn new(local: Process, now: Timestamp) -> Voter {
        let no_ballot = Ballot { round: 0, proposer: local };
        Voter {
            local,
            started_at: now,
            view: None,
            founding_ballot: no_ballot,
            promised: no_ballot,
            vote: Vote::NotCast,
            accepted: None,
            highest_ballot: no_ballot,
            highest_view_number: 0,
            last_leader_contact: now,
            leaving: false,
        }
    }

    /// Returns whether this process is a voter of the view that it knows.
    pub(crate) fn is_voter(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.is_voter(&self.local))
    }

    /// Returns the number of the view that this process knows; 0 if it knows none.
    pub(crate) fn view_number(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.number)
    }

    /// Returns whether this process may vote for itself: no other candidate has its vote.
    pub(crate) fn can_vote_for_itself(&self, now: Timestamp) -> bool {
        !self.vote.is_held_by_other(&self.local, now)
    }

    /// Withdraws the vote of this process for itself.
    ///
    /// Invariant: only a process that ends its candidacy may withdraw its own vote, since that vote
    /// must no longer be counted.
    pub(crate) fn withdraw_own_vote(&mut self) {
        self.vote = self.vote.withdrawn_from(&self.local);
    }

    /// Adopts a decided view if the view is later than the known one and not void.
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

    /// Updates the highest ballot and the highest view number that this process has seen.
    pub(crate) fn observe(&mut self, ballot: Ballot, view_number: u64) {
        self.highest_ballot = self.highest_ballot.max(ballot);
        self.highest_view_number = self.highest_view_number.max(view_number);
    }

    /// Responds to a vote request, and records the promise that the response makes.
    pub(crate) fn handle_vote_request(
        &mut self,
        now: Timestamp,
        request: &VoteRequest,
        lease_request: LeaseRequest,
        settings: &Settings,
    ) -> VoteResponse {
        self.observe(request.ballot, 0);
        if let Some(view) = &request.view {
            self.adopt(view);
        }
        if request.is_leader {
            self.last_leader_contact = now;
        }
        let vote_granted = self.check_vote(now, request, settings).is_ok();
        let accepts = if vote_granted { self.promise(now, request, settings) } else { None };
        let newer_view = self.view_newer_than(request.view.as_ref());
        // Two views with the most voters do not fit into a datagram with the other fields. A
        // proposer that does not know the decided view has no use for the accepted view.
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

    /// Casts the vote, and accepts the proposed view if there is one. Returns the ballot of that
    /// view.
    ///
    /// Invariant: after a process has helped to found a fleet, it must not vote in an earlier view,
    /// so the known view is dropped.
    fn promise(&mut self, now: Timestamp, request: &VoteRequest, settings: &Settings) -> Option<Ballot> {
        self.promised = request.ballot;
        self.vote = Vote::new(now, request.ballot.proposer, settings);
        let proposed = request.proposed_view.clone()?;
        let view_ballot = proposed.ballot;
        self.accepted = Some(AcceptedView { ballot: request.ballot, view: proposed });
        if request.founding {
            self.view = None;
            self.founding_ballot = request.ballot;
        }
        Some(view_ballot)
    }

    /// Returns the known view if it is later than the proposer's.
    fn view_newer_than(&self, known: Option<&View>) -> Option<View> {
        let own = self.view.as_ref()?;
        let is_newer = known.is_none_or(|known| own.ballot > known.ballot);
        is_newer.then(|| own.clone())
    }
}

#[cfg(test)]
mod tests;
