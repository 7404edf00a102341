//! [`QuotaLeases`]: the quota of one process. Messages and time come in, messages and events go
//! out, and it knows what the process may use now.

mod messages;

use crate::leader_term::{ElectionKind, LeaderTerm, Phase};
use crate::lease::Lease;
use crate::message::Message;
use crate::output::{Output, QuotaCounters, QuotaEvent};
use crate::settings::{Settings, SettingsError};
use crate::view::Process;
use crate::voter::Voter;
use crate::{Parts, Time};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A candidate waits for votes for so many heartbeat periods.
const PERIODS_OF_CANDIDACY: Time = 4;
/// Without a leader for so many leases, a view may be lost.
const LEASES_UNTIL_VIEW_IS_LOST: Time = 2;
/// An odd number whose bits are mixed well (2^64 divided by the golden ratio).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The quota as one process knows it. Times are in ms of its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLeases {
    settings: Settings,
    local: Process,
    voter: Voter,
    /// Its term, if it is the leader or a candidate.
    term: Option<LeaderTerm>,
    lease: Lease,
    /// Whether it holds a lease whose end has not been reported.
    has_lease: bool,
    /// The other processes that are believed to be alive.
    live_processes: BTreeSet<Process>,
    started_at: Time,
    /// When it sends its next vote requests, as leader or candidate, or becomes a candidate.
    next_election_step: Time,
    /// Elections that it lost since it last knew of a leader.
    lost_elections: u64,
    counters: QuotaCounters,
}

impl QuotaLeases {
    /// A process that has just started: it has its guaranteed minimum.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings are invalid.
    pub fn new(settings: Settings, local: Process, now: Time) -> Result<QuotaLeases, SettingsError> {
        settings.check()?;
        let mut quota = QuotaLeases {
            voter: Voter::new(local, now),
            local,
            term: None,
            lease: Lease::default(),
            has_lease: false,
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
    pub fn usable_parts(&self, now: Time) -> Parts {
        self.settings.guaranteed_minimum() + self.lease.parts_at(now)
    }

    /// The parts that are always its own.
    pub fn guaranteed_minimum(&self) -> Parts {
        self.settings.guaranteed_minimum()
    }

    /// What it holds by lease.
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// The number of the latest decided view that it knows; 0 if it knows none.
    pub fn view_number(&self) -> u64 {
        self.voter.view_number()
    }

    /// Whether it is the leader now.
    pub fn is_leader(&self, now: Time) -> bool {
        self.term.as_ref().is_some_and(|term| term.is_leading(now))
    }

    /// What it has counted.
    pub fn counters(&self) -> QuotaCounters {
        self.counters
    }

    /// When [`QuotaLeases::handle_timeout`] is to be called at the latest.
    pub fn next_timeout(&self) -> Time {
        if self.has_lease {
            self.next_election_step.min(self.lease.expires_at)
        } else {
            self.next_election_step
        }
    }

    /// Sets which processes are believed to be alive. Safety does not depend on whether that is
    /// true.
    pub fn set_live_processes(&mut self, alive: impl IntoIterator<Item = Process>) {
        let others = alive.into_iter().filter(|process| process.address != self.local.address);
        self.live_processes = others.collect();
    }

    /// This process ends soon. It keeps its lease for as long as it runs, but is a voter in no view
    /// after the present one.
    pub fn leave(&mut self) {
        self.voter.leaving = true;
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Time, out: &mut Vec<Output>) {
        self.expire(now, out);
        if now < self.next_election_step {
            return;
        }
        match &self.term {
            Some(term) if self.is_hopeless(term, now) => {
                self.term = None;
                self.lost_elections += 1;
                self.next_election_step = self.election_time(now);
            }
            Some(_) => self.send_vote_requests(now, out),
            None => self.become_candidate_if_due(now, out),
        }
    }

    /// Handles a message from another process.
    pub fn handle_message(&mut self, now: Time, message: &Message, out: &mut Vec<Output>) {
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

    /// Takes note of what has ended by now: the lease, the term.
    fn expire(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.has_lease && self.lease.parts_at(now) == 0 {
            self.has_lease = false;
            self.counters.leases_expired += 1;
            out.push(Output::Event(QuotaEvent::LeaseExpired));
        }
        if self.term.as_ref().is_some_and(|term| term.is_over(now)) {
            self.end_term(now, out);
        }
    }

    fn end_term(&mut self, now: Time, out: &mut Vec<Output>) {
        let ended = self.term.take();
        if ended.is_some_and(|term| matches!(term.phase, Phase::Leading { .. })) {
            out.push(Output::Event(QuotaEvent::LostLeadership));
        }
        self.next_election_step = self.election_time(now);
    }

    /// Whether a candidate has waited for votes in vain.
    fn is_hopeless(&self, term: &LeaderTerm, now: Time) -> bool {
        term.phase == Phase::RequestingVotes
            && now >= term.started_at + self.settings.heartbeat_period * PERIODS_OF_CANDIDACY
    }

    fn become_candidate_if_due(&mut self, now: Time, out: &mut Vec<Output>) {
        let election_time = self.election_time(self.voter.leader_heard_at.max(self.started_at));
        if now < election_time || !self.voter.can_vote_for_itself(now) {
            self.next_election_step = election_time.max(now + self.settings.heartbeat_period);
            return;
        }
        match self.election_kind(now) {
            Some(kind) => {
                self.term = Some(LeaderTerm::new(self.local, now, &mut self.voter, kind));
                self.send_vote_requests(now, out);
            }
            None => self.next_election_step = now + self.settings.heartbeat_period,
        }
    }

    /// As what it may become a candidate: a voter in its view, and a founder if it is none or if
    /// every other election in its view was lost for long.
    fn election_kind(&self, now: Time) -> Option<ElectionKind> {
        let is_founder = self.settings.founders.binary_search(&self.local.address).is_ok();
        let is_voter = self.voter.is_voter();
        let no_leader_for_long =
            now >= self.voter.leader_heard_at + self.settings.lease_duration * LEASES_UNTIL_VIEW_IS_LOST;
        let view_is_lost = no_leader_for_long && self.lost_elections % 2 == 1;
        if is_founder && (!is_voter || view_is_lost) {
            Some(ElectionKind::Founding)
        } else if is_voter {
            Some(ElectionKind::InView)
        } else {
            None
        }
    }

    /// When it becomes a candidate if it has heard of no leader since: one process after the
    /// other, in the order of the voters that are alive.
    fn election_time(&self, since: Time) -> Time {
        let candidates: Vec<SocketAddr> = match &self.voter.view {
            Some(view) => view.voters.iter().map(|process| process.address).collect(),
            None => self.settings.founders.clone(),
        };
        let before = candidates.iter().take_while(|address| **address != self.local.address);
        let rank = before.filter(|address| self.is_alive(address)).count() as u64;
        let turn = (1 + rank) * self.settings.heartbeat_period;
        // Those who failed together try again at different times.
        let seed = (self.local.start ^ rank).wrapping_add(self.lost_elections);
        let spread = (seed.wrapping_mul(HASH_MULTIPLIER) >> 32) % self.settings.heartbeat_period;
        since + self.settings.with_skew(self.settings.vote_duration) + turn + spread
    }

    fn is_alive(&self, address: &SocketAddr) -> bool {
        self.live_processes.iter().any(|process| process.address == *address)
    }
}
