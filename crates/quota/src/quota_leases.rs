//! The quota of one process: [`QuotaLeases`]. The driver passes in messages and the time; each step
//! outputs messages and events. `election` decides when this process becomes a candidate,
//! `messages` handles each message.

mod election;
mod messages;

use crate::leader_term::{LeaderTerm, Phase};
use crate::leases::{Lease, LeaseState};
use crate::message::Message;
use crate::output::{Output, QuotaCounters, QuotaEvent};
use crate::settings::{Settings, SettingsError};
use crate::view::Process;
use crate::voter::Voter;
use crate::Parts;
use pinetrail_clock::Timestamp;
use std::collections::BTreeSet;

/// The state of the quota at one process: its vote, its term and its lease. Timestamps are of the
/// clock of that process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLeases {
    settings: Settings,
    local: Process,
    voter: Voter,
    /// The term of this process, if it is the leader or a candidate.
    term: Option<LeaderTerm>,
    lease: LeaseState,
    /// The other processes that the driver last reported as alive.
    live_processes: BTreeSet<Process>,
    started_at: Timestamp,
    /// The time at which a leader or candidate sends its next vote requests, and any other process
    /// becomes a candidate.
    next_election_step: Timestamp,
    /// The number of elections that this process has lost since it last knew a leader.
    lost_elections: u64,
    counters: QuotaCounters,
}

impl QuotaLeases {
    /// Creates the state of a process that has just started and may use its guaranteed minimum.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings are invalid.
    pub fn new(settings: Settings, local: Process, now: Timestamp) -> Result<QuotaLeases, SettingsError> {
        settings.check()?;
        let mut quota = QuotaLeases {
            voter: Voter::new(local, now),
            local,
            term: None,
            lease: LeaseState::NeverGranted,
            live_processes: BTreeSet::new(),
            started_at: now,
            next_election_step: now,
            lost_elections: 0,
            counters: QuotaCounters::default(),
            settings,
        };
        quota.next_election_step = quota.election_time(now);
        Ok(quota)
    }

    /// Returns the parts of the fleet's limits that this process may use now: its quota.
    ///
    /// Inputs: the time now (own clock); the guaranteed minimum and the lease, in parts per
    /// billion.
    /// Reason: the guaranteed minimum depends on no other process, so it remains when a lease
    /// expires.
    /// Source: docs/quota-design.md.
    pub fn usable_parts(&self, now: Timestamp) -> Parts {
        self.settings.guaranteed_minimum() + self.lease().parts_at(now)
    }

    /// Returns the parts that this process may use without a lease.
    pub fn guaranteed_minimum(&self) -> Parts {
        self.settings.guaranteed_minimum()
    }

    /// Returns the lease that was granted last, which may have expired; a lease of 0 parts if none
    /// was granted.
    pub fn lease(&self) -> Lease {
        self.lease.last_lease()
    }

    /// Returns the number of the latest decided view that this process knows; 0 if it knows none.
    pub fn view_number(&self) -> u64 {
        self.voter.view_number()
    }

    /// Returns whether this process is the leader now.
    pub fn is_leader(&self, now: Timestamp) -> bool {
        self.term.as_ref().is_some_and(|term| term.is_leading(now))
    }

    /// Returns the counters of this process since its start.
    pub fn counters(&self) -> QuotaCounters {
        self.counters
    }

    /// Returns the time by which the driver must call [`QuotaLeases::handle_timeout`].
    pub fn next_timeout(&self) -> Timestamp {
        match self.lease.expires_at() {
            Some(expires_at) => self.next_election_step.min(expires_at),
            None => self.next_election_step,
        }
    }

    /// Sets the processes that count as alive. If failed processes are among them, or live ones are
    /// missing, elections and view changes may be delayed, but the quotas never exceed the whole of
    /// the limits.
    pub fn set_live_processes(&mut self, alive: impl IntoIterator<Item = Process>) {
        let others = alive.into_iter().filter(|process| process.address != self.local.address);
        self.live_processes = others.collect();
    }

    /// Marks this process as shutting down soon. The process keeps its lease for as long as it
    /// runs, but later views do not include it as a voter.
    pub fn begin_shutdown(&mut self) {
        self.voter.leaving = true;
    }

    /// Handles all that is due by now: expires the lease and the term, sends vote requests, and
    /// starts or ends a candidacy.
    pub fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.expire(now, out);
        if now < self.next_election_step {
            return;
        }
        match &self.term {
            Some(term) if self.has_candidacy_timed_out(term, now) => self.end_candidacy(now),
            Some(_) => self.send_vote_requests(now, out),
            None => self.start_election_if_due(now, out),
        }
    }

    /// Handles a message from another process.
    pub fn handle_message(&mut self, now: Timestamp, message: &Message, out: &mut Vec<Output>) {
        self.expire(now, out);
        match message {
            Message::VoteRequest(request) => {
                if request.ballot.proposer != self.local {
                    self.handle_vote_request(now, request, out);
                }
            }
            Message::VoteResponse(response) => self.handle_vote_response(now, response, out),
            Message::LeaseGrant(grant) => self.handle_lease_grant(now, grant, out),
        }
    }

    /// Handles the expiry of the lease and of the term.
    fn expire(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if self.lease.expire(now) {
            self.counters.leases_expired += 1;
            out.push(Output::Event(QuotaEvent::LeaseExpired));
        }
        if self.term.as_ref().is_some_and(|term| term.has_expired(now)) {
            self.end_term(now, out);
        }
    }

    /// Ends the term, and schedules the next election.
    fn end_term(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let ended = self.term.take();
        if ended.is_some_and(|term| matches!(term.phase, Phase::Leading { .. })) {
            out.push(Output::Event(QuotaEvent::LostLeadership));
        }
        self.next_election_step = self.election_time(now);
    }
}
