//! The consumer side: accepts connections, takes invocations in and answers them, in the order of each
//! connection's commands. One coroutine a connection both reads and writes. Who keeps its place, and for how
//! long, is decided by [`pinetrail_places::Places`].

mod connection;
mod invocation;

use super::counters::Counters;
use super::descriptors::Descriptors;
use super::exchange::Exchange;
use super::link::sleep;
use super::log::log;
use super::memory::Memory;
use connection::Connection;
use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use pinetrail_places::{Id, Limits, Order, Phase, Places, Reason, Seq, Tally};
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How long accepting rests when it fails or every place is taken.
const REST: Duration = Duration::from_millis(2);
/// Places freed at a time once all are taken.
const EVICTED_AT_ONCE: usize = 8;
/// How often it is looked who has held a place for too long.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// The consumer side of one proxy.
pub struct ConsumerSide {
    exchange: Arc<Exchange>,
    counters: Arc<Counters>,
    memory: Arc<Memory>,
    descriptors: Arc<Descriptors>,
    listener: TcpListener,
    held: Mutex<HeldPlaces>,
    listening: AtomicBool,
    closing: AtomicBool,
}

/// Who holds a place, and how to reach it.
struct HeldPlaces {
    places: Places,
    connections: BTreeMap<Id, Arc<Shared>>,
}

/// What others may do of a connection.
struct Shared {
    waker: WaitIoWaker,
    /// The last order to close: the stay that it is about and its reason, as [`encode`] puts them; 0 for none.
    order: AtomicU64,
}

impl Shared {
    /// Why it is to close, if that was said of this stay.
    fn order_about(&self, stay: Seq) -> Option<Reason> {
        let order = self.order.load(Ordering::Acquire);
        let reasons = [Reason::Overdue, Reason::Hopeless, Reason::OverBudget, Reason::NoRoom];
        reasons.into_iter().find(|reason| order == encode(stay, *reason))
    }
}

fn encode(stay: Seq, reason: Reason) -> u64 {
    u64::from(stay) << 8 | (reason as u64 + 1)
}

impl ConsumerSide {
    /// Listens, and holds as many connections as the descriptors allow.
    pub fn start(
        exchange: Arc<Exchange>,
        counters: Arc<Counters>,
        memory: Arc<Memory>,
        descriptors: Arc<Descriptors>,
        listen: SocketAddr,
    ) -> io::Result<Arc<ConsumerSide>> {
        let listener = TcpListener::bind(listen)?;
        let (most, _) = descriptors.consumers_hold(0);
        let places = Places::new(Limits::default(), most);
        let side = Arc::new(ConsumerSide {
            exchange,
            counters,
            memory,
            descriptors,
            listener,
            held: Mutex::new(HeldPlaces { places, connections: BTreeMap::new() }),
            listening: AtomicBool::new(true),
            closing: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&side);
        may::go!(move || accepting.accept());
        let looking = Arc::clone(&side);
        may::go!(move || loop {
            sleep(LOOK_EVERY);
            looking.look();
        });
        Ok(side)
    }

    /// From now on none is accepted; those held are served on.
    pub fn stop_listening(&self) {
        self.listening.store(false, Ordering::Release);
        // Wakes the coroutine that accepts. An error says that it listens no more.
        let _ = SockRef::from(self.listener.inner()).shutdown(Shutdown::Both);
    }

    /// From now on connections are no longer closed to make room for others.
    pub fn keep_all(&self) {
        self.with(|held| held.places.shut());
    }

    /// From now on connections close as soon as they stand between commands.
    pub fn close_when_idle(&self) {
        self.closing.store(true, Ordering::Release);
        self.with(|held| held.connections.values().for_each(|shared| shared.waker.wakeup()));
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Connections held.
    pub fn open(&self) -> usize {
        self.with(|held| held.places.open())
    }

    /// What holds the places now.
    pub fn tally(&self) -> Tally {
        let now = self.descriptors.now();
        self.with(|held| held.places.tally(now))
    }

    fn accept(self: &Arc<Self>) {
        let mut number = 0;
        while self.listening.load(Ordering::Acquire) {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    number += 1;
                    self.counters.consumers_accepted.add();
                    self.hold(number, stream);
                }
                Err(_) if !self.listening.load(Ordering::Acquire) => {}
                Err(error) => {
                    log(&format!("accept: {error}"));
                    sleep(REST);
                }
            }
            while !self.has_room() && self.listening.load(Ordering::Acquire) {
                self.make_room();
                sleep(REST);
            }
        }
    }

    fn has_room(&self) -> bool {
        self.with(|held| {
            let (most, room) = self.descriptors.consumers_hold(held.places.open());
            held.places.set_most(most);
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
        self.give(|held| held.places.overdue(now));
    }

    /// Passes orders on to the connections that they are for.
    fn give(&self, decide: impl FnOnce(&mut HeldPlaces) -> Vec<Order>) {
        let given = self.with(|held| {
            let orders = decide(held);
            let reach =
                |order: Order| held.connections.get(&order.id).map(|shared| (order, Arc::clone(shared)));
            orders.into_iter().filter_map(reach).collect::<Vec<_>>()
        });
        for (order, shared) in given {
            shared.order.store(encode(order.seq, order.reason), Ordering::Release);
            shared.waker.wakeup();
        }
    }

    fn hold(self: &Arc<Self>, number: Id, stream: TcpStream) {
        // A consumer that has gone already is noticed when it is read from.
        let _ = stream.set_nodelay(true);
        let shared = Arc::new(Shared { waker: stream.waker(), order: AtomicU64::new(0) });
        let now = self.descriptors.now();
        self.with(|held| {
            held.places.arrive(now, number);
            held.connections.insert(number, Arc::clone(&shared));
        });
        let side = Arc::clone(self);
        may::go!(move || {
            // An error says that the consumer has gone; what it left behind ends with the connection.
            let _ = Connection::new(&side, number, shared, stream).serve();
        });
    }

    fn enter(&self, number: Id, phase: Phase) -> Seq {
        let now = self.descriptors.now();
        self.with(|held| held.places.enter(now, number, phase))
    }

    fn asked(&self, number: Id) {
        self.with(|held| held.places.asked(number));
    }

    fn left(&self, number: Id) {
        let now = self.descriptors.now();
        self.with(|held| {
            held.places.left(now, number);
            held.connections.remove(&number);
        });
    }

    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    fn count(&self, reason: Reason) {
        match reason {
            Reason::Overdue => &self.counters.consumers_late,
            Reason::Hopeless => &self.counters.consumers_hopeless,
            Reason::OverBudget => &self.counters.consumers_over_budget,
            Reason::NoRoom => &self.counters.consumers_evicted,
        }
        .add();
    }

    fn with<T>(&self, act: impl FnOnce(&mut HeldPlaces) -> T) -> T {
        act(&mut self.held.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
