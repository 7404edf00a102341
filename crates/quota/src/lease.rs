//! [`Lease`]: what this process holds by lease.

use crate::message::{LeaseGrant, LeaseRequest};
use crate::{Parts, Time};

/// A lease, as its holder knows it (Gray and Cheriton 1989).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The leased parts.
    pub parts: Parts,
    /// When it expires, in ms of this process's clock.
    pub expires_at: Time,
    /// When it was requested, by the same clock.
    pub(crate) requested_at: Time,
}

impl Lease {
    /// The parts that may be used by this lease now. Danger: to be asked at every use. A process
    /// that was stopped wakes with a lease that others have got meanwhile.
    pub fn parts_at(&self, now: Time) -> Parts {
        if now < self.expires_at {
            self.parts
        } else {
            0
        }
    }

    /// A request to go on holding it.
    pub(crate) fn to_request(self, now: Time) -> LeaseRequest {
        LeaseRequest { sent_at: now, held_parts: self.parts_at(now), held_since: self.requested_at }
    }

    /// Replaces it by what was granted; returns whether it did.
    ///
    /// Danger: a lease counts from when it was requested, not from when the grant arrived; and the
    /// grant for an earlier request must not undo a later, smaller one.
    pub(crate) fn replace_with(&mut self, grant: &LeaseGrant, longest: Time) -> bool {
        if grant.request_sent_at <= self.requested_at {
            return false;
        }
        self.parts = grant.parts;
        self.expires_at = grant.request_sent_at + grant.duration.min(longest);
        self.requested_at = grant.request_sent_at;
        true
    }
}
