//! What this proxy may have in flight at a backend: its concurrency limit, within its quota.

use super::selection::SET_GROWTH_GAP;
use super::Balancer;
use crate::interface::{Member, Quota, Time};
use crate::state::BackendState;

const INITIAL_NODE_LIMIT: f64 = 32.0; // in flight at first, by all proxies together
const INITIAL_ORIGIN_LIMIT: f64 = 8.0;
const REST_MS: Time = 100.0; // of a backend at a limit of 1, after a decrease

impl Balancer {
    /// Whether this proxy's part of a node is under [`SET_GROWTH_GAP`]: then it can see no such
    /// gap, nor decrease a limit.
    pub(super) fn has_small_quota(&self) -> bool {
        INITIAL_NODE_LIMIT < SET_GROWTH_GAP * self.quota_divisor()
    }

    /// This proxy's part of what all together may have in flight at a backend at first.
    pub(super) fn initial_limit(&self, member: &Member) -> f64 {
        if self.is_origin(member) {
            f64::max(INITIAL_ORIGIN_LIMIT / self.quota_divisor(), 2.0)
        } else {
            f64::max(INITIAL_NODE_LIMIT / self.quota_divisor(), 1.0)
        }
    }

    /// How many quotas like this proxy's make the whole. Danger: to be asked at every use. What is
    /// held beyond the guaranteed minimum expires by itself, and others have it then.
    pub(super) fn quota_divisor(&self) -> f64 {
        let Some(quota) = &self.quota else { return f64::from(self.settings.group_size.max(1)) };
        1.0 / if self.now < quota.expires_at { quota.fraction } else { quota.guaranteed }
    }

    /// Scales the limits, which were learnt with the quota of before.
    pub(super) fn on_quota(&mut self, quota: Quota) {
        let before = if self.quota.is_some() { self.learnt_divisor } else { self.quota_divisor() };
        self.quota = Some(quota);
        self.learnt_divisor = self.quota_divisor();
        self.scale_limits(before / self.learnt_divisor);
    }

    /// Danger: quick rejections become a hammer. At a limit of 1 a backend rests after a decrease.
    pub(super) fn has_capacity(&self, backend: &BackendState) -> bool {
        let limit = backend.concurrency_limit;
        let is_rested = limit >= 2.0 || self.now - backend.last_decrease > REST_MS;
        let capacity = self.quota.map_or(limit, |quota| {
            let divisor = self.quota_divisor();
            let is_origin = self.is_origin(&backend.member);
            let all = if is_origin { quota.fleet_limits.origin } else { quota.fleet_limits.per_node };
            (limit * self.learnt_divisor / divisor).max(1.0).min(all / divisor)
        });
        is_rested && (backend.in_flight.len() as f64) < capacity.floor()
    }
}
