//! [`LeaderTerm`]: a process that is the leader, or wants to be.
//!
//! It is the proposer of Paxos (Lamport 1998): it first asks a quorum for votes and for what they
//! have accepted, then has a view decided that an earlier proposer may have left undecided. Votes
//! expire, as in PaxosLease (Trencseni, Gazso and Reinhardt 2012), and the term expires with them;
//! the leader renews them by its heartbeats.
//!
//! Here are the phases of a term and its transitions; `quorum` holds who votes and how long the
//! term is valid, `view_change` which view is proposed and when it is decided.

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

/// The phases of a term, in their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// A candidate that asks for votes.
    RequestingVotes,
    /// It has the votes of a quorum, and must have a view decided before it leads: one that it
    /// found undecided, or the first one of a new fleet.
    DecidingView,
    /// It grants leases.
    Leading {
        /// When it began to lead.
        since: Timestamp,
        /// What it has granted since.
        ledger: LeaseLedger,
    },
}

/// Whether a candidate asks as a voter of a view or as a founder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ElectionKind {
    /// In the view that it knows.
    InView,
    /// Among the founders, for the first view of a new fleet.
    Founding,
}

/// A candidate or leader. Timestamps are of its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaderTerm {
    local: Process,
    ballot: Ballot,
    /// The view whose voters it asks; none if it founds a fleet.
    view: Option<View>,
    /// When each vote expires.
    votes: BTreeMap<Process, Timestamp>,
    /// What voters have accepted in earlier ballots: the one of the latest ballot.
    undecided: Option<AcceptedView>,
    proposed_view: Option<View>,
    /// The voters that have accepted the proposed view.
    accepted_by: BTreeSet<Process>,
    /// The processes that shut down soon.
    leaving: BTreeSet<Process>,
    pub(crate) phase: Phase,
    /// Until when it has the votes of a quorum.
    ///
    /// Invariant: this is compared with the time before each act as leader, since another process
    /// may have led between two acts.
    valid_until: Timestamp,
    /// When it became a candidate.
    pub(crate) started_at: Timestamp,
    /// When it began to lead, or had its latest view decided: from then on the voters of the view
    /// may vote.
    view_decided_at: Timestamp,
}

impl LeaderTerm {
    /// A new candidate.
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

    /// Continues in a ballot that is later than all that were seen.
    ///
    /// Invariant: acceptances of an earlier ballot are dropped, since they decide nothing in the
    /// new one.
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

    /// Whether it is the leader now.
    pub(crate) fn is_leading(&self, now: Timestamp) -> bool {
        matches!(self.phase, Phase::Leading { .. }) && now < self.valid_until
    }

    /// How long ago it asked for the votes that it holds.
    pub(crate) fn age_of_votes(&self, now: Timestamp, settings: &Settings) -> Duration {
        (now + settings.vote_duration).saturating_duration_since(self.valid_until)
    }

    /// Whether it had the votes of a quorum and has them no longer.
    pub(crate) fn has_expired(&self, now: Timestamp) -> bool {
        self.phase != Phase::RequestingVotes && now >= self.valid_until
    }

    /// The request that it sends to every process now.
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

    /// Handles the response to one of its requests.
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

    /// A voter has seen a later ballot: continues in one that is later still.
    fn handle_refusal(&mut self, response: &VoteResponse, voter: &mut Voter) {
        if response.highest_ballot <= self.ballot {
            return;
        }
        self.begin_ballot(voter);
        if self.phase == Phase::RequestingVotes {
            // The responses of the old ballot do not count in the new one, which asks again.
            self.votes.clear();
            self.undecided = None;
        }
    }

    /// Moves the term to the phase that its votes and acceptances permit.
    ///
    /// Decides: when a candidate has a view decided, and when it begins to lead.
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
