//! What a process does with each message, and the requests that it sends as leader or candidate.

use super::QuotaLeases;
use crate::leader_term::Phase;
use crate::message::{LeaseGrant, Message, VoteRequest, VoteResponse};
use crate::output::{Output, QuotaEvent};
use crate::view::Process;
use crate::Time;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl QuotaLeases {
    /// Asks everybody for votes and lease requests, as leader or candidate.
    pub(super) fn send_vote_requests(&mut self, now: Time, out: &mut Vec<Output>) {
        self.next_election_step = now + self.settings.heartbeat_period;
        let possible_voters = self.possible_voters();
        let Some(term) = &mut self.term else { return };
        term.propose(now, possible_voters, &mut self.voter, &self.settings);
        let request = term.vote_request(now);
        let mut addresses: BTreeSet<SocketAddr> =
            self.live_processes.iter().map(|process| process.address).collect();
        addresses.extend(term.voter_addresses(&self.settings));
        addresses.extend(&self.settings.founders);
        addresses.remove(&self.local.address);
        for address in addresses {
            out.push(Output::Send(address, Message::VoteRequest(Box::new(request.clone()))));
        }
        // Its own vote is one like any other.
        let lease_request = self.lease.to_request(now);
        let own = self.voter.handle_vote_request(now, &request, lease_request, &self.settings);
        self.handle_vote_response(now, &own, out);
    }

    /// The founders that are alive, and this process.
    fn possible_voters(&self) -> Vec<Process> {
        let founders = &self.settings.founders;
        let is_founder = |process: &&Process| founders.binary_search(&process.address).is_ok();
        let mut voters: Vec<Process> = self.live_processes.iter().filter(is_founder).copied().collect();
        voters.push(self.local);
        voters
    }

    pub(super) fn handle_vote_request(&mut self, now: Time, request: &VoteRequest, out: &mut Vec<Output>) {
        let view_before = self.view_number();
        let is_candidate = self.term.as_ref().is_some_and(|term| term.phase == Phase::RequestingVotes);
        if is_candidate && request.ballot > self.voter.highest_ballot {
            // Two that ask for votes at the same time would both get too few.
            self.give_way(now);
        }
        let lease_request = self.lease.to_request(now);
        let response = self.voter.handle_vote_request(now, request, lease_request, &self.settings);
        self.handle_view_change(now, view_before, out);
        if request.is_leader {
            self.lost_elections = 0;
            if self.term.is_none() {
                self.next_election_step = self.election_time(now);
            }
        }
        let to = request.ballot.proposer.address;
        out.push(Output::Send(to, Message::VoteResponse(Box::new(response))));
    }

    /// Ends its own candidacy for a later one. Nobody else counts its vote for itself.
    fn give_way(&mut self, now: Time) {
        self.term = None;
        self.voter.withdraw_own_vote();
        self.lost_elections += 1;
        self.next_election_step = self.election_time(now);
    }

    /// If another process has had a view decided, this one does not lead in it.
    fn handle_view_change(&mut self, now: Time, view_before: u64, out: &mut Vec<Output>) {
        if self.view_number() != view_before {
            out.push(Output::Event(QuotaEvent::ViewChanged(self.view_number())));
            self.end_term(now, out);
        }
    }

    pub(super) fn handle_vote_response(&mut self, now: Time, response: &VoteResponse, out: &mut Vec<Output>) {
        self.voter.observe(response.highest_ballot, response.highest_view_number);
        let view_before = self.view_number();
        if let Some(view) = &response.newer_view {
            self.voter.adopt(view);
            self.handle_view_change(now, view_before, out);
        }
        if response.ballot.proposer != self.local {
            return;
        }
        let Some(term) = &mut self.term else { return };
        let led_before = term.is_leading(now);
        term.handle_vote_response(now, response, &mut self.voter, &self.settings);
        let is_leading = term.is_leading(now);
        if self.view_number() != view_before {
            out.push(Output::Event(QuotaEvent::ViewChanged(self.view_number())));
        }
        if is_leading && !led_before {
            self.become_leader(now, out);
        }
        if is_leading {
            self.grant_lease(now, response, out);
        }
    }

    fn become_leader(&mut self, now: Time, out: &mut Vec<Output>) {
        self.counters.terms_led += 1;
        self.voter.leader_heard_at = now;
        self.lost_elections = 0;
        // The leases of an earlier leader end soon: their holders are asked at once.
        self.next_election_step = now;
        out.push(Output::Event(QuotaEvent::BecameLeader));
    }

    /// As the leader, grants a lease for the request in a response.
    fn grant_lease(&mut self, now: Time, response: &VoteResponse, out: &mut Vec<Output>) {
        let view_number = self.voter.view_number();
        let Some(term) = &mut self.term else { return };
        // A side of a partition that has lost the others has its minimum within one lease, whoever
        // leads there.
        let duration = self.settings.lease_duration.saturating_sub(term.age_of_votes(now, &self.settings));
        let Phase::Leading { since, ledger } = &mut term.phase else { return };
        // Danger: what the holder held before this term may be another's by now.
        if response.request_sent_at < *since {
            return;
        }
        self.voter.leader_heard_at = now;
        let request = response.lease_request;
        let parts = ledger.grant(now, response.from, request, &self.settings);
        if parts == 0 {
            self.counters.leases_refused += 1;
            return;
        }
        self.counters.leases_granted += 1;
        let grant = LeaseGrant {
            from: self.local,
            to: response.from,
            request_sent_at: request.sent_at,
            parts,
            duration,
            view_number,
        };
        if response.from == self.local {
            self.handle_lease_grant(now, &grant, out);
        } else {
            out.push(Output::Send(response.from.address, Message::LeaseGrant(grant)));
        }
    }

    pub(super) fn handle_lease_grant(&mut self, now: Time, grant: &LeaseGrant, out: &mut Vec<Output>) {
        // Danger: what was leased to the process before this one at its address is not this one's.
        if grant.to != self.local || grant.parts == 0 {
            return;
        }
        if self.lease.replace_with(grant, self.settings.lease_duration) {
            self.has_lease = self.lease.parts_at(now) > 0;
            out.push(Output::Event(QuotaEvent::LeaseGranted(self.lease)));
        }
    }
}
