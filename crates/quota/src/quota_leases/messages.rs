//! The handling of each message, and the requests of a leader or candidate.

use super::QuotaLeases;
use crate::leader_term::Phase;
use crate::leases::LeaseDecision;
use crate::message::{LeaseGrant, Message, VoteRequest, VoteResponse};
use crate::output::{Output, QuotaEvent};
use crate::view::Process;
use pinetrail_clock::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl QuotaLeases {
    /// Asks all processes for votes and lease requests, as leader or candidate; the request also
    /// proposes a new view if the voters have to change.
    pub(super) fn send_vote_requests(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.next_election_step = now + self.settings.heartbeat_period;
        let possible_voters = self.possible_voters();
        let Some(term) = &mut self.term else { return };
        term.propose_voters(now, possible_voters, &mut self.voter, &self.settings);
        let request = term.vote_request(now);
        let mut addresses: BTreeSet<SocketAddr> =
            self.live_processes.iter().map(|process| process.address).collect();
        addresses.extend(term.voter_addresses(&self.settings));
        addresses.extend(&self.settings.founders);
        addresses.remove(&self.local.address);
        for address in addresses {
            out.push(Output::Send(address, Message::VoteRequest(Box::new(request.clone()))));
        }
        // The vote of this process itself is handled like any other.
        let lease_request = self.lease.renewal_request(now);
        let own = self.voter.handle_vote_request(now, &request, lease_request, &self.settings);
        self.handle_vote_response(now, &own, out);
    }

    /// Returns the founders that are alive, and this process.
    fn possible_voters(&self) -> Vec<Process> {
        let is_founder = |process: &&Process| self.settings.is_founder(&process.address);
        let mut voters: Vec<Process> = self.live_processes.iter().filter(is_founder).copied().collect();
        voters.push(self.local);
        voters
    }

    /// Responds to a vote request of a leader or candidate.
    pub(super) fn handle_vote_request(
        &mut self,
        now: Timestamp,
        request: &VoteRequest,
        out: &mut Vec<Output>,
    ) {
        let view_before = self.view_number();
        let is_candidate = self.term.as_ref().is_some_and(|term| term.phase == Phase::RequestingVotes);
        if is_candidate && request.ballot > self.voter.highest_ballot {
            // Two simultaneous candidates would both get too few votes.
            self.yield_to_later_candidate(now);
        }
        let lease_request = self.lease.renewal_request(now);
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

    /// Ends the term of this process if another process has had a view decided, since this process
    /// was not elected in that view.
    fn handle_view_change(&mut self, now: Timestamp, view_before: u64, out: &mut Vec<Output>) {
        if self.view_number() != view_before {
            out.push(Output::Event(QuotaEvent::ViewChanged(self.view_number())));
            self.end_term(now, out);
        }
    }

    /// Handles a response to a vote request: adopts a newer view, counts the vote, and grants a
    /// lease if this process is the leader.
    pub(super) fn handle_vote_response(
        &mut self,
        now: Timestamp,
        response: &VoteResponse,
        out: &mut Vec<Output>,
    ) {
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

    fn become_leader(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.counters.terms_led += 1;
        self.voter.last_leader_contact = now;
        self.lost_elections = 0;
        // The leases of an earlier leader expire soon, so their holders are asked for lease
        // requests at once.
        self.next_election_step = now;
        out.push(Output::Event(QuotaEvent::BecameLeader));
    }

    /// Grants a lease, as the leader, for the lease request in a response: decides whether the
    /// lease is granted, and how long it lasts.
    ///
    /// Inputs: the time now, the start of the term and the age of the votes (own clock); the
    /// request of the holder; the duration of a lease.
    /// Reason: parts that the holder had before this term may have been granted to another process
    /// since. A lease is shortened by the age of the votes, so that in a partition without a quorum
    /// all processes fall to their guaranteed minimum within the duration of one lease.
    /// Source: Gray and Cheriton 1989; PaxosLease (Trencseni, Gazso and Reinhardt 2012).
    fn grant_lease(&mut self, now: Timestamp, response: &VoteResponse, out: &mut Vec<Output>) {
        let view_number = self.voter.view_number();
        let Some(term) = &mut self.term else { return };
        let age_of_votes = term.age_of_votes(now, &self.settings);
        let duration = self.settings.lease_duration.saturating_sub(age_of_votes);
        let Phase::Leading { since, ledger } = &mut term.phase else { return };
        if response.request_sent_at.local_timestamp() < *since {
            return;
        }
        self.voter.last_leader_contact = now;
        let request = response.lease_request;
        let parts = match ledger.grant(now, response.from, request, &self.settings) {
            LeaseDecision::Granted(parts) => parts,
            LeaseDecision::NoFreeParts => {
                self.counters.leases_rejected += 1;
                return;
            }
        };
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

    /// Applies a granted lease. A grant to the predecessor of this process at its address is
    /// ignored.
    pub(super) fn handle_lease_grant(&mut self, now: Timestamp, grant: &LeaseGrant, out: &mut Vec<Output>) {
        if grant.to != self.local || grant.parts == 0 {
            return;
        }
        if self.lease.renew(now, grant, self.settings.lease_duration) {
            out.push(Output::Event(QuotaEvent::LeaseGranted(self.lease())));
        }
    }
}
