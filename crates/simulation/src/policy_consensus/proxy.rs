//! The simulated proxy of a host, which has the active version: [`SimulatedProxy`].

use super::policies::is_rejected_at;
use super::run_checker::RunChecker;
use super::shared::{lock, now_ms};
use pinetrail_policy_consensus::{PolicyApplier, PolicyRejected};
use std::sync::{Mutex, MutexGuard};

/// The proxy of a host, which validates and applies policies.
pub(super) struct SimulatedProxy {
    host: usize,
    /// The active version. Its lock is held while a request is admitted under this version.
    active_version: Mutex<u64>,
    checker: RunChecker,
}

impl SimulatedProxy {
    /// Creates a proxy without an active version.
    pub(super) fn new(host: usize, checker: RunChecker) -> SimulatedProxy {
        SimulatedProxy { host, active_version: Mutex::new(0), checker }
    }

    /// Returns the active version, which does not change while the guard lives.
    pub(super) fn active_version(&self) -> MutexGuard<'_, u64> {
        lock(&self.active_version)
    }
}

impl PolicyApplier for SimulatedProxy {
    fn validate(&self, text: &str) -> Result<(), PolicyRejected> {
        if is_rejected_at(text, self.host) {
            return Err(PolicyRejected::new("the plan makes this host reject the policy"));
        }
        Ok(())
    }

    fn apply(&self, version: u64, text: &str) {
        *lock(&self.active_version) = version;
        self.checker.record_text(version, text);
    }

    fn log(&self, line: &str) {
        self.checker.log(format!("{} n{}: {line}", now_ms(), self.host));
    }
}
