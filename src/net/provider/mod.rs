//! The provider side: makes the invoker calls that the exchange orders, one coroutine each, and reports
//! how each ended. It decides nothing; it sends nothing twice.

mod pool;

use super::codec::{Parsed, MAX_ANSWER, MAX_VALUE};
use super::counters::Counters;
use super::descriptors::Descriptors;
use super::exchange::{Call, CallId, Exchange, Order, Payload};
use super::http::{self, Body};
use super::link::{sleep, Link};
use super::memcache::{self, Reply};
use super::memory::{Held, Memory};
use crate::interface::Outcome;
use may::sync::mpsc::Receiver;
use pool::{Connection, NoConnection, Pool};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const RETIRE_EVERY: Duration = Duration::from_secs(1);
/// An answer is written at a stretch: when the rest of one that has begun does not follow, it is spoilt.
const STALL: Duration = Duration::from_millis(100);

/// The provider side of one proxy.
pub struct ProviderSide {
    exchange: Arc<Exchange>,
    counters: Arc<Counters>,
    memory: Arc<Memory>,
    pool: Pool,
    connect_timeout: Mutex<Duration>,
    running: Mutex<BTreeMap<CallId, Running>>,
}

/// A call that is out: whether it has been called off, and the connection to end for that.
#[derive(Default)]
struct Running {
    cancelled: bool,
    link: Option<Link>,
}

/// How a call ended, and what it brought.
struct End {
    outcome: Outcome,
    payload: Option<Payload>,
    /// What a long payload holds of the memory, beyond what is set aside for each.
    held: Option<Held>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> End {
        End { outcome, payload: None, held: None }
    }
}

impl ProviderSide {
    /// Starts the provider side, which holds as many connections as the descriptors allow.
    pub fn start(
        exchange: Arc<Exchange>,
        counters: Arc<Counters>,
        memory: Arc<Memory>,
        orders: Receiver<Order>,
        descriptors: Arc<Descriptors>,
        connect_timeout: Duration,
        conn_idle: Duration,
    ) -> Arc<ProviderSide> {
        let pool = Pool::new(descriptors, conn_idle);
        let side = Arc::new(ProviderSide {
            exchange,
            counters,
            memory,
            pool,
            connect_timeout: Mutex::new(connect_timeout),
            running: Mutex::default(),
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

    /// From now on connections come up within this time, and idle ones are closed by providers after that.
    pub fn retune(&self, connect_timeout: Duration, conn_idle: Duration) {
        *self.connect_timeout.lock().unwrap_or_else(PoisonError::into_inner) = connect_timeout;
        self.pool.retune(conn_idle);
    }

    fn carry_out(self: &Arc<Self>, order: Order) {
        match order {
            Order::Call(call) => {
                self.with(|running| running.insert(call.id, Running::default()));
                let side = Arc::clone(self);
                may::go!(move || {
                    let mut debt = Debt { side: &side, id: call.id, end: None };
                    debt.end = Some(side.make(&call));
                });
            }
            Order::Forget(provider) => self.pool.forget(provider),
            Order::Cancel(id) => self.with(|running| {
                if let Some(running) = running.get_mut(&id) {
                    running.cancelled = true;
                    running.link.iter().for_each(Link::end);
                }
            }),
        }
    }

    /// Makes a call. Its connection is kept or closed by the time this returns, so that the next call of
    /// the invocation never finds this one still out.
    fn make(&self, call: &Call) -> End {
        loop {
            let warm = self.pool.warm(call.provider, &call.place);
            let fresh = warm.is_none();
            let connection = match warm {
                Some(connection) => connection,
                None => match self.connect(call) {
                    Ok(connection) => connection,
                    Err(outcome) => return outcome.into(),
                },
            };
            if !self.exchange.is_wanted(call.id) {
                self.pool.keep(call.provider, connection);
                return Outcome::Moot.into();
            }
            let called_off = self.with(|running| {
                let Some(running) = running.get_mut(&call.id) else { return true };
                running.link = Some(connection.link.clone());
                running.cancelled
            });
            if called_off {
                return Outcome::Cancelled.into();
            }
            // Broken before the last byte went out: the call never ran. That a warm connection broke while
            // it stood idle says nothing of the provider, so a new one is tried; nothing is sent twice.
            if connection.link.write(&words(call), call.until).is_err() {
                match fresh || Instant::now() >= call.until {
                    true => return Outcome::ConnectFailed.into(),
                    false => continue,
                }
            }
            return self.await_reply(call, connection);
        }
    }

    fn connect(&self, call: &Call) -> Result<Connection, Outcome> {
        let left = call.until.saturating_duration_since(Instant::now());
        let timeout = *self.connect_timeout.lock().unwrap_or_else(PoisonError::into_inner);
        match self.pool.open(&call.place, timeout.min(left.max(Duration::from_millis(1)))) {
            Ok(connection) => {
                self.counters.provider_connections.add();
                Ok(connection)
            }
            // No fault of the provider: the limit on sockets is this proxy's own.
            Err(NoConnection::Full) => Err(Outcome::Moot),
            Err(NoConnection::Failed(error)) => match error.kind() {
                ErrorKind::TimedOut if left < timeout => Err(Outcome::Timeout),
                _ => Err(Outcome::ConnectFailed),
            },
        }
    }

    fn await_reply(&self, call: &Call, connection: Connection) -> End {
        let mut bytes = Vec::new();
        let mut held = None;
        loop {
            let stalled = Instant::now() + STALL;
            let patience = if bytes.is_empty() { call.until } else { call.until.min(stalled) };
            let read = connection.link.read(&mut bytes, patience);
            let cancelled = || self.with(|running| running.get(&call.id).map_or(true, |r| r.cancelled));
            let at_end = match read {
                Ok(count) => count == 0,
                Err(error) if error.kind() == ErrorKind::TimedOut && patience < call.until => {
                    self.counters.answers_spoilt.add();
                    return Outcome::Error.into();
                }
                Err(error) if error.kind() == ErrorKind::TimedOut => return Outcome::Timeout.into(),
                Err(_) => true,
            };
            if bytes.len() > MAX_VALUE && held.is_none() {
                held = self.memory.hold(beyond_set_aside(call, &bytes));
                if held.is_none() {
                    self.counters.answers_without_memory.add();
                    return Outcome::Error.into();
                }
            }
            match understand(call, &bytes) {
                Understood::Partly if at_end && cancelled() => return Outcome::Cancelled.into(),
                Understood::Partly if at_end => return Outcome::Reset.into(),
                Understood::Partly => {}
                Understood::Spoilt => {
                    self.counters.answers_spoilt.add();
                    return Outcome::Error.into();
                }
                Understood::Whole(mut end, keep) => {
                    end.held = held;
                    if keep && !at_end {
                        self.with(|running| running.remove(&call.id));
                        self.pool.keep(call.provider, connection);
                    }
                    return end;
                }
            }
        }
    }

    fn with<T>(&self, act: impl FnOnce(&mut BTreeMap<CallId, Running>) -> T) -> T {
        act(&mut self.running.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The end that is owed for a call, paid also when its coroutine panics.
struct Debt<'a> {
    side: &'a Arc<ProviderSide>,
    id: CallId,
    end: Option<End>,
}

impl Drop for Debt<'_> {
    fn drop(&mut self) {
        let end = self.end.take().unwrap_or_else(|| {
            self.side.counters.panics.add();
            Outcome::Reset.into()
        });
        self.side.with(|running| running.remove(&self.id));
        self.side.exchange.call_ended(self.id, end.outcome, end.payload, end.held);
    }
}

/// A call in the protocol of its provider.
fn words(call: &Call) -> Vec<u8> {
    let left = call.until.saturating_duration_since(Instant::now()).as_millis().max(1).to_string();
    let invocation = &call.invocation;
    let labels: Vec<String> = invocation
        .labels
        .iter()
        .map(|(name, value)| format!("{name}={}", if name == "d" { &left } else { value }))
        .collect();
    let (labels, value) = (labels.join(","), invocation.value.as_deref());
    match call.at_origin {
        false => memcache::call(&invocation.key, &invocation.opaque, &labels, value),
        true => {
            let headers = [("X-Txn", invocation.opaque.as_str()), ("X-Labels", labels.as_str())];
            http::request(&http::path_of(&invocation.key), &call.place, &headers, value)
        }
    }
}

/// What a long answer takes of the memory beyond what is set aside for each: as it is read, and as it is said.
fn beyond_set_aside(call: &Call, bytes: &[u8]) -> usize {
    let announced = match call.at_origin {
        false => memcache::announced(bytes),
        true => match http::final_head(bytes) {
            Parsed::Whole(head, _) => match head.body {
                Body::Length(length) => Some(length),
                _ => None,
            },
            _ => None,
        },
    };
    announced.unwrap_or(MAX_ANSWER).clamp(MAX_VALUE, MAX_ANSWER) * 2 - MAX_VALUE
}

enum Understood {
    Partly,
    /// It ran, as far as anyone can tell, and the connection is of no further use.
    Spoilt,
    /// How the call ended, and whether the connection can take another.
    Whole(End, bool),
}

/// Reads a provider's answer in its protocol.
fn understand(call: &Call, bytes: &[u8]) -> Understood {
    if call.at_origin {
        return understand_http(call, bytes);
    }
    match memcache::reply(bytes, &call.invocation.opaque) {
        Parsed::Incomplete => Understood::Partly,
        Parsed::Whole(reply, used) => {
            let end = match reply {
                Reply::Served(payload) => served(call, payload),
                Reply::Miss => Outcome::Miss.into(),
                Reply::Busy => Outcome::Full.into(),
                Reply::Failed => Outcome::Error.into(),
            };
            Understood::Whole(end, used == bytes.len())
        }
        Parsed::Malformed(..) => Understood::Spoilt,
    }
}

fn understand_http(call: &Call, bytes: &[u8]) -> Understood {
    let (head, from) = match http::final_head(bytes) {
        Parsed::Incomplete => return Understood::Partly,
        Parsed::Malformed(..) => return Understood::Spoilt,
        Parsed::Whole(head, used) => (head, used),
    };
    if head.id.as_ref().is_some_and(|id| *id != call.invocation.opaque) {
        return Understood::Spoilt;
    }
    let rest = &bytes[from..];
    let (body, used) = match head.body {
        Body::Length(length) if length > MAX_ANSWER => return Understood::Spoilt,
        Body::Length(length) if rest.len() < length => return Understood::Partly,
        Body::Length(length) => (rest[..length].to_vec(), from + length),
        // A value that was cut short would pass for a whole one.
        Body::UntilClose => return Understood::Spoilt,
        Body::Chunked => match http::chunks(rest, MAX_ANSWER) {
            Parsed::Incomplete => return Understood::Partly,
            Parsed::Malformed(..) => return Understood::Spoilt,
            Parsed::Whole(body, used) => (body, from + used),
        },
    };
    let end = match head.status {
        200 if call.invocation.value.is_none() => served(call, Payload::Value(body)),
        200 => match String::from_utf8(body) {
            Ok(receipt) => served(call, Payload::Receipt(receipt)),
            Err(_) => return Understood::Spoilt,
        },
        503 | 504 if head.turned_away => Outcome::Full.into(),
        _ => Outcome::Error.into(),
    };
    Understood::Whole(end, used == bytes.len() && !head.closes)
}

/// What was given counts if it is what the invocation asked for: a value for a read, a receipt of one
/// word for a write.
fn served(call: &Call, payload: Payload) -> End {
    let fits = match &payload {
        Payload::Value(_) => call.invocation.value.is_none(),
        Payload::Receipt(receipt) => {
            call.invocation.value.is_some()
                && !receipt.is_empty()
                && receipt.bytes().all(|byte| byte.is_ascii_graphic())
        }
    };
    match fits {
        true => End { outcome: Outcome::Ok, payload: Some(payload), held: None },
        false => Outcome::Error.into(),
    }
}
