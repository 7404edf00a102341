//! Connections to providers: kept warm between calls, one call at a time on each, bounded in number.

use crate::interface::ServerId;
use crate::net::deadline_stream::DeadlineStream;
use crate::net::descriptors::{BackendDescriptor, Descriptors};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A provider closes what has stood idle for the time in the settings, and a call written from then on
/// is lost. This share of that time is safe.
const IDLE_SHARE: f64 = 0.6;

/// A connection and the descriptor that it holds.
#[derive(Debug)]
pub(super) struct Connection {
    /// The connection itself.
    pub link: DeadlineStream,
    /// Where it leads.
    to: Arc<str>,
    _descriptor: BackendDescriptor,
}

/// Why there is no connection.
#[derive(Debug)]
pub(super) enum ConnectFailure {
    /// The pool is full, and every connection of it is at work.
    Full,
    /// It did not come up.
    Failed(io::Error),
}

/// By provider, not by address: one that takes over another's address takes over no connection.
type Idle = BTreeMap<ServerId, VecDeque<Kept>>;

/// A connection that stands idle.
#[derive(Debug)]
struct Kept {
    since: Instant,
    rest: Rest,
    connection: Connection,
}

/// How long a connection rests before it takes another call. What a provider sends beyond its answer follows within
/// milliseconds: a connection that has rested shows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rest {
    at_least: Duration,
    /// It may take one before if no other is there.
    hurries: bool,
}

impl Rest {
    /// The last answer named its call: a copy of it cannot pass for the answer to the next one.
    pub(super) const SHORT: Rest = Rest { at_least: Duration::from_millis(5), hurries: true };
    /// Danger: it did not.
    pub(super) const LONG: Rest = Rest { at_least: Duration::from_millis(100), hurries: false };
}

impl Kept {
    fn has_rested(&self) -> bool {
        self.since.elapsed() >= self.rest.at_least
    }
}

/// All connections of this proxy to providers.
#[derive(Debug)]
pub(super) struct Pool {
    idle: Mutex<Idle>,
    descriptors: Arc<Descriptors>,
    idle_limit: Mutex<Duration>,
}

impl Pool {
    /// A pool of as many connections as the descriptors allow, to providers that close idle ones after
    /// `conn_idle`.
    pub(super) fn new(descriptors: Arc<Descriptors>, conn_idle: Duration) -> Pool {
        let idle_limit = Mutex::new(conn_idle.mul_f64(IDLE_SHARE));
        Pool { idle: Mutex::default(), descriptors, idle_limit }
    }

    /// Providers close idle connections after this time from now on.
    pub(super) fn retune(&self, conn_idle: Duration) {
        *self.idle_limit.lock().unwrap_or_else(PoisonError::into_inner) = conn_idle.mul_f64(IDLE_SHARE);
    }

    fn idle_limit(&self) -> Duration {
        *self.idle_limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A warm connection, the one used last of those that have rested: those beyond need then grow old and
    /// close.
    pub(super) fn warm(&self, provider: ServerId, address: &str) -> Option<Connection> {
        loop {
            let kept = self.with(|idle| {
                let queue = idle.get_mut(&provider)?;
                let rested = queue.iter().rposition(Kept::has_rested);
                queue.remove(rested.or_else(|| queue.iter().rposition(|kept| kept.rest.hurries))?)
            })?;
            let fits = &*kept.connection.to == address && kept.connection.link.is_idle();
            if fits && kept.since.elapsed() < self.idle_limit() {
                return Some(kept.connection);
            }
        }
    }

    /// A new connection. A full pool first closes the one that has been idle longest.
    pub(super) fn open(&self, address: &Arc<str>, timeout: Duration) -> Result<Connection, ConnectFailure> {
        let socket_address: SocketAddr =
            address.parse().map_err(|_| ConnectFailure::Failed(io::ErrorKind::InvalidInput.into()))?;
        let descriptor = loop {
            if let Some(descriptor) = self.descriptors.try_backend_descriptor() {
                break descriptor;
            }
            let oldest = self.with(|idle| {
                let (_, queue) = idle
                    .iter_mut()
                    .filter(|(_, queue)| !queue.is_empty())
                    .min_by_key(|(_, queue)| queue.front().map(|kept| kept.since))?;
                queue.pop_front()
            });
            drop(oldest.ok_or(ConnectFailure::Full)?);
        };
        let link = DeadlineStream::connect(&socket_address, timeout).map_err(ConnectFailure::Failed)?;
        Ok(Connection { link, to: Arc::clone(address), _descriptor: descriptor })
    }

    /// Keeps a connection for the next call if there may be one, which is asked with the pool locked.
    pub(super) fn keep(
        &self,
        provider: ServerId,
        connection: Connection,
        rest: Rest,
        may_be: impl FnOnce() -> bool,
    ) {
        let kept = Kept { since: Instant::now(), rest, connection };
        self.with(|idle| {
            if may_be() {
                idle.entry(provider).or_default().push_back(kept);
            }
        });
    }

    /// Closes the idle connections to a provider that has left or started anew.
    pub(super) fn forget(&self, provider: ServerId) {
        drop(self.with(|idle| idle.remove(&provider)));
    }

    /// Closes what has been idle for too long, or has been ended from the other side.
    pub(super) fn retire(&self) {
        let idle_limit = self.idle_limit();
        // Danger: what lay elsewhere meanwhile could not be forgotten.
        self.with(|idle| {
            idle.retain(|_, queue| {
                queue.retain(|kept| kept.since.elapsed() < idle_limit && kept.connection.link.is_idle());
                !queue.is_empty()
            });
        });
    }

    fn with<T>(&self, act: impl FnOnce(&mut Idle) -> T) -> T {
        act(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
