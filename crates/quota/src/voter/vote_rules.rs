//! The conditions under which a vote is granted: [`Voter::check_vote`].

use super::Voter;
use crate::message::VoteRequest;
use crate::settings::Settings;
use pinetrail_clock::Timestamp;

/// The reasons why a vote is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VoteRefusal {
    /// This process has promised a later ballot.
    LaterBallotPromised,
    /// Another candidate has the vote of this process.
    HeldByOtherCandidate,
    /// This process and the candidate know different views, or one of them knows none.
    ViewMismatch,
    /// This process is not a voter of the view.
    NotVoter,
    /// The candidate founds a fleet, of which this process is not a founder.
    NotFounder,
    /// The predecessor of this process at its address may have granted a vote that has not expired.
    PredecessorVoteMayBeActive,
    /// The candidate founds a fleet, but this process had contact with a leader within the last
    /// lease duration.
    RecentLeaderContact,
}

impl Voter {
    /// Decides whether this process grants its vote to a candidate, or why the vote is refused.
    ///
    /// Inputs: the time now (voter's clock); the request with its ballot and view; the promised
    /// ballot, the present vote and the known view; the durations of votes and leases.
    /// Reason: no other candidate may get a vote before it expires, so that there is at most one
    /// leader at a time.
    /// Source: PaxosLease (Trencseni, Gazso and Reinhardt 2012); Paxos, phase 1b (Lamport 1998).
    pub(super) fn check_vote(
        &self,
        now: Timestamp,
        request: &VoteRequest,
        settings: &Settings,
    ) -> Result<(), VoteRefusal> {
        if request.ballot < self.promised {
            return Err(VoteRefusal::LaterBallotPromised);
        }
        if self.vote.is_held_by_other(&request.ballot.proposer, now) {
            return Err(VoteRefusal::HeldByOtherCandidate);
        }
        if request.founding {
            return self.check_founding(now, settings);
        }
        match (&self.view, &request.view) {
            (Some(known), Some(asked)) if known.ballot == asked.ballot => {
                if self.is_voter() {
                    Ok(())
                } else {
                    Err(VoteRefusal::NotVoter)
                }
            }
            _ => Err(VoteRefusal::ViewMismatch),
        }
    }

    /// Decides whether this process may vote, as a founder, for the first view of a new fleet.
    ///
    /// Inputs: the time now, the start of this process and the last contact with a leader (voter's
    /// clock); the durations of votes and leases.
    /// Reason: the predecessor of this process at its address may have granted a vote that this
    /// process does not know, and a fleet that has a leader must not be replaced.
    /// Source: PaxosLease (a restarted acceptor waits for the longest vote).
    fn check_founding(&self, now: Timestamp, settings: &Settings) -> Result<(), VoteRefusal> {
        if !settings.is_founder(&self.local.address) {
            return Err(VoteRefusal::NotFounder);
        }
        if now < self.started_at + settings.with_skew(settings.vote_duration) {
            return Err(VoteRefusal::PredecessorVoteMayBeActive);
        }
        if self.view.is_some() && now < self.last_leader_contact + settings.lease_duration {
            return Err(VoteRefusal::RecentLeaderContact);
        }
        Ok(())
    }
}
