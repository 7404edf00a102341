//! A relay for datagrams on every directed way between the members of a fleet. A member is known to the others by the
//! address of its relay, which tells by the sender's own address whose way a datagram takes: what members tell each
//! other of addresses leads through the relays as well.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What happens on one way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathFaults {
    /// Nothing passes.
    pub partitioned: bool,
    /// The share that is lost.
    pub loss: f64,
    /// The share that arrives twice.
    pub duplicated: f64,
    /// The share of which a byte arrives damaged.
    pub corrupted: f64,
    /// How long it takes, in ms: at least and at the most. What takes differently long is reordered.
    pub delay: (u64, u64),
    /// So many bytes a second pass on a connection; none for as many as come.
    pub throttle: Option<u64>,
}

const WHOLE: PathFaults = PathFaults {
    partitioned: false,
    loss: 0.0,
    duplicated: 0.0,
    corrupted: 0.0,
    delay: (0, 0),
    throttle: None,
};

/// How many datagrams a way has carried and swallowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Carried {
    /// Passed on.
    pub passed: u64,
    /// Lost on the way.
    pub lost: u64,
}

struct State {
    real: Vec<SocketAddr>,
    ways: BTreeMap<(usize, usize), PathFaults>,
    carried: BTreeMap<(usize, usize), Carried>,
    rng: StdRng,
    /// What is under way: when it arrives, in the order of sending.
    later: BTreeMap<(Instant, u64), (usize, usize, Vec<u8>)>,
    count: u64,
}

struct Shared {
    hubs: Vec<UdpSocket>,
    state: Mutex<State>,
    due: Condvar,
    stop: AtomicBool,
}

/// The relays of one fleet.
pub struct FaultProxies {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

const LOOK: Duration = Duration::from_millis(20);

impl FaultProxies {
    /// Relays at these addresses, for members whose own sockets are at those.
    pub fn new(at: &[SocketAddr], real: &[SocketAddr], seed: u64) -> FaultProxies {
        let open = |at: &SocketAddr| {
            let hub = UdpSocket::bind(at).expect("the relay's address is free");
            hub.set_read_timeout(Some(LOOK)).unwrap();
            hub
        };
        let state = State {
            real: real.to_vec(),
            ways: BTreeMap::new(),
            carried: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            later: BTreeMap::new(),
            count: 0,
        };
        let hubs: Vec<UdpSocket> = at.iter().map(open).collect();
        let shared = Arc::new(Shared {
            hubs,
            state: Mutex::new(state),
            due: Condvar::new(),
            stop: AtomicBool::new(false),
        });
        let mut threads: Vec<JoinHandle<()>> = (0..at.len())
            .map(|to| {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.take(to))
            })
            .collect();
        let delivering = Arc::clone(&shared);
        threads.push(thread::spawn(move || delivering.deliver()));
        FaultProxies { shared, threads }
    }

    /// A member's socket is somewhere else now.
    pub fn moved(&self, member: usize, real: SocketAddr) {
        self.shared.state.lock().unwrap().real[member] = real;
    }

    /// Changes a way.
    pub fn path(&self, from: usize, to: usize, change: impl FnOnce(&mut PathFaults)) {
        change(self.shared.state.lock().unwrap().ways.entry((from, to)).or_insert(WHOLE));
    }

    /// Changes every way.
    pub fn all(&self, change: impl Fn(&mut PathFaults)) {
        let members = self.shared.hubs.len();
        (0..members).for_each(|from| (0..members).for_each(|to| self.path(from, to, &change)));
    }

    /// How ways are, for connections that take them too.
    pub(crate) fn look(&self) -> PathView {
        PathView(Arc::clone(&self.shared))
    }

    /// What a way has carried.
    pub fn carried(&self, from: usize, to: usize) -> Carried {
        self.shared.state.lock().unwrap().carried.get(&(from, to)).copied().unwrap_or_default()
    }
}

/// Looks at ways.
#[derive(Clone)]
pub(crate) struct PathView(Arc<Shared>);

impl PathView {
    /// How a way is now.
    pub(crate) fn path(&self, from: usize, to: usize) -> PathFaults {
        self.0.state.lock().unwrap().ways.get(&(from, to)).copied().unwrap_or(WHOLE)
    }

    /// Whether the relays are gone.
    pub(crate) fn is_over(&self) -> bool {
        self.0.stop.load(Ordering::Acquire)
    }
}

impl Drop for FaultProxies {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Release);
        self.shared.due.notify_all();
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

impl Shared {
    /// Takes what is sent to one member.
    fn take(&self, to: usize) {
        let mut room = vec![0; 65_536];
        while !self.stop.load(Ordering::Acquire) {
            let Ok((count, from)) = self.hubs[to].recv_from(&mut room) else { continue };
            let mut state = self.state.lock().unwrap();
            // A datagram from nowhere is on no way.
            let Some(from) = state.real.iter().position(|real| *real == from) else { continue };
            let way = state.ways.get(&(from, to)).copied().unwrap_or(WHOLE);
            let carried = state.carried.entry((from, to)).or_default();
            if way.partitioned {
                carried.lost += 1;
                continue;
            }
            if state.rng.random_bool(way.loss) {
                state.carried.entry((from, to)).or_default().lost += 1;
                continue;
            }
            let copies = if state.rng.random_bool(way.duplicated) { 2 } else { 1 };
            for _ in 0..copies {
                let mut bytes = room[..count].to_vec();
                if count > 0 && state.rng.random_bool(way.corrupted) {
                    let at = state.rng.random_range(0..count);
                    bytes[at] ^= 1 << state.rng.random_range(0..8);
                }
                let delay = Duration::from_millis(state.rng.random_range(way.delay.0..=way.delay.1));
                state.count += 1;
                let at = (Instant::now() + delay, state.count);
                state.later.insert(at, (from, to, bytes));
            }
            self.due.notify_all();
        }
    }

    /// Passes on what is due.
    fn deliver(&self) {
        let mut state = self.state.lock().unwrap();
        while !self.stop.load(Ordering::Acquire) {
            let next = state.later.keys().next().map(|(at, _)| *at);
            let now = Instant::now();
            match next {
                Some(at) if at <= now => {
                    let Some((_, (from, to, bytes))) = state.later.pop_first() else { continue };
                    // What was under way when the way was cut does not arrive.
                    if state.ways.get(&(from, to)).is_some_and(|way| way.partitioned) {
                        state.carried.entry((from, to)).or_default().lost += 1;
                        continue;
                    }
                    state.carried.entry((from, to)).or_default().passed += 1;
                    let real = state.real[to];
                    // Who has gone does not take it; it comes from the sender's relay.
                    let _ = self.hubs[from].send_to(&bytes, real);
                }
                Some(at) => state = self.due.wait_timeout(state, at - now).unwrap().0,
                None => state = self.due.wait_timeout(state, LOOK).unwrap().0,
            }
        }
    }
}
