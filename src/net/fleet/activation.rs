//! Activation and deactivation of this process as its proxy's member of the fleet: methods of
//! [`Fleet`].

use super::active_member::{ActivationId, ActiveMember};
use super::error::FleetError;
use super::quota::QuotaDriver;
use super::{operator_view, Fleet, MemberActivity};
use crate::net::deadline_stream::sleep;
use crate::net::log::log;
use crate::net::polled_socket::PolledSocket;
use pinetrail_config::FleetConfig;
use pinetrail_membership::{Membership, Output};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The time between attempts to open the socket while the other process of this proxy may still
/// have it open.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The number of failed attempts to open the socket after which the failure is logged once.
const OPEN_FAILURES_BEFORE_LOG: usize = 250;

impl Fleet {
    /// Opens the fleet's socket and makes this process the active member of its proxy.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if the socket cannot be opened or the settings do not fit its
    /// address; the process then stays inactive.
    pub fn activate(self: &Arc<Self>) -> Result<(), FleetError> {
        *self.activity() = MemberActivity::Opening;
        let opened = self.open();
        if opened.is_err() {
            *self.activity() = MemberActivity::Inactive;
        }
        opened
    }

    /// Makes this process the active member as soon as the other process of this proxy has closed
    /// its socket.
    ///
    /// Spawns a coroutine that retries until the socket is open or this process is deactivated.
    pub fn activate_when_free(self: &Arc<Self>) {
        *self.activity() = MemberActivity::Opening;
        let fleet = Arc::clone(self);
        may::go!(move || fleet.open_with_retries());
    }

    fn open_with_retries(self: &Arc<Self>) {
        let mut failures = 0;
        while matches!(*self.activity(), MemberActivity::Opening) {
            let Err(error) = self.open() else { return };
            if failures == OPEN_FAILURES_BEFORE_LOG {
                log(&format!("{error}; this process keeps trying to open the socket"));
            }
            failures += 1;
            sleep(OPEN_RETRY_INTERVAL);
        }
    }

    /// Makes this process inactive without leaving the fleet, so that the other process of this
    /// proxy can become the active member under the same name.
    pub fn deactivate(&self) {
        self.become_inactive(|_, _| {});
    }

    /// Marks this process as shutting down soon, so that later views of the quota replace it as a
    /// voter.
    pub fn begin_shutdown(&self) {
        if let MemberActivity::Active(member) = &mut *self.activity() {
            if let Some(quota) = &mut member.quota {
                quota.leave();
            }
        }
    }

    /// Announces to the fleet that this member leaves, if this process is active, and makes the
    /// process inactive.
    pub fn leave(&self) {
        let now = self.now();
        self.become_inactive(|membership, out| membership.leave(now, out));
    }

    /// Opens the socket and starts the coroutines of an active member.
    fn open(self: &Arc<Self>) -> Result<(), FleetError> {
        let config = self.config().clone();
        let socket_error = |source| FleetError::Socket { address: config.bind, source };
        let socket = UdpSocket::bind(config.bind).map_err(socket_error)?;
        let bound = socket.local_addr().map_err(socket_error)?;
        let membership = self.new_membership(&config, bound)?;
        let socket = PolledSocket::new(socket).map_err(socket_error)?;
        let settings = &config.settings;
        log(&format!("fleet {}: {} sends and receives datagrams at {bound}", settings.fleet, settings.name));
        let now = self.now();
        let quota = config.quota.clone().map(|quota| QuotaDriver::new(quota, &membership, now));
        let activation = ActivationId(self.activations.fetch_add(1, Ordering::AcqRel));
        self.start(ActiveMember { activation, socket: Arc::new(socket), membership, quota });
        Ok(())
    }

    #[allow(clippy::disallowed_methods, reason = "identifies a start of this process; measures no duration")]
    fn new_membership(&self, config: &FleetConfig, bound: SocketAddr) -> Result<Membership, FleetError> {
        let since_unix_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = u64::try_from(since_unix_epoch.as_micros()).unwrap_or(u64::MAX);
        Membership::new(config.membership_settings(bound), start, self.seed ^ start, self.now())
            .map_err(|source| FleetError::Settings { address: config.bind, source })
    }

    /// Starts the two coroutines of an active member. Both end once this process is inactive or has
    /// begun another activation.
    fn start(self: &Arc<Self>, member: ActiveMember) {
        let activation = member.activation;
        let socket = Arc::clone(&member.socket);
        {
            let mut activity = self.activity();
            // Leases of an earlier activation are void: the new quota driver holds none.
            if let Some(quota) = &member.quota {
                self.publish_quota(quota.local_quota(self.now()));
            }
            *activity = MemberActivity::Active(Box::new(member));
        }
        let receiver = Arc::clone(self);
        may::go!(move || receiver.receive_datagrams(activation, &socket));
        let timer = Arc::clone(self);
        may::go!(move || timer.run_timeouts(activation));
    }

    /// Makes this process inactive. If it was active, calls `last_action` with its membership, adds
    /// the counters to the earlier ones and sends the resulting datagrams.
    fn become_inactive(&self, last_action: impl FnOnce(&mut Membership, &mut Vec<Output>)) {
        let previous = std::mem::replace(&mut *self.activity(), MemberActivity::Inactive);
        let MemberActivity::Active(mut member) = previous else { return };
        let mut out = Vec::new();
        last_action(&mut member.membership, &mut out);
        let counters =
            operator_view::sum_membership_counters(*self.earlier_counters(), member.membership.counters());
        *self.earlier_counters() = counters;
        self.apply(out, &member.socket);
        // Wakes the receiving coroutine, so that it ends: the socket closes when the last coroutine
        // drops it.
        member.socket.waker().wakeup();
    }
}
