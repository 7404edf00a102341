//! The state of a candidate or leader: [`LeaderTerm`].
//!
//! A candidate or leader is a proposer of Paxos (Lamport 1998): it first asks a quorum for votes
//! and for accepted views, then has a view decided that an earlier proposer may have left
//! undecided. Votes expire, as in PaxosLease (Trencseni, Gazso and Reinhardt 2012), and the term
//! expires with its votes; the leader renews them by its heartbeats.
//!
//! This module has the phases of a term and the transitions between them. `quorum` determines which
//! votes count and how long a term is valid; `view_change` determines which view is proposed and
//! when that view is decided.

mod quorum;
mod view_change;

use crate::leases::LeaseLedger;
use crate::message::{AcceptedView, RequestTime, VoteRequest, VoteResponse};
use crate::settings::Settings;
use crate::view::{Ballot, Process, View};
use crate::voter::Voter;
use pinetrail_clock::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The phases of a term, in the order in which a term passes through them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// The candidate asks for votes.
    RequestingVotes,
    /// The candidate has the votes of a quorum, and must have a view decided before it leads: a
    /// view that an earlier proposer left undecided, or the first view of a new fleet.
    DecidingView,
    /// The process is the leader and grants leases.
    Leading {
        /// The time at which the process became the leader.
        since: Timestamp,
        /// The leases that the leader has granted in this term.
        ledger: LeaseLedger,
    },
}

/// The kind of an election, which determines the processes that vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ElectionKind {
    /// An election among the voters of the view that the candidate knows.
    InView,
    /// An election among the founders, for the first view of a new fleet.
    Founding,
}

/// The state of this process as candidate or leader. Timestamps are of its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaderTerm {
    local: Process,
    ballot: Ballot,
    /// The view whose voters are asked; `None` if the candidate founds a fleet.
    view: Option<View>,
    /// The expiry of each vote.
    votes: BTreeMap<Process, Timestamp>,
    /// The view that voters have accepted in the latest of the earlier ballots, which may have been
    /// decided.
    undecided: Option<AcceptedView>,
    proposed_view: Option<View>,
    /// The voters that have accepted `proposed_view`.
    accepted_by: BTreeSet<Process>,
    /// The processes that shut down soon, which no proposed view includes.
    leaving: BTreeSet<Process>,
    pub(crate) phase: Phase,
    /// The time until which the term has the votes of a quorum.
    ///
    /// Invariant: before each action as leader the current time is compared with `valid_until`,
    /// since another process may have led between two actions.
    valid_until: Timestamp,
    /// The time at which this process became a candidate.
    pub(crate) started_at: Timestamp,
    /// The time at which this process became the leader, or had its latest view decided; the voters
    /// of that view can vote from then on.
    view_decided_at: Timestamp,
}

impl LeaderTerm {
    /// Creates the term of a new candidate, in its first ballot.
    pub(crate) fn new(local: Process, now: Timestamp, voter: &mut Voter, kind: ElectionKind) -> LeaderTerm {
        let view = match kind {
            ElectionKind::InView => voter.view.clone(),
            ElectionKind::Founding => None,
        };
        let mut term = LeaderTerm {
            local,
            ballot: voter.highest_ballot,
            view,
            votes: BTreeMap::new(),
            undecided: None,
            proposed_view: None,
            accepted_by: BTreeSet::new(),
            leaving: BTreeSet::new(),
            phase: Phase::RequestingVotes,
            valid_until: Timestamp::ZERO,
            started_at: now,
            view_decided_at: now,
        };
        term.begin_ballot(voter);
        term
    }

    /// Continues the term in a ballot that is later than all that this process has seen.
    ///
    /// Invariant: acceptances of an earlier ballot are dropped, since they do not count in the new
    /// ballot.
    fn begin_ballot(&mut self, voter: &mut Voter) {
        self.ballot = Ballot { round: voter.highest_ballot.round + 1, proposer: self.local };
        voter.observe(self.ballot, 0);
        self.accepted_by.clear();
        if self.view.is_some() {
            return;
        }
        if let Some(first_view) = &mut self.proposed_view {
            first_view.ballot = self.ballot;
        }
    }

    /// Returns whether this process is the leader now.
    pub(crate) fn is_leading(&self, now: Timestamp) -> bool {
        matches!(self.phase, Phase::Leading { .. }) && now < self.valid_until
    }

    /// Returns the age of the votes: the time since the requests to which a quorum responded.
    pub(crate) fn age_of_votes(&self, now: Timestamp, settings: &Settings) -> Duration {
        (now + settings.vote_duration).saturating_duration_since(self.valid_until)
    }

    /// Returns whether the term had the votes of a quorum and has lost them.
    pub(crate) fn has_expired(&self, now: Timestamp) -> bool {
        self.phase != Phase::RequestingVotes && now >= self.valid_until
    }

    /// Returns the vote request to send to all processes now.
    pub(crate) fn vote_request(&self, now: Timestamp) -> VoteRequest {
        VoteRequest {
            ballot: self.ballot,
            sent_at: RequestTime::at(now),
            founding: self.view.is_none(),
            is_leader: self.is_leading(now),
            view: self.view.clone(),
            proposed_view: self.proposed_view.clone(),
        }
    }

    /// Handles the response to a vote request of this term.
    pub(crate) fn handle_vote_response(
        &mut self,
        now: Timestamp,
        response: &VoteResponse,
        voter: &mut Voter,
        settings: &Settings,
    ) {
        if response.leaving {
            self.leaving.insert(response.from);
        }
        if response.ballot == self.ballot {
            if !response.vote_granted {
                self.handle_refusal(response, voter);
            } else if self.is_voter(&response.from, settings) {
                self.record_vote(response, settings);
            }
        }
        self.advance_phase(now, voter, settings);
    }

    /// Records a granted vote, and the view that the voter has accepted.
    fn record_vote(&mut self, response: &VoteResponse, settings: &Settings) {
        let expires_at = self.votes.entry(response.from).or_default();
        *expires_at = (*expires_at).max(response.request_sent_at.local_timestamp() + settings.vote_duration);
        let proposed_ballot = self.proposed_view.as_ref().map(|view| view.ballot);
        if response.accepts.is_some() && response.accepts == proposed_ballot {
            self.accepted_by.insert(response.from);
        }
        if self.phase != Phase::RequestingVotes {
            return;
        }
        let Some(accepted) = &response.accepted else { return };
        let is_latest = self.undecided.as_ref().is_none_or(|known| known.ballot < accepted.ballot);
        if accepted.ballot < self.ballot && is_latest {
            self.undecided = Some(accepted.clone());
        }
    }

    /// Continues in a new ballot if a voter that refused its vote has seen a later ballot.
    fn handle_refusal(&mut self, response: &VoteResponse, voter: &mut Voter) {
        if response.highest_ballot <= self.ballot {
            return;
        }
        self.begin_ballot(voter);
        if self.phase == Phase::RequestingVotes {
            // Responses of the old ballot do not count in the new ballot; the voters are asked
            // again.
            self.votes.clear();
            self.undecided = None;
        }
    }

    /// Advances the term to the phase that its votes and acceptances permit: decides when a
    /// candidate has a view decided, and when it begins to lead.
    ///
    /// Inputs: the time now and the expiry of each vote (own clock); the acceptances of the
    /// proposed view; the size of a quorum.
    /// Reason: a leader must know the latest decided view, so a view that an earlier proposer left
    /// undecided is decided first.
    /// Source: Paxos, phases 1 and 2 (Lamport 1998); PaxosLease for the expiry.
    fn advance_phase(&mut self, now: Timestamp, voter: &mut Voter, settings: &Settings) {
        self.update_valid_until(settings);
        if now >= self.valid_until {
            return;
        }
        if self.phase == Phase::RequestingVotes {
            self.proposed_view = self.initial_proposal(now, voter.highest_view_number);
            self.phase = Phase::DecidingView;
        }
        self.decide_if_accepted(now, voter, settings);
        let is_decided = self.proposed_view.is_none() && self.view.is_some();
        if self.phase == Phase::DecidingView && is_decided && now < self.valid_until {
            self.view_decided_at = now;
            self.phase = Phase::Leading { since: now, ledger: LeaseLedger::new(now, settings) };
        }
    }
}
