//! Quota: this proxy's part of what all proxies may have in flight. Read [`ProxyQuota`] first.

use super::{fleet_limit, INITIAL_NODE_LIMIT, MIN_LIMIT};
use crate::interface::Quota;
use crate::logic::endpoint_selection::SET_GROWTH_GAP;
use crate::state::Tier;
use crate::time::Timestamp;

/// This proxy's part of the fleet's limits, and the part with which its limits were learned.
#[derive(Debug)]
pub(crate) struct ProxyQuota {
    /// How many proxies share the fleet, by the settings; what holds before there is a quota.
    group_size: u32,
    /// The quota, once there is one.
    quota: Option<Quota>,
    /// How many quotas like this proxy's made the whole when its limits were last scaled; it has no
    /// meaning before there is a quota.
    learned_divisor: f64,
}

impl ProxyQuota {
    /// The quota of one of `group_size` equal proxies.
    pub(crate) fn equal_share(group_size: u32) -> ProxyQuota {
        ProxyQuota { group_size, quota: None, learned_divisor: 1.0 }
    }

    /// Whether it is still that of one of a number of equal proxies.
    pub(crate) fn is_equal_share(&self) -> bool {
        self.quota.is_none()
    }

    /// Takes over how many proxies share the fleet.
    pub(crate) fn set_group_size(&mut self, group_size: u32) {
        self.group_size = group_size;
    }

    /// Decides: how many quotas like this proxy's make the whole.
    /// Inputs: the quota as a fraction of 1, or the number of proxies; the time now.
    /// Reason: what is held beyond the guaranteed minimum expires by itself, and other proxies have
    /// it from then on. Note: it must be asked at every use, never stored.
    /// Source: leases (Gray and Cheriton, 1989).
    pub(crate) fn divisor(&self, now: Timestamp) -> f64 {
        match &self.quota {
            None => f64::from(self.group_size.max(1)),
            Some(quota) if now < quota.expires_at => 1.0 / quota.fraction,
            Some(quota) => 1.0 / quota.guaranteed,
        }
    }

    /// Decides: whether this proxy's part of a node's first limit is below [`SET_GROWTH_GAP`].
    /// Inputs: the number of quotas that make the whole; the time now.
    /// Reason: such a proxy, one of more than eight equal ones, can see no load gap that would grow a
    /// set, and has no concurrency limit that could decrease; it spreads hot keys by their frequency and sheds by probability.
    pub(crate) fn is_small(&self, now: Timestamp) -> bool {
        INITIAL_NODE_LIMIT < SET_GROWTH_GAP * self.divisor(now)
    }

    /// Replaces the quota. Returns the factor by which limits learned with the one before are to be
    /// scaled.
    pub(crate) fn replace(&mut self, quota: Quota, now: Timestamp) -> f64 {
        let before = if self.is_equal_share() { self.divisor(now) } else { self.learned_divisor };
        self.quota = Some(quota);
        self.learned_divisor = self.divisor(now);
        before / self.learned_divisor
    }

    /// How many attempts a learned limit allows in flight now, within this proxy's part of what all
    /// proxies together may have. Below 1 the backend gets no attempt.
    pub(crate) fn allowed_attempts(&self, limit: f64, tier: Tier, now: Timestamp) -> f64 {
        let Some(quota) = &self.quota else { return limit };
        let divisor = self.divisor(now);
        let scaled = (limit * self.learned_divisor / divisor).max(MIN_LIMIT);
        scaled.min(fleet_limit(quota.fleet_limits, tier) / divisor)
    }
}
