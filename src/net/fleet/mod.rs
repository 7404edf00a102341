//! The fleet as this process takes part in it: the driver of `pinetrail-membership` and
//! `pinetrail-quota`. It owns one UDP socket and the coroutines that receive datagrams and handle
//! timeouts; those crates decide what is sent. Without `fleet` in the configuration there is no
//! [`Fleet`].
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

/// Receives each message of the peer directory, with the address of the member that sent it.
pub type DirectoryHandler = Box<dyn Fn(SocketAddr, &[u8]) + Send + Sync>;

/// Whether this process is the member that the fleet knows under its proxy's name.
enum Activity {
    /// It becomes that member as soon as the socket can be opened.
    Opening,
    /// It is that member.
    Active(Box<ActiveMember>),
    /// The other process of this proxy is that member, or this one has left.
    Inactive,
}

/// The fleet as this process takes part in it.
pub struct Fleet {
    /// Guards the configuration, whose peers may be replaced. Locked before `activity` where both
    /// are needed.
    config: Mutex<FleetConfig>,
    seed: u64,
    started_at: Instant,
    started_at_unix_ms: u64,
    /// Guards the socket, the membership and the quota, and the order in which quotas are
    /// published. No thread blocks while it holds this lock.
    activity: Mutex<Activity>,
    /// How often this process became active.
    activations: AtomicU64,
    /// Guards the counters of memberships that have ended.
    earlier_counters: Mutex<MembershipCounters>,
    send_failures: Counter,
    quota_handler: QuotaHandler,
    /// Whether the other process of this proxy serves as well: both then share one guaranteed
    /// minimum.
    shares_minimum: AtomicBool,
    directory_handler: OnceLock<DirectoryHandler>,
}

impl Fleet {
    /// A process that is inactive and has its guaranteed minimum.
    #[allow(clippy::disallowed_methods, reason = "shown to operators")]
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
            activity: Mutex::new(Activity::Inactive),
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
    /// [`FleetError::Peers`] if the list is invalid; the former peers are then kept.
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

    /// Whether this process is the leader of the quota now; at most one process of a fleet is.
    pub fn is_quota_leader(&self) -> bool {
        let now = self.now();
        match &*self.activity() {
            Activity::Active(member) => member.quota.as_ref().is_some_and(|quota| quota.is_leader(now)),
            Activity::Opening | Activity::Inactive => false,
        }
    }

    /// The longest time that an attempt may run, if the fleet has a quota.
    pub fn max_attempt_duration(&self) -> Option<Duration> {
        self.config().quota.as_ref().map(|quota| quota.settings.max_attempt_duration)
    }

    /// The names of this member and of the fleet.
    pub fn names(&self) -> (String, String) {
        let config = self.config();
        (config.settings.name.clone(), config.settings.fleet.clone())
    }

    /// Sets the receiver of messages of the peer directory; only the first call has an effect.
    pub fn set_directory_handler(&self, handler: DirectoryHandler) {
        let _ = self.directory_handler.set(handler);
    }

    /// Sends a message of the peer directory to the member at an address. It may be lost.
    pub fn send_directory_message(&self, to: SocketAddr, body: &[u8]) {
        self.with_membership(|membership, out| membership.send_directory_message(to, body, out));
    }

    /// The other members that are alive; none while this process is not active.
    pub fn live_peers(&self) -> Option<Vec<LivePeer>> {
        match &*self.activity() {
            Activity::Active(member) => Some(member.live_peers()),
            Activity::Opening | Activity::Inactive => None,
        }
    }

    /// The address of its socket; none while this process is not active.
    pub fn address(&self) -> Option<SocketAddr> {
        match &*self.activity() {
            Activity::Active(member) => member.socket.inner().local_addr().ok(),
            Activity::Opening | Activity::Inactive => None,
        }
    }

    /// The JSON of `GET /control/fleet`; none while this process is not active.
    pub fn report(&self) -> Option<String> {
        let now = self.now();
        match &*self.activity() {
            Activity::Active(member) => {
                let status = member.quota.as_ref().map(|quota| self.quota_status(quota, now));
                Some(operator_view::report(&member.membership, self.started_at_unix_ms, status))
            }
            Activity::Opening | Activity::Inactive => None,
        }
    }

    fn quota_status(&self, quota: &QuotaDriver, now: Timestamp) -> QuotaStatus {
        let status = quota.status(now);
        let second_process_fraction = self.fraction_of_second_process(status.guaranteed);
        QuotaStatus {
            fraction: status.fraction - second_process_fraction,
            guaranteed: status.guaranteed - second_process_fraction,
            ..status
        }
    }

    /// The counters by their names in `stats`.
    pub fn counters(&self) -> Vec<(&'static str, u64)> {
        let present = self.with_membership(|membership, _| membership.counters()).unwrap_or_default();
        let counters = operator_view::sum_membership_counters(*self.earlier_counters(), present);
        let mut list = operator_view::membership_counters_by_name(&counters, self.send_failures.get());
        if let Activity::Active(member) = &*self.activity() {
            if let Some(quota) = &member.quota {
                list.extend(quota.counters());
            }
        }
        list
    }

    /// The fleet's clock, which begins with this process.
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started_at.elapsed()
    }

    fn activity(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn config(&self) -> MutexGuard<'_, FleetConfig> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn earlier_counters(&self) -> MutexGuard<'_, MembershipCounters> {
        self.earlier_counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
