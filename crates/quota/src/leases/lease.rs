//! The holder's side: [`Lease`], and [`LeaseState`] with its transitions.

use crate::message::{LeaseGrant, LeaseRequest, RequestTime};
use crate::Parts;
use pinetrail_clock::Timestamp;
use std::time::Duration;

/// A lease, as its holder knows it. Timestamps are of the holder's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The leased parts.
    pub parts: Parts,
    /// When it expires.
    pub expires_at: Timestamp,
    /// When it was requested.
    pub(crate) requested_at: Timestamp,
}

impl Lease {
    /// The parts that this lease permits at a point in time.
    ///
    /// Decides: how many leased parts the holder may use.
    /// Inputs: the time now and the expiry, both of the holder's clock; the leased parts.
    /// Reason: a process that was paused resumes with a lease whose parts may have been granted to
    /// another, so this must be evaluated at every use.
    /// Source: Gray and Cheriton 1989.
    pub fn parts_at(&self, now: Timestamp) -> Parts {
        if now < self.expires_at {
            self.parts
        } else {
            0
        }
    }
}

/// What this process holds by lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LeaseState {
    /// No lease was granted to this process yet.
    NeverGranted,
    /// It holds a lease whose expiry was not noticed yet.
    Active(Lease),
    /// Its last lease has expired, or had expired before its grant arrived.
    Expired(Lease),
}

impl LeaseState {
    /// The lease that was granted last; one of no parts if none was.
    pub(crate) fn last_lease(self) -> Lease {
        match self {
            LeaseState::NeverGranted => Lease::default(),
            LeaseState::Active(lease) | LeaseState::Expired(lease) => lease,
        }
    }

    /// When [`LeaseState::expire`] has an effect; none if it has none any more.
    pub(crate) fn expires_at(self) -> Option<Timestamp> {
        match self {
            LeaseState::Active(lease) => Some(lease.expires_at),
            LeaseState::NeverGranted | LeaseState::Expired(_) => None,
        }
    }

    /// A request to renew the lease.
    pub(crate) fn renewal_request(self, now: Timestamp) -> LeaseRequest {
        let lease = self.last_lease();
        LeaseRequest {
            sent_at: RequestTime::at(now),
            held_parts: lease.parts_at(now),
            held_since: RequestTime::at(lease.requested_at),
        }
    }

    /// Replaces the lease by what was granted; returns whether the grant had an effect.
    ///
    /// Decides: whether a grant replaces the present lease, and when the new one expires.
    /// Inputs: the time now, the time at which the request was sent and the duration, all by the
    /// holder's clock; the longest duration that the settings permit.
    /// Reason: the lease lasts from the sending of its request, since the arrival of the grant may
    /// be delayed; and a late grant for an earlier request must not undo a later, smaller one.
    /// Source: Gray and Cheriton 1989.
    pub(crate) fn renew(&mut self, now: Timestamp, grant: &LeaseGrant, max_duration: Duration) -> bool {
        let requested_at = grant.request_sent_at.local_timestamp();
        if requested_at <= self.last_lease().requested_at {
            return false;
        }
        let lease = Lease {
            parts: grant.parts,
            expires_at: requested_at + grant.duration.min(max_duration),
            requested_at,
        };
        *self = if lease.parts_at(now) > 0 { LeaseState::Active(lease) } else { LeaseState::Expired(lease) };
        true
    }

    /// Takes note that the lease has expired; returns whether it did since the last call.
    ///
    /// Decides: whether an active lease has expired.
    /// Inputs: the time now and the expiry, both of the holder's clock.
    /// Reason: the rest of the program must learn once that only the guaranteed minimum remains.
    /// Source: Gray and Cheriton 1989.
    pub(crate) fn expire(&mut self, now: Timestamp) -> bool {
        let LeaseState::Active(lease) = *self else { return false };
        let has_expired = lease.parts_at(now) == 0;
        if has_expired {
            *self = LeaseState::Expired(lease);
        }
        has_expired
    }
}
