//! The view changes of a [`LeaderTerm`]: which view is proposed, and when a proposed view is
//! decided. The voters decide on their successors by the consensus itself (Lamport 1998, section
//! 3.2).

use super::LeaderTerm;
use crate::settings::Settings;
use crate::view::{Process, View};
use crate::voter::Voter;
use pinetrail_clock::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The number of heartbeat periods after which a voter without a valid vote is left out of the next
/// view.
const VOTE_TIMEOUT_HEARTBEATS: u32 = 2;

impl LeaderTerm {
    /// Returns the first proposal of a term: the view that must be decided before this process
    /// leads; `None` if there is none.
    ///
    /// Inputs: the view that voters accepted in the latest earlier ballot; the valid votes, by the
    /// time now (own clock); the highest view number that was seen.
    /// Reason: a view of an earlier leader may have been decided without that leader's knowledge,
    /// so the view is proposed again. When a fleet is founded, such a view is void, since the
    /// voters that accepted it leave it for the new fleet.
    /// Source: Paxos, phase 2a (Lamport 1998).
    pub(super) fn initial_proposal(&mut self, now: Timestamp, highest_view_number: u64) -> Option<View> {
        let undecided = self.undecided.take();
        if self.view.is_some() {
            return undecided.map(|accepted| accepted.view);
        }
        let valid_votes = self.votes.iter().filter(|(_, expires_at)| now < **expires_at);
        let voters = valid_votes.map(|(process, _)| *process).collect();
        Some(View { ballot: self.ballot, number: highest_view_number + 1, voters })
    }

    /// Adopts the proposed view as decided if a quorum has accepted it.
    ///
    /// Inputs: the voters that have accepted it, their addresses, the size of a quorum.
    /// Reason: a process and its successor at the same address count as one voter.
    /// Source: Paxos, phase 2b (Lamport 1998).
    pub(super) fn decide_if_accepted(&mut self, now: Timestamp, voter: &mut Voter, settings: &Settings) {
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

    /// Decides which processes are voters of the next view: proposes a view of these voters, if it
    /// differs from the present view and has enough voters for a quorum.
    ///
    /// Inputs: the processes that may vote; the votes that have not expired and the time since the
    /// last view was decided (own clock); the processes that shut down; the heartbeat period.
    /// Reason: a voter that does not respond must be replaced before the failure of another voter
    /// costs the quorum.
    /// Source: Lamport 1998, section 3.2.
    pub(crate) fn propose_voters(
        &mut self,
        now: Timestamp,
        mut voters: Vec<Process>,
        voter: &mut Voter,
        settings: &Settings,
    ) {
        let Some(view) = &self.view else { return };
        if now >= self.view_decided_at + settings.heartbeat_period * VOTE_TIMEOUT_HEARTBEATS {
            let has_voted =
                |process: &Process| self.votes.get(process).is_some_and(|expires_at| now < *expires_at);
            voters.retain(|process| !view.is_voter(process) || has_voted(process));
        }
        voters.retain(|process| !self.leaving.contains(process));
        voters.sort();
        let is_useful = voters != view.voters && voters.len() >= settings.min_quorum();
        if is_useful && self.is_leading(now) && self.proposed_view.is_none() {
            self.begin_ballot(voter);
            let number = voter.highest_view_number + 1;
            self.proposed_view = Some(View { ballot: self.ballot, number, voters });
        }
    }
}
