//! The consumer side: accepts connections, takes invocations in and answers them, in the order of each
//! connection's commands. One coroutine a connection both reads and writes. Who keeps its place, and for how
//! long, is decided by [`pinetrail_connection_limits::ConnectionTable`].

mod connection;
mod request;

use super::counters::Counters;
use super::deadline_stream::sleep;
use super::descriptors::Descriptors;
use super::dispatcher::Dispatcher;
use super::drain::DisconnectSchedule;
use super::listener::{Listener, Stream};
use super::log::log;
use super::memory::Memory;
use connection::Connection;
use may::io::{WaitIo, WaitIoWaker};
use pinetrail_connection_limits::{CloseOrder, ConnectionId, ConnectionTable, Limits, Phase, Reason, Seq};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long accepting rests when it fails or every place is taken.
const REST: Duration = Duration::from_millis(2);
/// Places freed at a time once all are taken.
const EVICTED_AT_ONCE: usize = 8;
/// How often it is looked who has held a place for too long.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// The consumer side of one proxy.
pub struct ClientService {
    exchange: Arc<Dispatcher>,
    counters: Arc<Counters>,
    memory: Arc<Memory>,
    descriptors: Arc<Descriptors>,
    /// Until it listens no more.
    listener: Mutex<Option<Arc<Listener>>>,
    address: SocketAddr,
    held: Mutex<HeldPlaces>,
    closing: AtomicBool,
    away: Mutex<Option<Away>>,
}

/// Clients are sent away by a plan, since a time.
#[derive(Clone, Copy)]
struct Away {
    since: u64,
    plan: DisconnectSchedule,
}

/// Who holds a place, and how to reach it.
struct HeldPlaces {
    places: ConnectionTable,
    connections: BTreeMap<ConnectionId, Arc<Shared>>,
}

/// What others may do of a connection.
struct Shared {
    waker: WaitIoWaker,
    arrived: u64,
    /// The last order to close: the stay that it is about and its reason, as [`encode`] puts them; 0 for none.
    order: AtomicU64,
}

impl Shared {
    /// Why it is to close, if that was said of this stay.
    fn order_about(&self, stay: Seq) -> Option<Reason> {
        let order = self.order.load(Ordering::Acquire);
        let reasons = [Reason::Overdue, Reason::UnlikelyToReturn, Reason::OverBudget, Reason::Evicted];
        reasons.into_iter().find(|reason| order == encode(stay, *reason))
    }
}

impl Away {
    /// Whether a connection is to go by now if it is idle.
    fn is_due(&self, number: ConnectionId, arrived: u64, now: u64) -> bool {
        let passed = now.saturating_sub(self.since);
        passed >= self.plan.idle_close_at(number, arrived.saturating_sub(self.since))
    }
}

fn encode(stay: Seq, reason: Reason) -> u64 {
    u64::from(stay) << 8 | (reason as u64 + 1)
}

impl ClientService {
    /// Accepts on a listening socket, and holds as many connections as the descriptors allow.
    pub fn start(
        exchange: Arc<Dispatcher>,
        counters: Arc<Counters>,
        memory: Arc<Memory>,
        descriptors: Arc<Descriptors>,
        socket: TcpListener,
    ) -> io::Result<Arc<ClientService>> {
        let listener = Arc::new(Listener::new(socket)?);
        let (most, _) = descriptors.consumers_hold(0);
        let places = ConnectionTable::new(Limits::default(), most);
        let side = Arc::new(ClientService {
            exchange,
            counters,
            memory,
            descriptors,
            address: listener.address()?,
            listener: Mutex::new(Some(Arc::clone(&listener))),
            held: Mutex::new(HeldPlaces { places, connections: BTreeMap::new() }),
            closing: AtomicBool::new(false),
            away: Mutex::new(None),
        });
        let accepting = Arc::clone(&side);
        may::go!(move || accepting.accept(&listener));
        let looking = Arc::clone(&side);
        may::go!(move || loop {
            sleep(LOOK_EVERY);
            looking.look();
        });
        Ok(side)
    }

    /// From now on none is accepted but who waits already; those held are served on. If another process holds
    /// the socket too, also those are left to it.
    pub fn stop_listening(&self, to_other: bool) {
        let listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).take();
        // Here its socket is closed once that is done.
        if let Some(listener) = &listener {
            if to_other {
                listener.release()
            } else {
                listener.close()
            };
        }
    }

    /// Leaves accepting to another process that holds the socket too, or accepts again.
    pub fn rest_listening(&self, rests: bool) {
        let Some(listener) = self.listener() else { return };
        if rests {
            listener.pause();
        } else {
            listener.resume();
        }
    }

    /// The listening socket, while it listens.
    pub fn listener(&self) -> Option<Arc<Listener>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// From now on `mn` says no, and connections are let go of by this plan.
    pub fn send_away(&self, plan: DisconnectSchedule) {
        let since = self.descriptors.now();
        self.away().get_or_insert(Away { since, plan });
    }

    /// Clients are welcome again.
    pub fn welcome(&self) {
        *self.away() = None;
    }

    /// Connections that are to go, if they are idle now.
    fn let_go(&self) {
        let Some(away) = *self.away() else { return };
        let now = self.descriptors.now();
        self.with(|held| {
            let due = held.connections.iter().filter(|(id, shared)| away.is_due(**id, shared.arrived, now));
            due.for_each(|(_, shared)| shared.waker.wakeup());
        });
    }

    fn away(&self) -> MutexGuard<'_, Option<Away>> {
        self.away.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on connections are no longer closed to make room for others.
    pub fn keep_all(&self) {
        self.with(|held| held.places.stop_accepting());
    }

    /// From now on connections close as soon as they stand between commands.
    pub fn close_when_idle(&self) {
        self.closing.store(true, Ordering::Release);
        self.with(|held| held.connections.values().for_each(|shared| shared.waker.wakeup()));
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections held.
    pub fn open(&self) -> usize {
        self.with(|held| held.places.open())
    }

    fn accept(self: &Arc<Self>, listener: &Listener) {
        let mut number = 0;
        loop {
            match listener.accept() {
                Ok(Some(stream)) => {
                    number += 1;
                    self.counters.consumers_accepted.add();
                    self.hold(number, stream);
                }
                Ok(None) => return,
                Err(error) => {
                    log(&format!("accept: {error}"));
                    sleep(REST);
                }
            }
            while !self.has_room() && !listener.is_stopped() {
                self.make_room();
                sleep(REST);
            }
        }
    }

    fn has_room(&self) -> bool {
        self.with(|held| {
            let (most, room) = self.descriptors.consumers_hold(held.places.open());
            held.places.set_capacity(most);
            room
        })
    }

    fn make_room(&self) {
        let now = self.descriptors.now();
        self.give(|held| held.places.make_room(now, EVICTED_AT_ONCE));
    }

    fn look(&self) {
        let now = self.descriptors.now();
        self.has_room();
        self.give(|held| held.places.expired(now));
        self.let_go();
    }

    /// Passes orders on to the connections that they are for.
    fn give(&self, decide: impl FnOnce(&mut HeldPlaces) -> Vec<CloseOrder>) {
        let given = self.with(|held| {
            let orders = decide(held);
            let reach =
                |order: CloseOrder| held.connections.get(&order.id).map(|shared| (order, Arc::clone(shared)));
            orders.into_iter().filter_map(reach).collect::<Vec<_>>()
        });
        for (order, shared) in given {
            shared.order.store(encode(order.seq, order.reason), Ordering::Release);
            shared.waker.wakeup();
        }
    }

    fn hold(self: &Arc<Self>, number: ConnectionId, stream: Stream) {
        // A consumer that has gone already is noticed when it is read from.
        let _ = stream.inner().set_nodelay(true);
        let now = self.descriptors.now();
        let shared = Arc::new(Shared { waker: stream.waker(), arrived: now, order: AtomicU64::new(0) });
        self.with(|held| {
            held.places.insert(now, number);
            held.connections.insert(number, Arc::clone(&shared));
        });
        let side = Arc::clone(self);
        may::go!(move || {
            // An error says that the consumer has gone; what it left behind ends with the connection.
            let _ = Connection::new(&side, number, shared, stream).serve();
        });
    }

    fn enter(&self, number: ConnectionId, phase: Phase) -> Seq {
        let now = self.descriptors.now();
        self.with(|held| held.places.set_phase(now, number, phase))
    }

    fn asked(&self, number: ConnectionId) {
        self.with(|held| held.places.record_request(number));
    }

    fn left(&self, number: ConnectionId) {
        let now = self.descriptors.now();
        self.with(|held| {
            held.places.remove(now, number);
            held.connections.remove(&number);
        });
    }

    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    fn count(&self, reason: Reason) {
        match reason {
            Reason::Overdue => &self.counters.consumers_late,
            Reason::UnlikelyToReturn => &self.counters.consumers_hopeless,
            Reason::OverBudget => &self.counters.consumers_over_budget,
            Reason::Evicted => &self.counters.consumers_evicted,
        }
        .add();
    }

    fn with<T>(&self, act: impl FnOnce(&mut HeldPlaces) -> T) -> T {
        act(&mut self.held.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
