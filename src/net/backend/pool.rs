//! Connections to backends: kept open between attempts, one attempt at a time on each, bounded in
//! number. Read [`Pool`] first, then [`RestPolicy`].

use crate::interface::ServerId;
use crate::net::deadline_stream::DeadlineStream;
use crate::net::descriptors::{BackendDescriptor, Descriptors};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// A backend closes what has been idle for the time in the settings, and a request written from
/// then on is lost. This share of that time is safe.
const SAFE_IDLE_SHARE: f64 = 0.6;
/// See [`RestPolicy::Short`].
const SHORT_REST: Duration = Duration::from_millis(5);
/// See [`RestPolicy::Long`].
const LONG_REST: Duration = Duration::from_millis(100);

/// A connection and the descriptor that it holds.
#[derive(Debug)]
pub(super) struct Connection {
    /// The connection itself.
    pub stream: DeadlineStream,
    address: Arc<str>,
    /// Given back when the connection is closed.
    _descriptor: BackendDescriptor,
}

/// Why there is no connection.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// All descriptors are taken, and every connection is in use.
    #[error("no descriptor is left for a connection")]
    NoDescriptor,
    /// It was not established.
    #[error("the connection was not established")]
    Failed(#[source] io::Error),
}

/// Idle connections, oldest first. By backend, not by address: a backend that takes over another's
/// address takes over no connection.
type IdleConnections = BTreeMap<ServerId, VecDeque<IdleConnection>>;

#[derive(Debug)]
struct IdleConnection {
    since: Instant,
    rest: RestPolicy,
    connection: Connection,
}

/// How long a connection rests before its next attempt. What a backend sends beyond its response
/// follows within milliseconds: a connection that has rested shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RestPolicy {
    /// The last response named its request: a copy of it cannot pass for the response to the next
    /// one. Without a rested connection, one of these takes an attempt before it has rested.
    Short,
    /// Danger: it did not.
    Long,
}

impl RestPolicy {
    fn minimum(self) -> Duration {
        match self {
            RestPolicy::Short => SHORT_REST,
            RestPolicy::Long => LONG_REST,
        }
    }
}

impl IdleConnection {
    fn has_rested(&self) -> bool {
        self.since.elapsed() >= self.rest.minimum()
    }

    fn may_skip_rest(&self) -> bool {
        self.rest == RestPolicy::Short
    }
}

/// All connections of this proxy to backends.
#[derive(Debug)]
pub(super) struct Pool {
    /// Guards the idle connections. Nothing waits under it. The dispatcher's lock is taken inside
    /// it, never the other way round.
    idle: Mutex<IdleConnections>,
    descriptors: Arc<Descriptors>,
    /// Guards this time only.
    max_idle: Mutex<Duration>,
}

impl Pool {
    /// A pool of as many connections as the descriptors allow, to backends that close idle ones
    /// after `idle_timeout`.
    pub(super) fn new(descriptors: Arc<Descriptors>, idle_timeout: Duration) -> Pool {
        let max_idle = Mutex::new(idle_timeout.mul_f64(SAFE_IDLE_SHARE));
        Pool { idle: Mutex::default(), descriptors, max_idle }
    }

    /// Backends close idle connections after this time from now on.
    pub(super) fn set_idle_timeout(&self, idle_timeout: Duration) {
        let max_idle = idle_timeout.mul_f64(SAFE_IDLE_SHARE);
        *self.max_idle.lock().unwrap_or_else(PoisonError::into_inner) = max_idle;
    }

    fn max_idle(&self) -> Duration {
        *self.max_idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection, the one used last of those that have rested: those beyond need
    /// then grow old and close.
    pub(super) fn take_idle(&self, server: ServerId, address: &str) -> Option<Connection> {
        loop {
            let candidate = self.with_idle(|idle| {
                let queue = idle.get_mut(&server)?;
                let rested = queue.iter().rposition(IdleConnection::has_rested);
                let chosen = rested.or_else(|| queue.iter().rposition(IdleConnection::may_skip_rest))?;
                queue.remove(chosen)
            })?;
            let connection = &candidate.connection;
            let is_usable = &*connection.address == address && connection.stream.is_idle();
            if is_usable && candidate.since.elapsed() < self.max_idle() {
                return Some(candidate.connection);
            }
        }
    }

    /// Opens a connection. If no descriptor is left, the one that has been idle longest is closed
    /// first.
    ///
    /// # Errors
    ///
    /// If no descriptor is left, or the connection is not established in time.
    pub(super) fn open(&self, address: &Arc<str>, timeout: Duration) -> Result<Connection, ConnectError> {
        let socket_address: SocketAddr =
            address.parse().map_err(|_| ConnectError::Failed(io::ErrorKind::InvalidInput.into()))?;
        let descriptor = loop {
            if let Some(descriptor) = self.descriptors.take_for_backend() {
                break descriptor;
            }
            let oldest = self.take_oldest().ok_or(ConnectError::NoDescriptor)?;
            drop(oldest);
        };
        let stream = DeadlineStream::connect(&socket_address, timeout).map_err(ConnectError::Failed)?;
        Ok(Connection { stream, address: Arc::clone(address), _descriptor: descriptor })
    }

    /// The connection that has been idle longest, whatever its backend.
    fn take_oldest(&self) -> Option<IdleConnection> {
        self.with_idle(|idle| {
            let queues = idle.values_mut().filter(|queue| !queue.is_empty());
            let queue = queues.min_by_key(|queue| queue.front().map(|oldest| oldest.since))?;
            queue.pop_front()
        })
    }

    /// Keeps a connection for the next attempt if its backend accepts one, which is asked with the
    /// pool locked.
    pub(super) fn put_idle(
        &self,
        server: ServerId,
        connection: Connection,
        rest: RestPolicy,
        accepts_attempts: impl FnOnce() -> bool,
    ) {
        let idle_connection = IdleConnection { since: Instant::now(), rest, connection };
        self.with_idle(|idle| {
            if accepts_attempts() {
                idle.entry(server).or_default().push_back(idle_connection);
            }
        });
    }

    /// Closes the idle connections to a backend that has left or restarted.
    pub(super) fn close_idle(&self, server: ServerId) {
        let closed = self.with_idle(|idle| idle.remove(&server));
        // With the pool unlocked.
        drop(closed);
    }

    /// Closes connections that have been idle for too long, or were closed by their backend.
    pub(super) fn close_stale(&self) {
        let max_idle = self.max_idle();
        // Danger: a connection taken out of the pool meanwhile would be missed by `close_idle`.
        self.with_idle(|idle| {
            idle.retain(|_, queue| {
                queue.retain(|kept| kept.since.elapsed() < max_idle && kept.connection.stream.is_idle());
                !queue.is_empty()
            });
        });
    }

    fn with_idle<T>(&self, act: impl FnOnce(&mut IdleConnections) -> T) -> T {
        act(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
