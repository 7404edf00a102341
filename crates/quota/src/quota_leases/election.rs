//! Elections: when a process becomes a candidate, in which kind of election, and when it ends its
//! candidacy.

use super::QuotaLeases;
use crate::leader_term::{ElectionKind, LeaderTerm, Phase};
use crate::output::Output;
use pinetrail_clock::{whole_millis, Timestamp};
use std::net::SocketAddr;
use std::time::Duration;

/// The number of heartbeat periods for which a candidate waits for votes.
const CANDIDACY_TIMEOUT_HEARTBEATS: u32 = 4;
/// The number of lease durations without a leader after which a view may have lost its quorum.
const VIEW_LOSS_TIMEOUT_LEASES: u32 = 2;
/// The multiplier of a hash: 2^64 divided by the golden ratio, an odd number whose bits are mixed
/// well.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// The shift that leaves the upper half of a hash, whose bits are mixed best.
const HASH_SHIFT_BITS: u32 = 32;

impl QuotaLeases {
    /// Makes this process a candidate if the election time is reached, no other candidate has its
    /// vote, and the process is eligible.
    pub(super) fn start_election_if_due(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let election_time = self.election_time(self.voter.last_leader_contact.max(self.started_at));
        let next_heartbeat = now + self.settings.heartbeat_period;
        if now < election_time || !self.voter.can_vote_for_itself(now) {
            self.next_election_step = election_time.max(next_heartbeat);
            return;
        }
        match self.election_kind(now) {
            Some(kind) => {
                self.term = Some(LeaderTerm::new(self.local, now, &mut self.voter, kind));
                self.send_vote_requests(now, out);
            }
            None => self.next_election_step = next_heartbeat,
        }
    }

    /// Decides whether this process asks for votes in its view, or to found a new fleet. Returns
    /// the kind of election in which it may be a candidate; `None` if it is not eligible.
    ///
    /// Inputs: whether it is a founder and a voter; the time since the last contact with a leader
    /// (own clock); the elections that it has lost.
    /// Reason: a view that has lost its quorum never elects a leader again, so every other election
    /// is for a new fleet. The remaining elections are for a view that can still elect a leader.
    /// Source: docs/quota-design.md.
    fn election_kind(&self, now: Timestamp) -> Option<ElectionKind> {
        let is_founder = self.settings.is_founder(&self.local.address);
        let is_voter = self.voter.is_voter();
        let time_until_lost = self.settings.lease_duration * VIEW_LOSS_TIMEOUT_LEASES;
        let may_be_lost = now >= self.voter.last_leader_contact + time_until_lost;
        let tries_founding = may_be_lost && self.lost_elections % 2 == 1;
        if is_founder && (!is_voter || tries_founding) {
            Some(ElectionKind::Founding)
        } else if is_voter {
            Some(ElectionKind::InView)
        } else {
            None
        }
    }

    /// Returns the start of the next election at this process: the time at which it becomes a
    /// candidate if it has no contact with a leader after `since`.
    ///
    /// Inputs: the last contact with a leader or the end of the last election (own clock); its rank
    /// among the voters that are alive; the duration of a vote, the clock skew and the heartbeat
    /// period; its start and the elections that it has lost, which spread the candidates.
    /// Reason: simultaneous candidates would split the votes, so candidates start one after the
    /// other, and candidates that failed at the same time try again at different times.
    /// Source: PaxosLease (Trencseni, Gazso and Reinhardt 2012) for the wait until votes expire.
    pub(super) fn election_time(&self, since: Timestamp) -> Timestamp {
        let candidates: Vec<SocketAddr> = match &self.voter.view {
            Some(view) => view.voters.iter().map(|process| process.address).collect(),
            None => self.settings.founders.clone(),
        };
        let before = candidates.iter().take_while(|address| **address != self.local.address);
        let rank = before.filter(|address| self.is_alive(address)).count();
        let rank_delay = self.settings.heartbeat_period * (1 + rank as u32);
        let votes_expired_at = since + self.settings.with_skew(self.settings.vote_duration);
        votes_expired_at + rank_delay + self.election_jitter(rank as u64)
    }

    /// Returns a fraction of a heartbeat period that differs between processes and elections.
    fn election_jitter(&self, rank: u64) -> Duration {
        let seed = (self.local.start ^ rank).wrapping_add(self.lost_elections);
        let hash = seed.wrapping_mul(HASH_MULTIPLIER) >> HASH_SHIFT_BITS;
        Duration::from_millis(hash % whole_millis(self.settings.heartbeat_period))
    }

    fn is_alive(&self, address: &SocketAddr) -> bool {
        self.live_processes.iter().any(|process| process.address == *address)
    }

    /// Returns whether a candidate has waited for votes for [`CANDIDACY_TIMEOUT_HEARTBEATS`]
    /// without a quorum.
    pub(super) fn has_candidacy_timed_out(&self, term: &LeaderTerm, now: Timestamp) -> bool {
        let time_to_wait = self.settings.heartbeat_period * CANDIDACY_TIMEOUT_HEARTBEATS;
        term.phase == Phase::RequestingVotes && now >= term.started_at + time_to_wait
    }

    /// Ends the candidacy of this process as a lost election.
    pub(super) fn end_candidacy(&mut self, now: Timestamp) {
        self.term = None;
        self.lost_elections += 1;
        self.next_election_step = self.election_time(now);
    }

    /// Ends the candidacy of this process in favour of a candidate with a later ballot. The process
    /// may withdraw its vote for itself, since no other process counts that vote.
    pub(super) fn yield_to_later_candidate(&mut self, now: Timestamp) {
        self.voter.withdraw_own_vote();
        self.end_candidacy(now);
    }
}
