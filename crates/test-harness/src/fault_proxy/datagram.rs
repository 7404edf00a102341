//! Fault-injecting proxies for datagrams, one in front of each member of a fleet. Read
//! [`DatagramFaultProxies`] first, which owns their sockets and threads.
//!
//! Members know each other by the addresses of the proxies. A datagram's path is found from the
//! source address of the sending member. The datagram is forwarded from the socket of the sender's
//! proxy, so that the addresses that members learn from each other also lead through the proxies.

use super::path::{Path, PathCounts, PathFaults};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Longest time between checks whether the proxies are to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the receive buffer; no datagram is longer.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The order in which datagrams arrive: by time, then by the order of sending.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ArrivalOrder {
    due: Instant,
    sequence: u64,
}

/// A datagram in flight.
struct Datagram {
    path: Path,
    bytes: Vec<u8>,
}

/// The faults, counts and datagrams of all paths.
struct State {
    /// The address of each member's own socket.
    member_addresses: Vec<SocketAddr>,
    /// The faults of the paths that have been changed; every other path has none.
    faults: BTreeMap<Path, PathFaults>,
    counts: BTreeMap<Path, PathCounts>,
    rng: StdRng,
    in_flight: BTreeMap<ArrivalOrder, Datagram>,
    /// The number of datagrams that have been put in flight.
    sequence: u64,
}

impl State {
    fn faults_of(&self, path: Path) -> PathFaults {
        self.faults.get(&path).copied().unwrap_or(PathFaults::NONE)
    }

    fn counts_of(&mut self, path: Path) -> &mut PathCounts {
        self.counts.entry(path).or_default()
    }

    /// Applies the faults of a path to a datagram: drops it, or puts one or two copies in flight.
    fn accept(&mut self, path: Path, bytes: &[u8]) {
        let faults = self.faults_of(path);
        if faults.partitioned || self.rng.random_bool(faults.loss) {
            self.counts_of(path).lost += 1;
            return;
        }
        let copies = if self.rng.random_bool(faults.duplicated) { 2 } else { 1 };
        for _ in 0..copies {
            let bytes = self.corrupt(bytes, faults.corrupted);
            let due = Instant::now() + self.draw_delay(&faults);
            self.sequence += 1;
            let arrival = ArrivalOrder { due, sequence: self.sequence };
            self.in_flight.insert(arrival, Datagram { path, bytes });
        }
    }

    /// Returns a copy of these bytes, in which one bit is inverted with the given probability.
    fn corrupt(&mut self, bytes: &[u8], probability: f64) -> Vec<u8> {
        let mut bytes = bytes.to_vec();
        if !bytes.is_empty() && self.rng.random_bool(probability) {
            let at = self.rng.random_range(0..bytes.len());
            bytes[at] ^= 1 << self.rng.random_range(0..8);
        }
        bytes
    }

    fn draw_delay(&mut self, faults: &PathFaults) -> Duration {
        let least = faults.min_delay.as_millis() as u64;
        let most = faults.max_delay.as_millis() as u64;
        Duration::from_millis(self.rng.random_range(least..=most))
    }

    /// Removes and returns the next datagram that is due; drops any whose path has been partitioned
    /// since it was sent.
    fn take_due(&mut self, now: Instant) -> Option<Datagram> {
        while self.next_due().is_some_and(|due| due <= now) {
            let (_, datagram) = self.in_flight.pop_first()?;
            if self.faults_of(datagram.path).partitioned {
                self.counts_of(datagram.path).lost += 1;
                continue;
            }
            self.counts_of(datagram.path).delivered += 1;
            return Some(datagram);
        }
        None
    }

    fn next_due(&self) -> Option<Instant> {
        self.in_flight.keys().next().map(|arrival| arrival.due)
    }
}

/// The state that the threads of all proxies share.
struct Shared {
    /// The socket of the proxy in front of each member.
    sockets: Vec<UdpSocket>,
    /// Guards the faults of all paths and the datagrams in flight on them.
    state: Mutex<State>,
    /// Notified when a datagram is put in flight and when the proxies stop.
    in_flight_changed: Condvar,
    stop: AtomicBool,
}

/// The datagram proxies of one fleet. Dropping this value stops their threads.
pub struct DatagramFaultProxies {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl DatagramFaultProxies {
    /// Starts proxies at the advertised addresses, which forward to the members' own addresses. The
    /// seed determines which datagrams are lost, duplicated, corrupted and delayed.
    ///
    /// # Panics
    /// If an advertised address cannot be bound.
    pub fn new(advertised: &[SocketAddr], members: &[SocketAddr], seed: u64) -> DatagramFaultProxies {
        let state = State {
            member_addresses: members.to_vec(),
            faults: BTreeMap::new(),
            counts: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            sequence: 0,
        };
        let shared = Arc::new(Shared {
            sockets: advertised.iter().map(bind).collect(),
            state: Mutex::new(state),
            in_flight_changed: Condvar::new(),
            stop: AtomicBool::new(false),
        });
        let mut threads = Vec::new();
        for to in 0..advertised.len() {
            let shared = Arc::clone(&shared);
            threads.push(thread::spawn(move || shared.receive(to)));
        }
        let delivering = Arc::clone(&shared);
        threads.push(thread::spawn(move || delivering.deliver()));
        DatagramFaultProxies { shared, threads }
    }

    /// Changes the faults of the path from one member to another.
    ///
    /// # Panics
    /// If a thread of the proxies has panicked.
    pub fn change_path(&self, from: usize, to: usize, change: impl FnOnce(&mut PathFaults)) {
        let mut state = self.shared.state.lock().unwrap();
        change(state.faults.entry(Path { from, to }).or_insert(PathFaults::NONE));
    }

    /// Changes the faults of every path.
    pub fn change_all_paths(&self, change: impl Fn(&mut PathFaults)) {
        let members = self.shared.sockets.len();
        for from in 0..members {
            for to in 0..members {
                self.change_path(from, to, &change);
            }
        }
    }

    /// Returns the numbers of datagrams that the path from one member to another has delivered and
    /// lost.
    ///
    /// # Panics
    /// If a thread of the proxies has panicked.
    pub fn counts(&self, from: usize, to: usize) -> PathCounts {
        let state = self.shared.state.lock().unwrap();
        state.counts.get(&Path { from, to }).copied().unwrap_or_default()
    }

    /// Returns a view of the faults of all paths, for the proxies of connections on the same paths.
    pub(crate) fn path_view(&self) -> PathView {
        PathView(Arc::clone(&self.shared))
    }
}

impl Drop for DatagramFaultProxies {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Release);
        self.shared.in_flight_changed.notify_all();
        for thread in self.threads.drain(..) {
            // A thread that panicked has printed the reason.
            let _ = thread.join();
        }
    }
}

/// A read-only view of the faults of all paths, which follows their changes.
#[derive(Clone)]
pub(crate) struct PathView(Arc<Shared>);

impl PathView {
    /// Returns the present faults of a path.
    pub(super) fn faults(&self, path: Path) -> PathFaults {
        self.0.state.lock().unwrap().faults_of(path)
    }

    /// Returns whether the proxies have stopped.
    pub(super) fn is_stopped(&self) -> bool {
        self.0.stop.load(Ordering::Acquire)
    }
}

impl Shared {
    /// Receives the datagrams for one member, until the proxies stop.
    fn receive(&self, to: usize) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !self.stop.load(Ordering::Acquire) {
            let Ok((length, sender)) = self.sockets[to].recv_from(&mut buffer) else { continue };
            let mut state = self.state.lock().unwrap();
            // A datagram that no member has sent is on no path, so it is dropped.
            let Some(from) = state.member_addresses.iter().position(|member| *member == sender) else {
                continue;
            };
            state.accept(Path { from, to }, &buffer[..length]);
            self.in_flight_changed.notify_all();
        }
    }

    /// Delivers the datagrams that are due, until the proxies stop.
    fn deliver(&self) {
        let mut state = self.state.lock().unwrap();
        while !self.stop.load(Ordering::Acquire) {
            let now = Instant::now();
            if let Some(Datagram { path, bytes }) = state.take_due(now) {
                // An error is ignored: a send to a member that has ended may fail.
                let _ = self.sockets[path.from].send_to(&bytes, state.member_addresses[path.to]);
                continue;
            }
            let wait = state.next_due().map_or(POLL_INTERVAL, |due| due.saturating_duration_since(now));
            state = self.in_flight_changed.wait_timeout(state, wait).unwrap().0;
        }
    }
}

fn bind(address: &SocketAddr) -> UdpSocket {
    let socket = UdpSocket::bind(address).expect("the fault proxy can bind its address");
    socket.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
    socket
}
