//! What this process holds by lease.

use crate::message::{LeaseGrant, LeaseRequest};
use crate::{Parts, Time};

/// A lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    /// How much.
    pub part: Parts,
    /// When it ends, by this process's own clock.
    pub until: Time,
    /// When it was asked for.
    pub(crate) since: Time,
}

impl Lease {
    /// What may be used of it now. Danger: to be asked at every use. A process that was stopped wakes with a lease that
    /// others have got meanwhile.
    pub fn at(&self, now: Time) -> Parts {
        if now < self.until {
            self.part
        } else {
            0
        }
    }

    pub(crate) fn want(&self, now: Time) -> LeaseRequest {
        LeaseRequest { at: now, holds: self.at(now), since: self.since }
    }

    /// Takes what was leased; whether it does. Danger: a lease counts from when it was asked for, not from when word of it
    /// came; and one that was asked for earlier must not undo a later, smaller one.
    pub(crate) fn take(&mut self, grant: &LeaseGrant, longest: Time) -> bool {
        let is_later = grant.want_at > self.since;
        if is_later {
            *self = Lease {
                part: grant.part,
                until: grant.want_at + grant.lasts.min(longest),
                since: grant.want_at,
            };
        }
        is_later
    }
}
