//! The lease of a holder: [`Lease`], and [`LeaseState`] with its transitions.

use crate::message::{LeaseGrant, LeaseRequest, RequestTime};
use crate::Parts;
use pinetrail_clock::Timestamp;
use std::time::Duration;

/// A lease of quota, with timestamps of the holder's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The leased parts, in parts per billion.
    pub parts: Parts,
    /// The time at which the lease expires.
    pub expires_at: Timestamp,
    /// The time at which the holder requested the lease.
    pub(crate) requested_at: Timestamp,
}

impl Lease {
    /// Returns the leased parts that the holder may use at a point in time; 0 after the expiry of
    /// the lease.
    ///
    /// Inputs: the time now and the expiry, both of the holder's clock; the leased parts.
    /// Reason: a process that was paused resumes with a lease whose parts may have been granted to
    /// another, so the holder must evaluate the lease at every use.
    /// Source: Gray and Cheriton 1989.
    pub fn parts_at(&self, now: Timestamp) -> Parts {
        if now < self.expires_at {
            self.parts
        } else {
            0
        }
    }
}

/// The state of the lease of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LeaseState {
    /// No lease was granted to this process yet.
    NeverGranted,
    /// This process holds a lease whose expiry [`LeaseState::expire`] has not recorded yet.
    Active(Lease),
    /// The last lease of this process has expired, perhaps before its grant arrived.
    Expired(Lease),
}

impl LeaseState {
    /// Returns the lease that was granted last; a lease of 0 parts if none was granted.
    pub(crate) fn last_lease(self) -> Lease {
        match self {
            LeaseState::NeverGranted => Lease::default(),
            LeaseState::Active(lease) | LeaseState::Expired(lease) => lease,
        }
    }

    /// Returns the time from which [`LeaseState::expire`] has an effect; `None` if no lease is
    /// active.
    pub(crate) fn expires_at(self) -> Option<Timestamp> {
        match self {
            LeaseState::Active(lease) => Some(lease.expires_at),
            LeaseState::NeverGranted | LeaseState::Expired(_) => None,
        }
    }

    /// Returns a request to renew the lease, sent now.
    pub(crate) fn renewal_request(self, now: Timestamp) -> LeaseRequest {
        let lease = self.last_lease();
        LeaseRequest {
            sent_at: RequestTime::at(now),
            held_parts: lease.parts_at(now),
            held_since: RequestTime::at(lease.requested_at),
        }
    }

    /// Decides whether a grant replaces the present lease, and when the new one expires. Applies
    /// such a grant, and returns whether it was applied.
    ///
    /// Inputs: the time now, the time at which the request was sent and the duration, all by the
    /// holder's clock; the longest duration that the settings permit.
    /// Reason: the lease lasts from the sending of its request, since the grant may arrive late. A
    /// late grant for an earlier request must not undo a later grant of fewer parts.
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

    /// Decides whether an active lease has expired and records the expiry. Returns whether the
    /// lease has expired since the last call.
    ///
    /// Inputs: the time now and the expiry, both of the holder's clock.
    /// Reason: the rest of the program must be notified once that only the guaranteed minimum
    /// remains.
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
