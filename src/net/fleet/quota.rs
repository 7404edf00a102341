//! [`QuotaDriver`]: drives the quota of an active member. It passes messages between
//! `pinetrail-quota` and the membership, and converts parts per billion to fractions.

use super::operator_view::{
    quota_counters_by_name, quota_log_line, sum_quota_counters, QuotaStatus, QUOTA_SETTINGS_MISMATCH_LINE,
};
use crate::interface::FleetLimits;
use crate::net::log::log;
use pinetrail_clock::{whole_millis, Timestamp};
use pinetrail_config::QuotaConfig;
use pinetrail_membership::{Membership, Output as MembershipOutput};
use pinetrail_quota::{
    decode, encode, DecodeError, Output, Parts, Process, QuotaCounters, QuotaEvent, QuotaLeases, WHOLE_PARTS,
};

/// The quota of this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LocalQuota {
    /// The fraction of the limits that it may use until `expires_at`.
    pub fraction: f64,
    /// When its lease expires, by the fleet's clock.
    pub expires_at: Timestamp,
    /// The fraction that it may use from then on.
    pub guaranteed: f64,
    /// The limits of which these are fractions.
    pub limits: FleetLimits,
}

impl LocalQuota {
    /// The quota of a process that holds no lease.
    pub(super) fn guaranteed_minimum(config: &QuotaConfig) -> LocalQuota {
        let guaranteed = fraction(config.settings.guaranteed_minimum());
        LocalQuota { fraction: guaranteed, expires_at: Timestamp::ZERO, guaranteed, limits: config.limits }
    }
}

/// The quota of one process.
pub(super) struct QuotaDriver {
    config: QuotaConfig,
    leases: QuotaLeases,
    local: Process,
    /// Whether the log has the line about a member with other settings.
    settings_mismatch_logged: bool,
    /// Messages that could not be decoded.
    rejected_messages: u64,
    /// The counters of processes that had this name before.
    earlier_counters: QuotaCounters,
}

impl QuotaDriver {
    /// A process that has its guaranteed minimum.
    ///
    /// # Panics
    ///
    /// If the settings are invalid, which the configuration has checked.
    pub(super) fn new(config: QuotaConfig, membership: &Membership, now: Timestamp) -> QuotaDriver {
        let local = local_process(membership);
        let leases = QuotaLeases::new(config.settings.clone(), local, now).expect("settings were checked");
        QuotaDriver {
            config,
            leases,
            local,
            settings_mismatch_logged: false,
            rejected_messages: 0,
            earlier_counters: QuotaCounters::default(),
        }
    }

    /// When [`QuotaDriver::handle_timeout`] is to be called at the latest.
    pub(super) fn next_timeout(&self) -> Timestamp {
        self.leases.next_timeout()
    }

    /// Does what is due; returns the new quota if it has changed.
    ///
    /// The live members may have changed since the last call, and so may the local process.
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

    /// Starts again as another process: the member has rejoined, and holds no lease.
    fn restart(&mut self, now: Timestamp, membership: &Membership) {
        let earlier_counters = sum_quota_counters(self.earlier_counters, self.leases.counters());
        let restarted = QuotaDriver::new(self.config.clone(), membership, now);
        *self = QuotaDriver { earlier_counters, ..restarted };
    }

    /// Notes that this process shuts down soon.
    pub(super) fn leave(&mut self) {
        self.leases.leave();
    }

    /// Handles a message of another member; returns the new quota if it has changed.
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
                if error == DecodeError::OtherSettings {
                    self.log_settings_mismatch();
                }
                return None;
            }
        };
        let mut outputs = Vec::new();
        self.leases.handle_message(now, &message, &mut outputs);
        self.apply(now, outputs, membership, out)
    }

    /// Logs once that another member has other settings, which operators must correct.
    fn log_settings_mismatch(&mut self) {
        if !self.settings_mismatch_logged {
            self.settings_mismatch_logged = true;
            log(&format!("fleet: {QUOTA_SETTINGS_MISMATCH_LINE}"));
        }
    }

    /// The present quota.
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

    /// The quota as operators see it.
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

    /// Whether this process is the leader now.
    pub(super) fn is_leader(&self, now: Timestamp) -> bool {
        self.leases.is_leader(now)
    }

    /// The counters by the names that `stats` gives them.
    pub(super) fn counters(&self) -> Vec<(&'static str, u64)> {
        let counters = sum_quota_counters(self.earlier_counters, self.leases.counters());
        quota_counters_by_name(&counters, self.rejected_messages)
    }

    /// Sends messages and logs events; returns the new quota if it has changed.
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
    parts as f64 / WHOLE_PARTS as f64
}

fn changes_quota(event: &QuotaEvent) -> bool {
    matches!(event, QuotaEvent::LeaseGranted(_) | QuotaEvent::LeaseExpired)
}
