//! The provider side: makes the invoker calls that the exchange orders, one coroutine each, and reports
//! how each ended. It decides nothing; it sends nothing twice.

mod pool;
mod response;

use super::body_stream;
use super::codec::http;
use super::codec::memcache;
use super::counters::Counters;
use super::deadline_stream::sleep;
use super::descriptors::Descriptors;
use super::dispatcher::{AttemptId, AttemptRequest, BackendCommand, Dispatcher};
use crate::interface::Outcome;
use may::sync::mpsc::Receiver;
use pool::{ConnectFailure, Connection, Pool, Rest};
use response::{understand, Answered, End, Long, Understood};
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const RETIRE_EVERY: Duration = Duration::from_secs(1);
/// An answer is written at a stretch: when the rest of one that has begun does not follow, it is spoilt.
const STALL: Duration = Duration::from_millis(300);
/// Of a long value that flows, the next piece must come within this time.
const FLOW_STALL: Duration = Duration::from_millis(5000);

/// The provider side of one proxy.
pub struct BackendService {
    exchange: Arc<Dispatcher>,
    counters: Arc<Counters>,
    pool: Pool,
    connect_timeout: Mutex<Duration>,
}

impl BackendService {
    /// Starts the provider side, which holds as many connections as the descriptors allow.
    pub fn start(
        exchange: Arc<Dispatcher>,
        counters: Arc<Counters>,
        orders: Receiver<BackendCommand>,
        descriptors: Arc<Descriptors>,
        connect_timeout: Duration,
        conn_idle: Duration,
    ) -> Arc<BackendService> {
        let pool = Pool::new(descriptors, conn_idle);
        let side = Arc::new(BackendService {
            exchange,
            counters,
            pool,
            connect_timeout: Mutex::new(connect_timeout),
        });
        let retiring = Arc::clone(&side);
        may::go!(move || loop {
            sleep(RETIRE_EVERY);
            retiring.pool.retire();
        });
        let obeying = Arc::clone(&side);
        may::go!(move || {
            for order in orders.iter() {
                obeying.carry_out(order);
            }
        });
        side
    }

    /// Within which time connections come up.
    pub fn connect_timeout(&self) -> Duration {
        *self.connect_timeout.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on connections come up within this time, and idle ones are closed by providers after that.
    pub fn retune(&self, connect_timeout: Duration, conn_idle: Duration) {
        *self.connect_timeout.lock().unwrap_or_else(PoisonError::into_inner) = connect_timeout;
        self.pool.retune(conn_idle);
    }

    fn carry_out(self: &Arc<Self>, order: BackendCommand) {
        match order {
            BackendCommand::Attempt(call) => {
                let side = Arc::clone(self);
                may::go!(move || {
                    let mut debt = Debt { side: &side, id: call.id, end: None };
                    debt.end = Some(side.make(&call));
                });
            }
            BackendCommand::Forget(provider) => self.pool.forget(provider),
        }
    }

    /// Makes a call. Its connection is kept or closed by the time this returns, so that the next call of
    /// the invocation never finds this one still out.
    fn make(&self, call: &AttemptRequest) -> End {
        loop {
            let warm = self.pool.warm(call.server, &call.address);
            let fresh = warm.is_none();
            let connection = match warm {
                Some(connection) => connection,
                None => match self.connect(call) {
                    Ok(connection) => connection,
                    Err(outcome) => return outcome.into(),
                },
            };
            if !self.exchange.should_send(call) {
                self.keep(call, connection, Answered::Named);
                return Outcome::Moot.into();
            }
            let (until, wanted) = (call.deadline.min(call.send_by), || self.exchange.should_send(call));
            let Err(error) = connection.link.write_while(&words(call), until, wanted) else {
                return self.await_reply(call, connection);
            };
            // Its last byte did not go out, and with the connection closed it never will: the call never ran. That a warm
            // connection broke while it stood idle says nothing of the provider, so a new one is tried; nothing is sent twice.
            match unwritten(error.kind()) {
                Outcome::ConnectFailed if !fresh && wanted() => continue,
                _ if Instant::now() < call.deadline && !wanted() => return Outcome::Moot.into(),
                outcome => return outcome.into(),
            }
        }
    }

    fn connect(&self, call: &AttemptRequest) -> Result<Connection, Outcome> {
        let left = call.deadline.min(call.send_by).saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Outcome::Moot);
        }
        let timeout = self.connect_timeout();
        match self.pool.open(&call.address, timeout.min(left)) {
            Ok(connection) => {
                self.counters.provider_connections.add();
                Ok(connection)
            }
            // No fault of the provider: the limit on sockets is this proxy's own.
            Err(ConnectFailure::Full) => Err(Outcome::Moot),
            Err(ConnectFailure::Failed(error)) => match error.kind() {
                // Too late for this call, whatever comes of the connection.
                ErrorKind::TimedOut if left < timeout && call.send_by < call.deadline => Err(Outcome::Moot),
                ErrorKind::TimedOut if left < timeout => Err(Outcome::Timeout),
                _ => Err(Outcome::ConnectFailed),
            },
        }
    }

    fn await_reply(&self, call: &AttemptRequest, connection: Connection) -> End {
        let mut bytes = Vec::new();
        loop {
            let stalled = Instant::now() + STALL;
            let patience = if bytes.is_empty() { call.deadline } else { call.deadline.min(stalled) };
            let read = connection.link.read(&mut bytes, patience);
            let at_end = match read {
                Ok(count) => count == 0,
                Err(error) if error.kind() == ErrorKind::TimedOut && patience < call.deadline => {
                    self.counters.answers_spoilt.add();
                    return Outcome::Error.into();
                }
                Err(error) if error.kind() == ErrorKind::TimedOut => return Outcome::Timeout.into(),
                Err(_) => true,
            };
            match understand(call, &bytes) {
                Understood::Partly if at_end => return Outcome::Reset.into(),
                Understood::Partly => {}
                Understood::Spoilt => {
                    self.counters.answers_spoilt.add();
                    return Outcome::Error.into();
                }
                Understood::Long(long) => return self.flow(call, connection, bytes, &long),
                Understood::Whole(end, answered) => {
                    if !at_end {
                        self.keep(call, connection, answered);
                    }
                    return end;
                }
            }
        }
    }

    /// Keeps a connection for the next call, if there may be one. Danger: its provider may leave, or start anew, in this
    /// moment. That is looked up with the pool locked, and what is forgotten of it is forgotten after that.
    fn keep(&self, call: &AttemptRequest, connection: Connection, answered: Answered) {
        let rest = match answered {
            Answered::Named => Rest::SHORT,
            Answered::Unnamed => Rest::LONG,
            Answered::Last => return,
        };
        self.pool.keep(call.server, connection, rest, || {
            self.exchange.accepts_attempts(call.server, call.server_started)
        });
    }

    /// Passes a long value on as it comes; `bytes` has its head and its beginning.
    fn flow(&self, call: &AttemptRequest, connection: Connection, mut bytes: Vec<u8>, long: &Long) -> End {
        let (source, sink) = body_stream::window();
        if !self.exchange.attempt_streaming(call.id, long.length, sink) {
            return Outcome::Cancelled.into();
        }
        bytes.drain(..long.from);
        let mut left = long.length;
        loop {
            let part = bytes.len().min(left);
            if source.put(&bytes[..part]).is_err() {
                return Outcome::Cancelled.into();
            }
            left -= part;
            bytes.drain(..part);
            if left == 0 && bytes.len() >= long.tail.len() {
                break;
            }
            match connection.link.read(&mut bytes, Instant::now() + FLOW_STALL) {
                Ok(count) if count > 0 => {}
                _ => {
                    self.counters.values_broken.add();
                    return Outcome::Reset.into();
                }
            }
        }
        if !bytes.starts_with(long.tail) {
            self.counters.values_broken.add();
            self.counters.answers_spoilt.add();
            return Outcome::Error.into();
        }
        source.finish();
        self.counters.values_flowed.add();
        if bytes.len() == long.tail.len() {
            self.keep(call, connection, long.answered);
        }
        Outcome::Ok.into()
    }
}

/// The end that is owed for a call, paid also when its coroutine panics.
struct Debt<'a> {
    side: &'a Arc<BackendService>,
    id: AttemptId,
    end: Option<End>,
}

impl Drop for Debt<'_> {
    fn drop(&mut self) {
        let end = self.end.take().unwrap_or_else(|| {
            self.side.counters.panics.add();
            Outcome::Reset.into()
        });
        self.side.exchange.attempt_finished(self.id, end.outcome, end.payload);
    }
}

/// How a call ended whose last byte did not go out. Danger: a provider that reads nothing is up; to tell it as one
/// that cannot be connected to would keep everybody away, and have the next call cost nothing.
fn unwritten(error: ErrorKind) -> Outcome {
    match error {
        ErrorKind::TimedOut => Outcome::Timeout,
        _ => Outcome::ConnectFailed,
    }
}

/// A call in the protocol of its provider.
fn words(call: &AttemptRequest) -> Vec<u8> {
    let left = call.deadline.saturating_duration_since(Instant::now()).as_millis().max(1).to_string();
    let invocation = &call.request;
    let labels: Vec<String> = invocation
        .labels
        .iter()
        .map(|(name, value)| format!("{name}={}", if name == "d" { &left } else { value }))
        .collect();
    let (labels, value) = (labels.join(","), invocation.value.as_deref());
    if !call.is_origin {
        memcache::call(&invocation.key, &invocation.opaque, &labels, value)
    } else {
        let headers = [("X-Txn", invocation.opaque.as_str()), ("X-Labels", labels.as_str())];
        http::request(&http::path_of(&invocation.key), &call.address, &headers, value)
    }
}

#[cfg(test)]
mod tests;
