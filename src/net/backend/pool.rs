//! The pool of connections to backends: each takes one attempt at a time and stays open between
//! attempts, and their number is bounded. Read [`Pool`] first, then [`ReuseDelay`].

use crate::interface::BackendId;
use crate::net::deadline_stream::DeadlineStream;
use crate::net::descriptors::{BackendDescriptor, Descriptors};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The fraction of the backends' idle timeout within which an idle connection is reused. A request
/// that is written after the timeout is lost.
const SAFE_IDLE_FRACTION: f64 = 0.6;
/// The duration of [`ReuseDelay::Short`].
const SHORT_REUSE_DELAY: Duration = Duration::from_millis(5);
/// The duration of [`ReuseDelay::Long`].
const LONG_REUSE_DELAY: Duration = Duration::from_millis(100);

/// A connection and the descriptor that it holds.
#[derive(Debug)]
pub(super) struct Connection {
    /// The connected stream.
    pub stream: DeadlineStream,
    address: Arc<str>,
    /// The descriptor of the connection, which is released when the connection is closed.
    _descriptor: BackendDescriptor,
}

/// The reason why no connection was opened.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// All descriptors are in use, and no connection is idle.
    #[error("all descriptors for backend connections are in use")]
    NoDescriptor,
    /// The connection could not be established.
    #[error("the backend connection could not be established: {0}")]
    Failed(#[source] io::Error),
}

/// The idle connections of each backend, oldest first. They are keyed by backend and not by
/// address, so that a backend with the former address of another gets none of its connections.
type IdleConnections = BTreeMap<BackendId, VecDeque<IdleConnection>>;

#[derive(Debug)]
struct IdleConnection {
    idle_since: Instant,
    delay: ReuseDelay,
    connection: Connection,
}

/// The delay between a response on a connection and the next attempt on the same connection. If a
/// backend sends more bytes than its response, they arrive within the delay, and the connection is
/// closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReuseDelay {
    /// The last response carried the id of its request, so a duplicate of it cannot be taken for
    /// the response to the next request. If no connection has completed its delay, one with a short
    /// delay is reused early.
    Short,
    /// The last response did not carry the id of its request.
    ///
    /// Note: a duplicate of that response would be taken for the response to the next request, so
    /// the delay is longer and is never skipped.
    Long,
}

impl ReuseDelay {
    fn duration(self) -> Duration {
        match self {
            ReuseDelay::Short => SHORT_REUSE_DELAY,
            ReuseDelay::Long => LONG_REUSE_DELAY,
        }
    }
}

impl IdleConnection {
    fn has_completed_delay(&self) -> bool {
        self.idle_since.elapsed() >= self.delay.duration()
    }

    fn may_skip_delay(&self) -> bool {
        self.delay == ReuseDelay::Short
    }
}

/// The idle connections of this proxy to its backends. The pool also opens new ones.
#[derive(Debug)]
pub(super) struct Pool {
    /// The idle connections.
    ///
    /// Invariant: no coroutine waits while it holds this lock. The dispatcher's lock may be taken
    /// while this one is held, but never the reverse.
    idle: Mutex<IdleConnections>,
    descriptors: Arc<Descriptors>,
    /// The time for which an idle connection may be reused. The lock guards only this value.
    max_idle: Mutex<Duration>,
}

impl Pool {
    /// Creates a pool of as many connections as the descriptors allow. Backends close idle
    /// connections after `idle_timeout`.
    pub(super) fn new(descriptors: Arc<Descriptors>, idle_timeout: Duration) -> Pool {
        let max_idle = Mutex::new(idle_timeout.mul_f64(SAFE_IDLE_FRACTION));
        Pool { idle: Mutex::default(), descriptors, max_idle }
    }

    /// Sets the time after which backends close idle connections.
    pub(super) fn set_idle_timeout(&self, idle_timeout: Duration) {
        let max_idle = idle_timeout.mul_f64(SAFE_IDLE_FRACTION);
        *self.max_idle.lock().unwrap_or_else(PoisonError::into_inner) = max_idle;
    }

    fn max_idle(&self) -> Duration {
        *self.max_idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection to a backend from the pool: of the usable connections that have
    /// completed their delay, the one used last, so that surplus connections get old and are
    /// closed.
    ///
    /// Inputs: the delay of each connection, how long it has been idle, whether it has unread
    /// bytes, and the backend's present address.
    /// Reason: a stale connection loses a request, and one with extra bytes could return the wrong
    /// response.
    pub(super) fn take_idle(&self, backend: BackendId, address: &str) -> Option<Connection> {
        loop {
            let candidate = self.with_idle(|idle| {
                let queue = idle.get_mut(&backend)?;
                let past_delay = queue.iter().rposition(IdleConnection::has_completed_delay);
                let chosen = past_delay.or_else(|| queue.iter().rposition(IdleConnection::may_skip_delay))?;
                queue.remove(chosen)
            })?;
            let connection = &candidate.connection;
            let is_usable = &*connection.address == address && connection.stream.is_idle();
            if is_usable && candidate.idle_since.elapsed() < self.max_idle() {
                return Some(candidate.connection);
            }
        }
    }

    /// Opens a connection. If no descriptor is free, the connection that has been idle longest is
    /// closed first.
    ///
    /// # Errors
    ///
    /// Returns an error if no descriptor can be freed, or the connection is not established in
    /// time.
    pub(super) fn open(&self, address: &Arc<str>, timeout: Duration) -> Result<Connection, ConnectError> {
        let socket_address: SocketAddr =
            address.parse().map_err(|_| ConnectError::Failed(io::ErrorKind::InvalidInput.into()))?;
        let descriptor = loop {
            if let Some(descriptor) = self.descriptors.reserve_for_backend() {
                break descriptor;
            }
            let oldest = self.take_oldest().ok_or(ConnectError::NoDescriptor)?;
            drop(oldest);
        };
        let stream = DeadlineStream::connect(&socket_address, timeout).map_err(ConnectError::Failed)?;
        Ok(Connection { stream, address: Arc::clone(address), _descriptor: descriptor })
    }

    /// Takes the connection that has been idle longest, of all backends.
    fn take_oldest(&self) -> Option<IdleConnection> {
        self.with_idle(|idle| {
            let queues = idle.values_mut().filter(|queue| !queue.is_empty());
            let queue = queues.min_by_key(|queue| queue.front().map(|oldest| oldest.idle_since))?;
            queue.pop_front()
        })
    }

    /// Returns a connection to the pool if its backend accepts attempts.
    ///
    /// Invariant: `accepts_attempts` is called with the pool locked, so that `close_idle` misses no
    /// connection.
    pub(super) fn put_idle(
        &self,
        backend: BackendId,
        connection: Connection,
        delay: ReuseDelay,
        accepts_attempts: impl FnOnce() -> bool,
    ) {
        let idle_connection = IdleConnection { idle_since: Instant::now(), delay, connection };
        self.with_idle(|idle| {
            if accepts_attempts() {
                idle.entry(backend).or_default().push_back(idle_connection);
            }
        });
    }

    /// Closes the idle connections to a backend that drains, was removed or restarted.
    pub(super) fn close_idle(&self, backend: BackendId) {
        let closed = self.with_idle(|idle| idle.remove(&backend));
        // The connections are closed with the pool unlocked.
        drop(closed);
    }

    /// Closes all idle connections.
    pub(super) fn close_all_idle(&self) {
        let closed = self.with_idle(std::mem::take);
        // The connections are closed with the pool unlocked.
        drop(closed);
    }

    /// Closes connections that have been idle for too long, or were closed by their backend.
    ///
    /// Invariant: connections are checked with the pool locked, because `close_idle` would miss one
    /// that is taken out for its check.
    pub(super) fn close_stale(&self) {
        let max_idle = self.max_idle();
        self.with_idle(|idle| {
            idle.retain(|_, queue| {
                queue.retain(|idle| idle.idle_since.elapsed() < max_idle && idle.connection.stream.is_idle());
                !queue.is_empty()
            });
        });
    }

    fn with_idle<T>(&self, act: impl FnOnce(&mut IdleConnections) -> T) -> T {
        act(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
