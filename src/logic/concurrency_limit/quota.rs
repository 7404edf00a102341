//! Quota: this proxy's part of the attempts that all proxies may have in flight. Read
//! [`ProxyQuota`] first.

use super::{fleet_limit, INITIAL_NODE_LIMIT, MIN_LIMIT};
use crate::interface::Quota;
use crate::logic::endpoint_selection::SET_GROWTH_GAP;
use crate::state::Tier;
use crate::time::Timestamp;

/// This proxy's part of the fleet-wide limits, and the part under which its concurrency limits were
/// learned.
#[derive(Debug)]
pub(crate) struct ProxyQuota {
    /// The number of proxies that share the fleet, from the settings; used until the first quota
    /// arrives.
    group_size: u32,
    /// The current quota, if one has arrived.
    quota: Option<Quota>,
    /// The divisor at the time when the concurrency limits were last scaled; unused until the first
    /// quota arrives.
    learned_divisor: f64,
}

impl ProxyQuota {
    /// Creates the quota of one of `group_size` proxies with equal quotas.
    pub(crate) fn equal_share(group_size: u32) -> ProxyQuota {
        ProxyQuota { group_size, quota: None, learned_divisor: 1.0 }
    }

    /// Returns whether no quota has arrived yet, so that all proxies count as equal.
    pub(crate) fn is_equal_share(&self) -> bool {
        self.quota.is_none()
    }

    /// Sets the number of proxies that share the fleet.
    pub(crate) fn set_group_size(&mut self, group_size: u32) {
        self.group_size = group_size;
    }

    /// Decides the divisor by which this proxy's part is computed from a fleet-wide limit: the
    /// reciprocal of the fraction that this proxy may use.
    ///
    /// Inputs: the quota as a fraction of 1, or the number of proxies; the time now.
    /// Reason: the leased part beyond the guaranteed minimum expires without a message, and other
    /// proxies may use that part from then on. The result must therefore be computed at every use
    /// and never be stored.
    /// Source: leases (Gray and Cheriton, 1989).
    pub(crate) fn divisor(&self, now: Timestamp) -> f64 {
        match &self.quota {
            None => f64::from(self.group_size.max(1)),
            Some(quota) if now < quota.expires_at => 1.0 / quota.fraction,
            Some(quota) => 1.0 / quota.guaranteed,
        }
    }

    /// Decides whether this proxy's quota is small: its part of a node's initial limit is below
    /// [`SET_GROWTH_GAP`].
    ///
    /// Inputs: the result of [`ProxyQuota::divisor`]; the time now.
    /// Reason: such a proxy, one of more than eight equal ones, never sees a load gap that would
    /// grow an endpoint set, and its concurrency limits have no room to decrease. Instead it
    /// spreads hot keys by their request frequency and sheds requests with a probability.
    pub(crate) fn is_small(&self, now: Timestamp) -> bool {
        INITIAL_NODE_LIMIT < SET_GROWTH_GAP * self.divisor(now)
    }

    /// Replaces the quota. Returns the factor by which the caller must scale the limits that were
    /// learned under the old quota.
    pub(crate) fn replace(&mut self, quota: Quota, now: Timestamp) -> f64 {
        let before = if self.is_equal_share() { self.divisor(now) } else { self.learned_divisor };
        self.quota = Some(quota);
        self.learned_divisor = self.divisor(now);
        before / self.learned_divisor
    }

    /// Returns how many attempts a learned limit allows in flight now, capped at this proxy's part
    /// of the fleet-wide limit. A result below 1 means that the backend gets no attempt.
    pub(crate) fn allowed_attempts(&self, limit: f64, tier: Tier, now: Timestamp) -> f64 {
        let Some(quota) = &self.quota else { return limit };
        let divisor = self.divisor(now);
        let scaled = (limit * self.learned_divisor / divisor).max(MIN_LIMIT);
        scaled.min(fleet_limit(quota.fleet_limits, tier) / divisor)
    }
}
