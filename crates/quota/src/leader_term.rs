//! [`LeaderTerm`]: a process that is the leader, or wants to be.
//!
//! It is the proposer of Paxos (Lamport 1998): it first asks a quorum for votes and for what they
//! have accepted, then has a view decided that an earlier proposer may have left undecided. Votes
//! end by themselves, as in PaxosLease (Trencseni, Gazso and Reinhardt 2012), and with them the
//! term; the leader renews them by its heartbeats.

use crate::ledger::LeaseLedger;
use crate::message::{AcceptedView, VoteRequest, VoteResponse};
use crate::settings::Settings;
use crate::view::{Ballot, Process, View};
use crate::voter::Voter;
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A voter of a view has so many heartbeat periods to vote before it is left out of the next view.
const PERIODS_TO_RESPOND: Time = 2;

/// How far a candidate has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// It asks for votes.
    RequestingVotes,
    /// It has them, and must have a view decided before it leads: one that it found undecided, or
    /// the first one.
    DecidingView,
    /// It grants leases.
    Leading {
        /// When its term began.
        since: Time,
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

/// A candidate or leader. Times are in ms of its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaderTerm {
    local: Process,
    ballot: Ballot,
    /// The view whose voters it asks; none if it founds a fleet.
    view: Option<View>,
    /// Until when each vote lasts.
    votes: BTreeMap<Process, Time>,
    /// What voters have accepted in earlier ballots: the one of the latest ballot.
    undecided: Option<AcceptedView>,
    proposed_view: Option<View>,
    /// Who has accepted the proposed view.
    accepted_by: BTreeSet<Process>,
    /// Who said that it ends soon.
    leaving: BTreeSet<Process>,
    pub(crate) phase: Phase,
    /// Until when it has the votes of a quorum. Danger: checked before anything else is done as
    /// leader. Between two checks another may have led.
    valid_until: Time,
    /// When it became a candidate.
    pub(crate) started_at: Time,
    /// When it became leader, or had its latest view decided: from then on the voters of the view
    /// may vote.
    view_decided_at: Time,
}

impl LeaderTerm {
    /// A new candidate.
    pub(crate) fn new(local: Process, now: Time, voter: &mut Voter, kind: ElectionKind) -> LeaderTerm {
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
            valid_until: 0,
            started_at: now,
            view_decided_at: now,
        };
        term.begin_ballot(voter);
        term
    }

    /// Goes on in a ballot that is later than all that were seen.
    fn begin_ballot(&mut self, voter: &mut Voter) {
        self.ballot = Ballot { round: voter.highest_ballot.round + 1, proposer: self.local };
        voter.observe(self.ballot, 0);
        // Danger: what was accepted in an earlier ballot decides nothing in this one.
        self.accepted_by.clear();
        if self.view.is_some() {
            return;
        }
        if let Some(first_view) = &mut self.proposed_view {
            first_view.ballot = self.ballot;
        }
    }

    /// Whether it is the leader now.
    pub(crate) fn is_leading(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Leading { .. }) && now < self.valid_until
    }

    /// How long ago it asked for the votes that it holds.
    pub(crate) fn age_of_votes(&self, now: Time, settings: &Settings) -> Time {
        (now + settings.vote_duration).saturating_sub(self.valid_until)
    }

    /// Whether it had the votes of a quorum and has them no longer.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.phase != Phase::RequestingVotes && now >= self.valid_until
    }

    /// What it asks of every process now.
    pub(crate) fn vote_request(&self, now: Time) -> VoteRequest {
        VoteRequest {
            ballot: self.ballot,
            sent_at: now,
            founding: self.view.is_none(),
            is_leader: self.is_leading(now),
            view: self.view.clone(),
            proposed_view: self.proposed_view.clone(),
        }
    }

    /// The addresses of those whose votes count.
    pub(crate) fn voter_addresses(&self, settings: &Settings) -> Vec<SocketAddr> {
        match &self.view {
            Some(view) => view.voters.iter().map(|process| process.address).collect(),
            None => settings.founders.clone(),
        }
    }

    fn is_voter(&self, process: &Process, settings: &Settings) -> bool {
        match &self.view {
            Some(view) => view.is_voter(process),
            None => settings.founders.binary_search(&process.address).is_ok(),
        }
    }

    /// Takes the response to one of its requests.
    pub(crate) fn handle_vote_response(
        &mut self,
        now: Time,
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
        self.advance(now, voter, settings);
    }

    fn record_vote(&mut self, response: &VoteResponse, settings: &Settings) {
        let ends_at = self.votes.entry(response.from).or_default();
        *ends_at = (*ends_at).max(response.request_sent_at + settings.vote_duration);
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

    /// A voter has seen a later ballot: goes on in one that is later still.
    fn handle_refusal(&mut self, response: &VoteResponse, voter: &mut Voter) {
        if response.highest_ballot <= self.ballot {
            return;
        }
        self.begin_ballot(voter);
        if self.phase == Phase::RequestingVotes {
            // What was found in the old ballot says nothing of the new one; there it is asked
            // again.
            self.votes.clear();
            self.undecided = None;
        }
    }

    fn advance(&mut self, now: Time, voter: &mut Voter, settings: &Settings) {
        self.update_valid_until(settings);
        if now >= self.valid_until {
            return;
        }
        if self.phase == Phase::RequestingVotes {
            self.proposed_view = self.first_proposal(now, voter.highest_view_number);
            self.phase = Phase::DecidingView;
        }
        self.decide_if_accepted(now, voter, settings);
        let is_decided = self.proposed_view.is_none() && self.view.is_some();
        if self.phase == Phase::DecidingView && is_decided && now < self.valid_until {
            self.view_decided_at = now;
            self.phase = Phase::Leading { since: now, ledger: LeaseLedger::new(now, settings) };
        }
    }

    /// What it must have decided before it leads, if anything.
    fn first_proposal(&mut self, now: Time, highest_view_number: u64) -> Option<View> {
        let undecided = self.undecided.take();
        if self.view.is_some() {
            // Danger: what an earlier leader proposed may have been decided without anybody
            // knowing.
            return undecided.map(|accepted| accepted.view);
        }
        // A view that others of this ballot accepted is void: they have left it to found a fleet.
        let valid_votes = self.votes.iter().filter(|(_, ends_at)| now < **ends_at);
        let voters = valid_votes.map(|(process, _)| *process).collect();
        Some(View { ballot: self.ballot, number: highest_view_number + 1, voters })
    }

    /// The proposed view is decided once a quorum at different addresses has accepted it.
    fn decide_if_accepted(&mut self, now: Time, voter: &mut Voter, settings: &Settings) {
        let addresses: BTreeSet<SocketAddr> =
            self.accepted_by.iter().map(|process| process.address).collect();
        if addresses.len() < self.quorum(settings) {
            return;
        }
        if let Some(decided) = self.proposed_view.take() {
            voter.adopt(&decided);
            self.view = Some(decided);
            self.view_decided_at = now;
            self.begin_ballot(voter);
            self.update_valid_until(settings);
        }
    }

    /// Until when it has the votes of a quorum of voters at different addresses.
    fn update_valid_until(&mut self, settings: &Settings) {
        let mut ends_by_address: BTreeMap<SocketAddr, Time> = BTreeMap::new();
        for (process, ends_at) in &self.votes {
            if self.view.as_ref().is_none_or(|view| view.is_voter(process)) {
                let latest = ends_by_address.entry(process.address).or_default();
                *latest = (*latest).max(*ends_at);
            }
        }
        let mut ends: Vec<Time> = ends_by_address.into_values().collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        self.valid_until = ends.get(self.quorum(settings) - 1).copied().unwrap_or(0);
    }

    fn quorum(&self, settings: &Settings) -> usize {
        match &self.view {
            Some(view) => view.quorum(settings.min_quorum()),
            None => settings.founding_quorum(),
        }
    }

    /// Proposes a view of these voters, if it differs from the present one and can decide. This is
    /// reconfiguration by the consensus itself (Lamport 1998, section 3.2).
    pub(crate) fn propose(
        &mut self,
        now: Time,
        mut voters: Vec<Process>,
        voter: &mut Voter,
        settings: &Settings,
    ) {
        let Some(view) = &self.view else { return };
        // A voter that does not respond is left out before anybody else has noticed.
        if now >= self.view_decided_at + settings.heartbeat_period * PERIODS_TO_RESPOND {
            let has_voted = |one: &Process| self.votes.get(one).is_some_and(|ends_at| now < *ends_at);
            voters.retain(|one| !view.is_voter(one) || has_voted(one));
        }
        voters.retain(|one| !self.leaving.contains(one));
        voters.sort();
        let is_useful = voters != view.voters && voters.len() >= settings.min_quorum();
        if is_useful && self.is_leading(now) && self.proposed_view.is_none() {
            self.begin_ballot(voter);
            let number = voter.highest_view_number + 1;
            self.proposed_view = Some(View { ballot: self.ballot, number, voters });
        }
    }
}
