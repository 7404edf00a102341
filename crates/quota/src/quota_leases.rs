//! [`QuotaLeases`]: the quota of one process. Messages and the time go in, messages and events come
//! out. `election` decides when this process becomes a candidate, `messages` handles each message.

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

/// The quota as one process knows it. Timestamps are of its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLeases {
    settings: Settings,
    local: Process,
    voter: Voter,
    /// Its term, if it is the leader or a candidate.
    term: Option<LeaderTerm>,
    lease: LeaseState,
    /// The other processes that are believed to be alive.
    live_processes: BTreeSet<Process>,
    started_at: Timestamp,
    /// When it sends its next vote requests, as leader or candidate, or becomes a candidate.
    next_election_step: Timestamp,
    /// Elections that it lost since it last knew a leader.
    lost_elections: u64,
    counters: QuotaCounters,
}

impl QuotaLeases {
    /// A process that has just started: it has its guaranteed minimum.
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

    /// The parts that it may use now.
    ///
    /// Decides: the quota of this process.
    /// Inputs: the time now (own clock); the guaranteed minimum and the lease, in parts per
    /// billion.
    /// Reason: the guaranteed minimum needs no other process, so it remains when a lease expires.
    /// Source: docs/quota-design.md.
    pub fn usable_parts(&self, now: Timestamp) -> Parts {
        self.settings.guaranteed_minimum() + self.lease().parts_at(now)
    }

    /// The parts that are always its own.
    pub fn guaranteed_minimum(&self) -> Parts {
        self.settings.guaranteed_minimum()
    }

    /// The lease that was granted to it last, which may have expired; one of no parts if none was.
    pub fn lease(&self) -> Lease {
        self.lease.last_lease()
    }

    /// The number of the latest decided view that it knows; 0 if it knows none.
    pub fn view_number(&self) -> u64 {
        self.voter.view_number()
    }

    /// Whether it is the leader now.
    pub fn is_leader(&self, now: Timestamp) -> bool {
        self.term.as_ref().is_some_and(|term| term.is_leading(now))
    }

    /// What it has counted.
    pub fn counters(&self) -> QuotaCounters {
        self.counters
    }

    /// When [`QuotaLeases::handle_timeout`] is to be called at the latest.
    pub fn next_timeout(&self) -> Timestamp {
        match self.lease.expires_at() {
            Some(expires_at) => self.next_election_step.min(expires_at),
            None => self.next_election_step,
        }
    }

    /// Sets which processes are believed to be alive. Safety does not depend on whether that is
    /// true.
    pub fn set_live_processes(&mut self, alive: impl IntoIterator<Item = Process>) {
        let others = alive.into_iter().filter(|process| process.address != self.local.address);
        self.live_processes = others.collect();
    }

    /// Notes that this process shuts down soon. It keeps its lease for as long as it runs, but is a
    /// voter in no view after the present one.
    pub fn begin_shutdown(&mut self) {
        self.voter.leaving = true;
    }

    /// Does what is due by now.
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

    /// Takes note of what has expired by now: the lease, the term.
    fn expire(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if self.lease.expire(now) {
            self.counters.leases_expired += 1;
            out.push(Output::Event(QuotaEvent::LeaseExpired));
        }
        if self.term.as_ref().is_some_and(|term| term.has_expired(now)) {
            self.end_term(now, out);
        }
    }

    fn end_term(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let ended = self.term.take();
        if ended.is_some_and(|term| matches!(term.phase, Phase::Leading { .. })) {
            out.push(Output::Event(QuotaEvent::LostLeadership));
        }
        self.next_election_step = self.election_time(now);
    }
}
