//! The state of a vote, with its transitions: [`Vote`].

use crate::settings::Settings;
use crate::view::Process;
use pinetrail_clock::Timestamp;

/// The vote of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Vote {
    /// No candidate has the vote.
    NotCast,
    /// A candidate has the vote until the vote expires.
    Cast {
        /// The candidate that has the vote.
        candidate: Process,
        /// The expiry of the vote, by the voter's clock.
        expires_at: Timestamp,
    },
}

impl Vote {
    /// Returns a vote that is cast now. Until the vote expires, this process votes for no other
    /// candidate.
    ///
    /// Inputs: the time now (voter's clock); the duration of a vote and the clock skew.
    /// Reason: the candidate counts the duration from the sending of its request, which was
    /// earlier. The clock skew is added because the voter's clock may be the faster one.
    /// Source: PaxosLease (Trencseni, Gazso and Reinhardt 2012).
    pub(super) fn new(now: Timestamp, candidate: Process, settings: &Settings) -> Vote {
        Vote::Cast { candidate, expires_at: now + settings.with_skew(settings.vote_duration) }
    }

    /// Returns whether another candidate than `candidate` has the vote now.
    pub(super) fn is_held_by_other(self, candidate: &Process, now: Timestamp) -> bool {
        match self {
            Vote::NotCast => false,
            Vote::Cast { candidate: holder, expires_at } => holder != *candidate && now < expires_at,
        }
    }

    /// Returns the vote after its withdrawal from `candidate`; unchanged if another candidate has
    /// the vote.
    pub(super) fn withdrawn_from(self, candidate: &Process) -> Vote {
        match self {
            Vote::Cast { candidate: holder, .. } if holder == *candidate => Vote::NotCast,
            Vote::Cast { .. } | Vote::NotCast => self,
        }
    }
}
