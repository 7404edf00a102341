//! Client connections: accepts them, reads and submits their requests, and writes the responses in
//! the order of each connection's commands. Read [`ClientService`] first, then
//! `connection::Connection`: one coroutine per connection both reads and writes.
//!
//! `accept` accepts connections, `registry` keeps the open ones and passes on the close orders of
//! [`pinetrail_connection_limits::ConnectionTable`], `disconnecting` decides which connections are
//! due to close while clients are directed to other proxies, and `turns` divides the worker between
//! connections whose clients send without a pause.

mod accept;
mod connection;
mod disconnecting;
mod encode;
mod presence;
mod registry;
mod request;
mod turns;

use super::counters::Counters;
use super::deadline_stream::sleep;
use super::descriptors::Descriptors;
use super::dispatcher::Dispatcher;
use super::drain::DisconnectSchedule;
use super::hold_up::HoldUpMonitor;
use super::listener::Listener;
use super::log::log_fault;
use super::memory::MemoryBudget;
use super::time_limits::TIMER_LATENCY;
use disconnecting::Disconnecting;
use pinetrail_connection_limits::{CloseOrderReason, ConnectionId, Phase, PhaseNumber};
use registry::ConnectionRegistry;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use turns::TurnPacer;

/// The interval between checks of the connection limits and of overdue requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The shortest hold-up that is counted and logged.
const MIN_REPORTED_HOLD_UP: Duration = Duration::from_millis(50);

/// The parameters of a new [`ClientService`].
pub struct ClientServiceParameters {
    /// The receiver of the requests.
    pub dispatcher: Arc<Dispatcher>,
    /// The counters of the process.
    pub counters: Arc<Counters>,
    /// The memory budget of commands and responses.
    pub memory: Arc<MemoryBudget>,
    /// The descriptors that client connections share with backend connections.
    pub descriptors: Arc<Descriptors>,
    /// The listening socket for clients.
    pub socket: TcpListener,
}

/// Accepts and serves the client connections of one proxy.
pub struct ClientService {
    dispatcher: Arc<Dispatcher>,
    counters: Arc<Counters>,
    memory: Arc<MemoryBudget>,
    descriptors: Arc<Descriptors>,
    hold_up_monitor: HoldUpMonitor,
    turns: TurnPacer,
    /// The listener; `None` once the service has stopped listening. The lock guards only this
    /// value.
    listener: Mutex<Option<Arc<Listener>>>,
    address: SocketAddr,
    /// The open connections.
    ///
    /// Invariant: no coroutine waits while it holds this lock.
    registry: Mutex<ConnectionRegistry>,
    /// Whether connections close as soon as they are idle.
    closes_when_idle: AtomicBool,
    /// Whether the process begins no response any more.
    finishes_responses: AtomicBool,
    /// The time of the earliest SIGKILL, set once it would lose an incomplete response to a new request.
    late_requests_lost_at: OnceLock<Instant>,
    /// The schedule by which clients are directed to other proxies, if they are.
    ///
    /// Invariant: no other lock is taken while this one is held.
    disconnecting: Mutex<Option<Disconnecting>>,
}

impl ClientService {
    /// Starts to accept connections on a listening socket, as many as the descriptors allow. The
    /// coroutine that accepts ends once the service has stopped listening; the one that checks
    /// limits runs until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be registered with the coroutines' poller, or has no
    /// address.
    pub fn start(parameters: ClientServiceParameters) -> io::Result<Arc<ClientService>> {
        let ClientServiceParameters { dispatcher, counters, memory, descriptors, socket } = parameters;
        let listener = Arc::new(Listener::new(socket)?);
        let capacity = descriptors.update_clients(0);
        let service = Arc::new(ClientService {
            dispatcher,
            counters,
            memory,
            descriptors,
            address: listener.address()?,
            hold_up_monitor: HoldUpMonitor::new(CHECK_INTERVAL, Instant::now()),
            turns: TurnPacer::default(),
            listener: Mutex::new(Some(Arc::clone(&listener))),
            registry: Mutex::new(ConnectionRegistry::new(capacity.limit)),
            closes_when_idle: AtomicBool::new(false),
            finishes_responses: AtomicBool::new(false),
            late_requests_lost_at: OnceLock::new(),
            disconnecting: Mutex::new(None),
        });
        let acceptor = Arc::clone(&service);
        may::go!(move || acceptor.accept_until_stopped(&listener));
        let checker = Arc::clone(&service);
        may::go!(move || loop {
            sleep(CHECK_INTERVAL);
            let late = checker.hold_up_monitor.tick(Instant::now());
            checker.report_hold_up(late);
            checker.check_limits();
            // After a hold-up the timers of requests are late but not lost, so none is expired
            // here.
            if late < TIMER_LATENCY {
                checker.dispatcher.expire_requests();
            }
        });
        Ok(service)
    }

    /// Stops listening after the connections in the accept queue are accepted. Open connections are
    /// still served.
    pub fn stop_listening(&self) {
        // The socket is closed once the accepting coroutine has ended too.
        if let Some(listener) = self.take_listener() {
            listener.close();
        }
    }

    /// Stops listening immediately, and leaves the accept queue to the other process that holds the
    /// socket. Open connections are still served.
    pub fn release_listener(&self) {
        if let Some(listener) = self.take_listener() {
            listener.release();
        }
    }

    /// Leaves new connections to the other process that holds the socket.
    pub fn pause_listening(&self) {
        if let Some(listener) = self.listener() {
            listener.pause();
        }
    }

    /// Accepts connections again.
    pub fn resume_listening(&self) {
        if let Some(listener) = self.listener() {
            listener.resume();
        }
    }

    /// Returns the listener; `None` once the service has stopped listening.
    pub fn listener(&self) -> Option<Arc<Listener>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn take_listener(&self) -> Option<Arc<Listener>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Starts to direct clients to other proxies: the response to `mn` is an error, and connections
    /// are closed by this schedule. A schedule that is in force already continues.
    pub fn start_disconnecting(&self, schedule: DisconnectSchedule) {
        let started_at = self.descriptors.now();
        self.disconnecting_guard().get_or_insert(Disconnecting { started_at, schedule });
    }

    /// Stops directing clients to other proxies.
    pub fn stop_disconnecting(&self) {
        *self.disconnecting_guard() = None;
    }

    /// Stops closing connections to make room for others.
    pub fn stop_evicting(&self) {
        self.with_registry(ConnectionRegistry::stop_evicting);
    }

    /// From now on, new requests count as late: SIGKILL, at `kill_at` at the earliest, would lose an
    /// incomplete response to them.
    pub fn begin_late_requests(&self, kill_at: Instant) {
        // Set once, by the one drain of the process.
        let _ = self.late_requests_lost_at.set(kill_at);
        // Each connection takes note of the input that has arrived.
        self.with_registry(|registry| registry.wake_all());
    }

    /// Keeps only the memory that the responses which have begun need, since no further one begins.
    pub fn finish_responses(&self) {
        self.finishes_responses.store(true, Ordering::Release);
        self.with_registry(|registry| registry.wake_all());
    }

    /// Closes each connection as soon as it is idle.
    pub fn close_when_idle(&self) {
        self.closes_when_idle.store(true, Ordering::Release);
        self.with_registry(|registry| registry.wake_all());
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.with_registry(|registry| registry.open_connections())
    }

    /// Returns the number of connections with a response that is not complete, or not written.
    pub fn responding_connections(&self) -> usize {
        self.with_registry(|registry| registry.responding_connections())
    }

    /// Decides whether a hold-up of the whole process is reported, that is, counted and logged as a
    /// fault.
    ///
    /// Inputs: how late the periodic check runs.
    /// Reason: a hold-up explains late responses to the operators.
    /// Source: docs/on-call.md.
    fn report_hold_up(&self, late: Duration) {
        if late >= MIN_REPORTED_HOLD_UP {
            self.counters.hold_ups.increment();
            log_fault(&format!("the process was held up for {} ms", late.as_millis()));
        }
    }

    /// Closes connections that have reached a limit, or are due to disconnect.
    fn check_limits(&self) {
        let now = self.descriptors.now();
        self.update_capacity();
        self.issue_close_orders(|registry| registry.expired(now));
        self.wake_connections_to_disconnect();
    }

    /// Wakes connections that are due to disconnect. They close themselves if they are idle.
    fn wake_connections_to_disconnect(&self) {
        let Some(disconnecting) = self.disconnecting() else { return };
        let now = self.descriptors.now();
        self.with_registry(|registry| {
            registry.wake_matching(|id, arrived| disconnecting.is_due(id, arrived, now));
        });
    }

    /// Returns the schedule by which clients are directed to other proxies, if they are.
    fn disconnecting(&self) -> Option<Disconnecting> {
        *self.disconnecting_guard()
    }

    fn disconnecting_guard(&self) -> MutexGuard<'_, Option<Disconnecting>> {
        self.disconnecting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn closes_when_idle(&self) -> bool {
        self.closes_when_idle.load(Ordering::Acquire)
    }

    fn set_phase(&self, id: ConnectionId, phase: Phase) -> PhaseNumber {
        let now = self.descriptors.now();
        self.with_registry(|registry| registry.set_phase(now, id, phase))
    }

    fn record_request(&self, id: ConnectionId) {
        self.with_registry(|registry| registry.record_request(id));
    }

    fn remove(&self, id: ConnectionId) {
        let now = self.descriptors.now();
        self.with_registry(|registry| registry.remove(now, id));
    }

    fn count_close(&self, reason: CloseOrderReason) {
        let counter = match reason {
            CloseOrderReason::Overdue => &self.counters.connections_overdue,
            CloseOrderReason::UnlikelyToReturn => &self.counters.connections_unlikely_to_return,
            CloseOrderReason::OverBudget => &self.counters.connections_over_budget,
            CloseOrderReason::Evicted => &self.counters.connections_evicted,
        };
        counter.increment();
    }

    fn with_registry<T>(&self, act: impl FnOnce(&mut ConnectionRegistry) -> T) -> T {
        act(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
