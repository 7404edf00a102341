//! Applies settings, the fleet's policy and the proxy's quota, and admits requests under an
//! admission lease. Read [`Dispatcher::apply_settings`] first, then [`Dispatcher::admission`].

use super::state::DispatcherState;
use super::Dispatcher;
use crate::interface::{Event, ListForm, Quota};
use crate::net::time_limits::write_delay;
use crate::settings::Settings;
use pinetrail_config::Names;
use pinetrail_policy_consensus::{Admission, AdmissionLease};
use std::sync::{Arc, MutexGuard};
use std::time::Instant;

impl Dispatcher {
    /// Returns the names in the active settings.
    pub fn names(&self) -> Arc<Names> {
        Arc::clone(&self.lock().names)
    }

    /// Calls `read` with the active settings and names.
    ///
    /// Invariant: `read` runs while the dispatcher's lock is held, and neither waits nor calls the
    /// dispatcher.
    pub fn with_active_settings<T>(&self, read: impl FnOnce(&Settings, &Names) -> T) -> T {
        let state = self.lock();
        read(state.balancer.settings(), &state.names)
    }

    /// Requires `lease` for the admission of requests. Only the first call has an effect.
    pub fn set_admission_lease(&self, lease: Arc<AdmissionLease>) {
        let _ = self.lease.set(lease);
    }

    /// Returns whether requests are admitted only under a lease.
    pub fn requires_lease(&self) -> bool {
        self.lease.get().is_some()
    }

    /// Returns whether this process lacks a required admission lease and rejects requests.
    pub fn is_fenced(&self) -> bool {
        self.requires_lease()
            && matches!(self.admission(self.lock().policy_version), Admission::Reject { .. })
    }

    /// Returns the admission of a request that was parsed with this version of the names; `None` if
    /// the request must be parsed again.
    pub fn admission_for(&self, version: u64) -> Option<Admission> {
        let state = self.lock();
        if state.names.version == version {
            Some(self.admission(state.policy_version))
        } else {
            None
        }
    }

    /// Decides whether a request under a policy version is admitted, waits for a policy change, or
    /// is rejected with a retry-after. Without a fleet policy every request is admitted.
    ///
    /// Inputs: the policy version of the active settings, the admission lease, and the current time
    /// on the monotonic clock.
    /// Reason: no process may serve under an old policy after the fleet has agreed on a new one.
    /// Source: docs/policy-design.md.
    ///
    /// Invariant: a request's admission is decided when it is submitted, while the lock on the
    /// active settings is held.
    pub(super) fn admission(&self, policy_version: u64) -> Admission {
        match self.lease.get() {
            Some(lease) => lease.admission(policy_version, tokio::time::Instant::now()),
            None => Admission::Admit,
        }
    }

    /// Activates a version of the fleet's policy, like [`Dispatcher::apply_settings`].
    pub fn apply_policy(self: &Arc<Self>, version: u64, settings: Settings, names: Names) {
        let mut state = self.lock();
        state.policy_version = version;
        self.activate(state, settings, names);
    }

    /// Activates settings and their names in one step. Open requests keep the settings with which
    /// they were submitted.
    pub fn apply_settings(self: &Arc<Self>, settings: Settings, names: Names) {
        self.activate(self.lock(), settings, names);
    }

    fn activate(
        self: &Arc<Self>,
        mut state: MutexGuard<'_, DispatcherState>,
        settings: Settings,
        mut names: Names,
    ) {
        state.origin_kind = settings.backend_kinds.origin_kind;
        state.balancer.apply_settings(Settings { write_delay: write_delay(), ..settings });
        names.version = state.names.version + 1;
        state.names = Arc::new(names);
        // Apply the list again, because the new settings may number kinds and zones differently.
        let listed = state.maintenance.all_listed();
        self.apply_list(state, ListForm::Delta, listed);
    }

    /// Applies the proxy's quota. The part above the guaranteed minimum expires at `expires`.
    ///
    /// Invariant: the expiry is a moment, not a duration. A process that is stopped before this
    /// call would count a duration from when it continues, and would use the lease for too long.
    pub fn apply_quota(self: &Arc<Self>, quota: Quota, expires: Instant) {
        let expires_at = self.clock.at(expires);
        self.handle_event(self.lock(), Event::Quota(Quota { expires_at, ..quota }));
    }
}
