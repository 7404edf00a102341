//! This process as a member of its fleet: the driver of `pinetrail-membership` and
//! `pinetrail-quota`. The driver owns one UDP socket and the coroutines that receive datagrams and
//! handle timeouts; the two crates decide what is sent. [`Fleet`] exists only if the configuration
//! has `fleet`.
//!
//! Read [`Fleet`] first, then `activation` (how a process becomes the active member of its proxy)
//! and `event_loop` (what an active member does). `operator_view` maps the terms of the code to the
//! names that operators see.

mod activation;
mod active_member;
mod error;
mod event_loop;
mod operator_view;
mod process_quota;
mod quota;

pub use active_member::LivePeer;
pub use error::FleetError;
pub use process_quota::{ProcessQuota, QuotaHandler, SecondProcess};

use super::counters::Counter;
use active_member::ActiveMember;
use operator_view::QuotaStatus;
use pinetrail_clock::Timestamp;
use pinetrail_config::FleetConfig;
use pinetrail_membership::MembershipCounters;
use quota::QuotaDriver;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A handler of messages of the peer directory. The address is that of the sending member.
pub type DirectoryHandler = Box<dyn Fn(SocketAddr, &[u8]) + Send + Sync>;

/// The state of this process as the active member, which has the name of its proxy in the fleet.
enum MemberActivity {
    /// The process becomes the active member as soon as its socket can be opened.
    Opening,
    /// The process is the active member.
    Active(Box<ActiveMember>),
    /// The other process of this proxy is the active member, or this process has left the fleet.
    Inactive,
}

/// This process as a member of its fleet, active or not, with its quota.
pub struct Fleet {
    /// The configuration, whose peers may be replaced. Locked before `activity` where both locks
    /// are needed.
    config: Mutex<FleetConfig>,
    /// The seed of the random numbers of each membership, which is combined with the time of the
    /// start of the membership.
    seed: u64,
    /// The time at which the fleet's clock is 0.
    started_at: Instant,
    started_at_unix_ms: u64,
    /// The socket, the membership and the quota while this process is active. The lock also guards
    /// the order in which quotas are published. No thread blocks while it holds this lock.
    activity: Mutex<MemberActivity>,
    /// The number of activations of this process.
    activations: AtomicU64,
    /// The summed counters of memberships that have ended.
    earlier_counters: Mutex<MembershipCounters>,
    send_failures: Counter,
    quota_handler: QuotaHandler,
    /// Whether the other process of this proxy serves as well, so that both share one guaranteed
    /// minimum.
    shares_minimum: AtomicBool,
    directory_handler: OnceLock<DirectoryHandler>,
}

impl Fleet {
    /// Creates an inactive member and publishes its guaranteed minimum as its quota.
    #[allow(clippy::disallowed_methods, reason = "wall-clock time for operators; measures no duration")]
    pub fn new(
        config: FleetConfig,
        seed: u64,
        second_process: SecondProcess,
        quota_handler: QuotaHandler,
    ) -> Arc<Fleet> {
        let since_unix_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let fleet = Arc::new(Fleet {
            config: Mutex::new(config),
            seed,
            started_at: Instant::now(),
            started_at_unix_ms: u64::try_from(since_unix_epoch.as_millis()).unwrap_or(u64::MAX),
            activity: Mutex::new(MemberActivity::Inactive),
            activations: AtomicU64::new(0),
            earlier_counters: Mutex::default(),
            send_failures: Counter::default(),
            quota_handler,
            shares_minimum: AtomicBool::new(second_process == SecondProcess::Serving),
            directory_handler: OnceLock::new(),
        });
        fleet.publish_guaranteed_minimum();
        fleet
    }

    /// Replaces the peers by which this process finds the members of the fleet.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError::Peers`] if the list is invalid; the previous peers are then kept.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) -> Result<(), FleetError> {
        let now = self.now();
        let mut config = self.config();
        let replaced = self.with_membership(|membership, out| membership.set_peers(now, peers.clone(), out));
        if let Some(Err(error)) = replaced {
            return Err(FleetError::Peers(error));
        }
        config.settings.peers = peers;
        Ok(())
    }

    /// Returns whether this process is the quota leader now; at most one process of a fleet is.
    pub fn is_quota_leader(&self) -> bool {
        let now = self.now();
        match &*self.activity() {
            MemberActivity::Active(member) => member.quota.as_ref().is_some_and(|quota| quota.is_leader(now)),
            MemberActivity::Opening | MemberActivity::Inactive => false,
        }
    }

    /// Returns the longest duration of an attempt; `None` if the fleet has no quota.
    pub fn max_attempt_duration(&self) -> Option<Duration> {
        self.config().quota.as_ref().map(|quota| quota.settings.max_attempt_duration)
    }

    /// Returns the name of this member and the name of the fleet.
    pub fn names(&self) -> (String, String) {
        let config = self.config();
        (config.settings.name.clone(), config.settings.fleet.clone())
    }

    /// Sets the handler of messages of the peer directory; only the first call has an effect.
    pub fn set_directory_handler(&self, handler: DirectoryHandler) {
        let _ = self.directory_handler.set(handler);
    }

    /// Sends a message of the peer directory to the member at an address. The message may be lost,
    /// and is dropped while this process is not active.
    pub fn send_directory_message(&self, to: SocketAddr, body: &[u8]) {
        self.with_membership(|membership, out| membership.send_directory_message(to, body, out));
    }

    /// Returns the other members that are alive; `None` while this process is not active.
    pub fn live_peers(&self) -> Option<Vec<LivePeer>> {
        match &*self.activity() {
            MemberActivity::Active(member) => Some(member.live_peers()),
            MemberActivity::Opening | MemberActivity::Inactive => None,
        }
    }

    /// Returns the local address of the fleet's socket; `None` while this process is not active.
    pub fn address(&self) -> Option<SocketAddr> {
        match &*self.activity() {
            MemberActivity::Active(member) => member.socket.inner().local_addr().ok(),
            MemberActivity::Opening | MemberActivity::Inactive => None,
        }
    }

    /// Returns the JSON of `GET /control/fleet`; `None` while this process is not active.
    pub fn report(&self) -> Option<String> {
        let now = self.now();
        match &*self.activity() {
            MemberActivity::Active(member) => {
                let status = member.quota.as_ref().map(|quota| self.quota_status(quota, now));
                Some(operator_view::report(&member.membership, self.started_at_unix_ms, status))
            }
            MemberActivity::Opening | MemberActivity::Inactive => None,
        }
    }

    /// Returns the status of the quota, less the fraction of the other process of this proxy.
    fn quota_status(&self, quota: &QuotaDriver, now: Timestamp) -> QuotaStatus {
        let status = quota.status(now);
        let second_process_fraction = self.fraction_of_second_process(status.guaranteed);
        QuotaStatus {
            fraction: status.fraction - second_process_fraction,
            guaranteed: status.guaranteed - second_process_fraction,
            ..status
        }
    }

    /// Returns the counters of the membership and the quota, by their names in `stats`.
    pub fn counters(&self) -> Vec<(&'static str, u64)> {
        let present = self.with_membership(|membership, _| membership.counters()).unwrap_or_default();
        let counters = operator_view::sum_membership_counters(*self.earlier_counters(), present);
        let mut list = operator_view::membership_counters_by_name(&counters, self.send_failures.get());
        if let MemberActivity::Active(member) = &*self.activity() {
            if let Some(quota) = &member.quota {
                list.extend(quota.counters());
            }
        }
        list
    }

    /// Returns the time on the fleet's clock, which is 0 at the start of this process.
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started_at.elapsed()
    }

    fn activity(&self) -> MutexGuard<'_, MemberActivity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn config(&self) -> MutexGuard<'_, FleetConfig> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn earlier_counters(&self) -> MutexGuard<'_, MembershipCounters> {
        self.earlier_counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
