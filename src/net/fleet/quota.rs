//! [`QuotaDriver`]: the driver of `pinetrail-quota` at an active member. It passes quota messages
//! to and from the membership, and converts parts per billion to fractions.

use super::operator_view::{
    quota_counters_by_name, quota_log_line, sum_quota_counters, QuotaStatus, QUOTA_SETTINGS_MISMATCH_LINE,
};
use crate::interface::FleetLimits;
use crate::net::log::log;
use pinetrail_clock::{whole_millis, Timestamp};
use pinetrail_config::QuotaConfig;
use pinetrail_membership::{Membership, Output as MembershipOutput};
use pinetrail_quota::{
    decode, encode, DecodeError, Output, Parts, Process, QuotaCounters, QuotaEvent, QuotaLeases, TOTAL_PARTS,
};

/// The quota of this process, before its division with another process of the proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LocalQuota {
    /// The usable fraction of the limits until `expires_at`: the guaranteed minimum plus the lease.
    pub fraction: f64,
    /// The time at which the lease expires, on the fleet's clock.
    pub expires_at: Timestamp,
    /// The usable fraction from `expires_at` on: the guaranteed minimum.
    pub guaranteed: f64,
    /// The fleet's limits, to which the fractions apply.
    pub limits: FleetLimits,
}

impl LocalQuota {
    /// Returns the quota of a process that holds no lease.
    pub(super) fn guaranteed_minimum(config: &QuotaConfig) -> LocalQuota {
        let guaranteed = fraction(config.settings.guaranteed_minimum());
        LocalQuota { fraction: guaranteed, expires_at: Timestamp::ZERO, guaranteed, limits: config.limits }
    }
}

/// The leases of this process, with the state for the exchange of quota messages.
pub(super) struct QuotaDriver {
    config: QuotaConfig,
    leases: QuotaLeases,
    local: Process,
    /// Whether the mismatch of another member's quota settings has been logged.
    settings_mismatch_logged: bool,
    /// The number of messages that could not be decoded.
    rejected_messages: u64,
    /// The summed counters of earlier identities of this member, before its last rejoin.
    earlier_counters: QuotaCounters,
}

impl QuotaDriver {
    /// Creates the driver of a process that has only its guaranteed minimum.
    ///
    /// # Panics
    ///
    /// Panics if the settings are invalid; the configuration rejects such settings before.
    pub(super) fn new(config: QuotaConfig, membership: &Membership, now: Timestamp) -> QuotaDriver {
        let local = local_process(membership);
        let leases = QuotaLeases::new(config.settings.clone(), local, now)
            .expect("the configuration has validated the quota settings");
        QuotaDriver {
            config,
            leases,
            local,
            settings_mismatch_logged: false,
            rejected_messages: 0,
            earlier_counters: QuotaCounters::default(),
        }
    }

    /// Returns the time by which [`QuotaDriver::handle_timeout`] has to be called next.
    pub(super) fn next_timeout(&self) -> Timestamp {
        self.leases.next_timeout()
    }

    /// Handles the timeouts that are due; returns the new quota if it has changed.
    ///
    /// Updates the live processes from the membership first. If the member has rejoined with a new
    /// identity since the last call, the quota restarts with it.
    pub(super) fn handle_timeout(
        &mut self,
        now: Timestamp,
        membership: &mut Membership,
        out: &mut Vec<MembershipOutput>,
    ) -> Option<LocalQuota> {
        if local_process(membership) != self.local {
            self.restart(now, membership);
        }
        let live = membership.live_peers().map(|(address, start)| Process { address, start });
        self.leases.set_live_processes(live);
        let mut outputs = Vec::new();
        self.leases.handle_timeout(now, &mut outputs);
        self.apply(now, outputs, membership, out)
    }

    /// Restarts the quota with the member's new identity, which holds no lease; keeps the counters.
    fn restart(&mut self, now: Timestamp, membership: &Membership) {
        let earlier_counters = sum_quota_counters(self.earlier_counters, self.leases.counters());
        let restarted = QuotaDriver::new(self.config.clone(), membership, now);
        *self = QuotaDriver { earlier_counters, ..restarted };
    }

    /// Marks this process as shutting down soon, so that later views replace it as a voter.
    pub(super) fn leave(&mut self) {
        self.leases.begin_shutdown();
    }

    /// Handles a quota message from another member; returns the new quota if it has changed. Counts
    /// and drops messages that cannot be decoded.
    pub(super) fn handle_message(
        &mut self,
        now: Timestamp,
        bytes: &[u8],
        membership: &mut Membership,
        out: &mut Vec<MembershipOutput>,
    ) -> Option<LocalQuota> {
        let message = match decode(&self.config.settings, bytes) {
            Ok(message) => message,
            Err(error) => {
                self.rejected_messages += 1;
                if error == DecodeError::SettingsMismatch {
                    self.log_settings_mismatch();
                }
                return None;
            }
        };
        let mut outputs = Vec::new();
        self.leases.handle_message(now, &message, &mut outputs);
        self.apply(now, outputs, membership, out)
    }

    /// Logs, only once, that another member has different quota settings, which operators have to
    /// correct.
    fn log_settings_mismatch(&mut self) {
        if !self.settings_mismatch_logged {
            self.settings_mismatch_logged = true;
            log(&format!("fleet: {QUOTA_SETTINGS_MISMATCH_LINE}"));
        }
    }

    /// Returns the present quota.
    pub(super) fn local_quota(&self, now: Timestamp) -> LocalQuota {
        let lease = self.leases.lease();
        let guaranteed = self.leases.guaranteed_minimum();
        LocalQuota {
            fraction: fraction(guaranteed + lease.parts_at(now)),
            expires_at: lease.expires_at,
            guaranteed: fraction(guaranteed),
            limits: self.config.limits,
        }
    }

    /// Returns the quota as operators see it.
    pub(super) fn status(&self, now: Timestamp) -> QuotaStatus {
        let lease_left = self.leases.lease().expires_at.saturating_duration_since(now);
        QuotaStatus {
            fraction: fraction(self.leases.usable_parts(now)),
            guaranteed: fraction(self.leases.guaranteed_minimum()),
            lease_ms: whole_millis(lease_left),
            view: self.leases.view_number(),
            is_leader: self.leases.is_leader(now),
        }
    }

    /// Returns whether this process is the quota leader now.
    pub(super) fn is_leader(&self, now: Timestamp) -> bool {
        self.leases.is_leader(now)
    }

    /// Returns the counters, by their names in `stats`.
    pub(super) fn counters(&self) -> Vec<(&'static str, u64)> {
        let counters = sum_quota_counters(self.earlier_counters, self.leases.counters());
        quota_counters_by_name(&counters, self.rejected_messages)
    }

    /// Sends quota messages and logs quota events; returns the new quota if it has changed.
    fn apply(
        &self,
        now: Timestamp,
        outputs: Vec<Output>,
        membership: &mut Membership,
        out: &mut Vec<MembershipOutput>,
    ) -> Option<LocalQuota> {
        let mut has_changed = false;
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    membership.send_quota_message(to, &encode(&self.config.settings, &message), out);
                }
                Output::Event(event) => {
                    has_changed |= changes_quota(&event);
                    if let Some(line) = quota_log_line(&event) {
                        log(&format!("fleet: {line}"));
                    }
                }
            }
        }
        has_changed.then(|| self.local_quota(now))
    }
}

fn local_process(membership: &Membership) -> Process {
    let id = membership.local_id();
    Process { address: id.address, start: id.start }
}

fn fraction(parts: Parts) -> f64 {
    parts as f64 / TOTAL_PARTS as f64
}

fn changes_quota(event: &QuotaEvent) -> bool {
    matches!(event, QuotaEvent::LeaseGranted(_) | QuotaEvent::LeaseExpired)
}
