//! The simulated proxy of a host: which version is active there.

use super::host::now_ms;
use super::lock;
use super::run_checker::RunChecker;
use pinetrail_policy_consensus::{PolicyApplier, PolicyRejected};
use std::sync::{Mutex, MutexGuard};

/// What a policy begins with that one host rejects; the number of the host follows.
const REJECTED_AT: &str = "bad at ";

/// The text of a policy that every host can make active.
pub(super) fn good_policy(unique: u32) -> String {
    format!("rules {unique}")
}

/// The text of a policy that this host rejects.
pub(super) fn rejected_policy(host: usize, unique: u32) -> String {
    format!("{REJECTED_AT}{host} {unique}")
}

/// Whether this host rejects a policy.
pub(super) fn is_rejected_at(text: &str, host: usize) -> bool {
    let rejecting_host = text.strip_prefix(REJECTED_AT).and_then(|rest| rest.split(' ').next());
    rejecting_host.is_some_and(|rejecting| rejecting == host.to_string())
}

/// The proxy of a host.
pub(super) struct SimulatedProxy {
    host: usize,
    /// Guards the active version; held while a request is admitted under it.
    active_version: Mutex<u64>,
    checker: RunChecker,
}

impl SimulatedProxy {
    /// A proxy without an active version.
    pub(super) fn new(host: usize, checker: RunChecker) -> SimulatedProxy {
        SimulatedProxy { host, active_version: Mutex::new(0), checker }
    }

    /// The active version, which does not change while the guard lives.
    pub(super) fn active_version(&self) -> MutexGuard<'_, u64> {
        lock(&self.active_version)
    }
}

impl PolicyApplier for SimulatedProxy {
    fn validate(&self, text: &str) -> Result<(), PolicyRejected> {
        if is_rejected_at(text, self.host) {
            return Err(PolicyRejected::new("it does not suit"));
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
