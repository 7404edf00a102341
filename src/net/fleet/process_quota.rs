//! [`ProcessQuota`]: the quota of this process, as the decision module receives it.
//!
//! While two processes of one proxy serve during a hot restart, they share one guaranteed minimum,
//! and only the active member of the two has a lease. [`Fleet::fraction_of_second_process`] divides
//! the minimum.

use super::quota::LocalQuota;
use super::{Fleet, MemberActivity};
use crate::interface::FleetLimits;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The number of processes of one proxy that serve during a hot restart.
const PROCESSES_IN_HOT_RESTART: f64 = 2.0;

/// The quota of this process: its fraction of the fleet's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessQuota {
    /// The usable fraction until `expires_at`: the guaranteed minimum plus the lease.
    pub fraction: f64,
    /// The time at which the lease expires.
    pub expires_at: Instant,
    /// The usable fraction from `expires_at` on: the guaranteed minimum.
    pub guaranteed: f64,
    /// The fleet's limits, to which the fractions apply.
    pub limits: FleetLimits,
}

/// A handler of each new quota of this process.
pub type QuotaHandler = Box<dyn Fn(ProcessQuota) + Send + Sync>;

/// Whether another process of this proxy serves at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecondProcess {
    /// Only this process serves.
    None,
    /// Both processes serve: a hot restart is under way.
    Serving,
}

impl Fleet {
    /// Sets whether another process of this proxy is serving, and publishes the changed quota if
    /// this process is active.
    pub fn set_second_process(&self, second_process: SecondProcess) {
        self.shares_minimum.store(second_process == SecondProcess::Serving, Ordering::Release);
        let now = self.now();
        if let MemberActivity::Active(member) = &*self.activity() {
            if let Some(quota) = &member.quota {
                self.publish_quota(quota.local_quota(now));
            }
        }
    }

    /// Publishes the guaranteed minimum as the quota, which a process has until it holds a lease.
    pub(super) fn publish_guaranteed_minimum(&self) {
        if let Some(config) = &self.config().quota {
            self.publish_quota(LocalQuota::guaranteed_minimum(config));
        }
    }

    /// Passes a quota to the decision module.
    ///
    /// Invariant: called with `activity` locked, or before other threads have access to this
    /// [`Fleet`], so that an older quota is never published after a newer one.
    pub(super) fn publish_quota(&self, quota: LocalQuota) {
        let second_process_fraction = self.fraction_of_second_process(quota.guaranteed);
        (self.quota_handler)(ProcessQuota {
            fraction: quota.fraction - second_process_fraction,
            expires_at: self.started_at + Duration::from_millis(quota.expires_at.as_millis()),
            guaranteed: quota.guaranteed - second_process_fraction,
            limits: quota.limits,
        });
    }

    /// Decides how two processes of one proxy divide the guaranteed minimum. Returns the other
    /// process's part, as a fraction of the fleet's limits.
    ///
    /// Inputs: the guaranteed minimum, as a fraction of the fleet's limits; whether both serve.
    /// Reason: the fleet counts one process for each proxy, so both together may use only one
    /// minimum.
    /// Source: docs/quota-design.md.
    pub(super) fn fraction_of_second_process(&self, guaranteed: f64) -> f64 {
        if self.shares_minimum.load(Ordering::Acquire) {
            guaranteed / PROCESSES_IN_HOT_RESTART
        } else {
            0.0
        }
    }
}
