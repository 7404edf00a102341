//! How this process becomes the active member of its proxy, and how it becomes inactive.

use super::active_member::{ActivationId, ActiveMember};
use super::error::FleetError;
use super::quota::QuotaDriver;
use super::{operator_view, Activity, Fleet};
use crate::net::deadline_stream::sleep;
use crate::net::log::log;
use crate::net::polled_socket::PolledSocket;
use pinetrail_config::FleetConfig;
use pinetrail_membership::{Membership, Output};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The time between attempts to open a socket that the other process of this proxy may still have.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// After this many failed attempts a line of the log reports that the socket is not open.
const OPEN_FAILURES_BEFORE_LOG: usize = 250;

impl Fleet {
    /// Becomes the active member of this proxy.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if the socket cannot be opened; the process then stays inactive.
    pub fn activate(self: &Arc<Self>) -> Result<(), FleetError> {
        *self.activity() = Activity::Opening;
        let opened = self.open();
        if opened.is_err() {
            *self.activity() = Activity::Inactive;
        }
        opened
    }

    /// Becomes the active member as soon as the other process of this proxy has closed the socket.
    ///
    /// A coroutine tries until the socket is open. It ends with that, or once the process is asked
    /// to be inactive.
    pub fn activate_when_free(self: &Arc<Self>) {
        *self.activity() = Activity::Opening;
        let fleet = Arc::clone(self);
        may::go!(move || fleet.open_with_retries());
    }

    fn open_with_retries(self: &Arc<Self>) {
        let mut failures = 0;
        while matches!(*self.activity(), Activity::Opening) {
            let Err(error) = self.open() else { return };
            if failures == OPEN_FAILURES_BEFORE_LOG {
                log(&format!("{error}; still not open"));
            }
            failures += 1;
            sleep(OPEN_RETRY_INTERVAL);
        }
    }

    /// Becomes inactive, so that the other process of this proxy can become the active member.
    pub fn deactivate(&self) {
        self.become_inactive(|_, _| {});
    }

    /// Notes that this process shuts down soon, so that it is replaced as a voter of the quota.
    pub fn begin_shutdown(&self) {
        if let Activity::Active(member) = &mut *self.activity() {
            if let Some(quota) = &mut member.quota {
                quota.leave();
            }
        }
    }

    /// Leaves the fleet if this process is active, and becomes inactive.
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
        log(&format!("fleet {}: {} is at {bound}", settings.fleet, settings.name));
        let now = self.now();
        let quota = config.quota.clone().map(|quota| QuotaDriver::new(quota, &membership, now));
        let activation = ActivationId(self.activations.fetch_add(1, Ordering::AcqRel));
        self.start(ActiveMember { activation, socket: Arc::new(socket), membership, quota });
        Ok(())
    }

    #[allow(clippy::disallowed_methods, reason = "names a start of this process; no span is measured by it")]
    fn new_membership(&self, config: &FleetConfig, bound: SocketAddr) -> Result<Membership, FleetError> {
        let since_unix_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = u64::try_from(since_unix_epoch.as_micros()).unwrap_or(u64::MAX);
        Membership::new(config.membership_settings(bound), start, self.seed ^ start, self.now())
            .map_err(|source| FleetError::Settings { address: config.bind, source })
    }

    /// Starts the two coroutines of an active member. Both end once this process is inactive, or
    /// active anew.
    fn start(self: &Arc<Self>, member: ActiveMember) {
        let activation = member.activation;
        let socket = Arc::clone(&member.socket);
        {
            let mut activity = self.activity();
            // It holds no lease, whatever it held when it was active before.
            if let Some(quota) = &member.quota {
                self.publish_quota(quota.local_quota(self.now()));
            }
            *activity = Activity::Active(Box::new(member));
        }
        let receiver = Arc::clone(self);
        may::go!(move || receiver.receive_datagrams(activation, &socket));
        let timer = Arc::clone(self);
        may::go!(move || timer.run_timeouts(activation));
    }

    fn become_inactive(&self, last_action: impl FnOnce(&mut Membership, &mut Vec<Output>)) {
        let previous = std::mem::replace(&mut *self.activity(), Activity::Inactive);
        let Activity::Active(mut member) = previous else { return };
        let mut out = Vec::new();
        last_action(&mut member.membership, &mut out);
        let counters =
            operator_view::sum_membership_counters(*self.earlier_counters(), member.membership.counters());
        *self.earlier_counters() = counters;
        self.apply(out, &member.socket);
        // Wakes the coroutine that waits on the socket: the socket closes when the last coroutine
        // drops it.
        member.socket.waker().wakeup();
    }
}
