//! All links of one process.

use crate::frame::{Frame, Handshake, VERSION};
use crate::network::Network;
use crate::process::Process;
use crate::send_queue::SendQueue;
use crate::{accept, dial};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Within which times links do what they do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// A connection and its greeting.
    pub handshake_timeout: Duration,
    /// Something is written at least so often.
    pub heartbeat_interval: Duration,
    /// A link on which nothing comes, or nothing can be written, for so long ends.
    pub silence_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            handshake_timeout: Duration::from_millis(1000),
            heartbeat_interval: Duration::from_millis(400),
            silence_timeout: Duration::from_millis(1600),
        }
    }
}

/// What a transport is told at its start.
#[derive(Clone, Debug)]
pub struct TransportConfig {
    /// The fleet's name; connections with processes of another fleet are refused.
    pub fleet: String,
    /// This process.
    pub process: Process,
    /// The address of this machine from which peers are dialled; any, if it is unspecified.
    pub local_address: IpAddr,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// Seeds the jitter between attempts to dial.
    pub seed: u64,
}

/// A process that is to be dialled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Which.
    pub process: Process,
    /// Where its links are.
    pub address: SocketAddr,
}

/// Who hears what others say. It is called on the thread of the links, and must not wait.
pub trait MessageHandler: Send + Sync + 'static {
    /// A peer has said something; what it is answered, if it asked.
    fn on_message(&self, from: &Process, body: &[u8]) -> Option<Vec<u8>>;
    /// There is a link with a peer that holds this seat, if any.
    fn on_connected(&self, peer: &Process, seat: Option<u8>);
    /// There is no link with it any more.
    fn on_disconnected(&self, peer: &Process);
    /// A peer dropped something that it had to say: ask it for what counts.
    fn on_resync_needed(&self, peer: &Process);
    /// A link that was dialled ended, or never came to be.
    fn on_connection_failed(&self, peer: &Process, why: &io::Error);
}

/// Who waits for an answer.
type Answer = oneshot::Sender<Option<Vec<u8>>>;

/// One link that is up.
pub(crate) struct PeerConnection {
    pub hello: Handshake,
    pub mailbox: SendQueue,
    asked: Mutex<(u64, BTreeMap<u64, Answer>)>,
    end: Notify,
}

impl PeerConnection {
    pub(crate) fn new(hello: Handshake) -> PeerConnection {
        PeerConnection { hello, mailbox: SendQueue::default(), asked: Mutex::default(), end: Notify::new() }
    }

    pub(crate) fn answered(&self, number: u64, body: Option<Vec<u8>>) {
        if let Some(answer) = lock(&self.asked).1.remove(&number) {
            // Who asked may not wait any longer.
            let _ = answer.send(body);
        }
    }

    pub(crate) fn end(&self) {
        self.mailbox.close();
        lock(&self.asked).1.clear();
        self.end.notify_one();
    }

    pub(crate) async fn ended(&self) {
        self.end.notified().await;
    }

    fn request(&self, body: Vec<u8>) -> (u64, oneshot::Receiver<Option<Vec<u8>>>) {
        let (answer, answered) = oneshot::channel();
        let number = {
            let mut asked = lock(&self.asked);
            asked.0 += 1;
            let number = asked.0;
            asked.1.insert(number, answer);
            number
        };
        if !self.mailbox.put(&Frame::Ask(number, body)) {
            lock(&self.asked).1.remove(&number);
        }
        (number, answered)
    }
}

#[derive(Default)]
struct State {
    seat: Option<u8>,
    live: BTreeMap<Process, Arc<PeerConnection>>,
    wanted: BTreeMap<Process, SocketAddr>,
    dialling: BTreeSet<(Process, SocketAddr)>,
}

/// The links of one process.
pub struct PeerTransport<N: Network> {
    pub(crate) net: N,
    pub(crate) fleet: String,
    pub(crate) me: Process,
    pub(crate) times: Timing,
    pub(crate) from: IpAddr,
    heard: OnceLock<Arc<dyn MessageHandler>>,
    state: Mutex<State>,
    rng: Mutex<StdRng>,
}

impl<N: Network> PeerTransport<N> {
    /// A transport without connections: [`PeerTransport::listen`] and [`PeerTransport::set_peers`]
    /// bring them, once [`PeerTransport::set_handler`] was called.
    pub fn new(net: N, config: TransportConfig) -> Arc<PeerTransport<N>> {
        Arc::new(PeerTransport {
            net,
            fleet: config.fleet,
            me: config.process,
            times: config.timing,
            from: config.local_address,
            heard: OnceLock::new(),
            state: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(config.seed)),
        })
    }

    /// Who hears what others say, from now on; the first that is told counts.
    pub fn set_handler(&self, heard: Arc<dyn MessageHandler>) {
        let _ = self.heard.set(heard);
    }

    /// Takes connections in at this address, until what this returns is aborted.
    pub async fn listen(self: &Arc<Self>, at: SocketAddr) -> io::Result<JoinHandle<()>> {
        let listener = self.net.bind(at).await?;
        Ok(tokio::spawn(accept::accept(Arc::clone(self), listener)))
    }

    /// These are to be dialled from now on, and no others.
    pub fn set_peers(self: &Arc<Self>, peers: Vec<Peer>) {
        let mut state = self.state();
        state.wanted = peers.iter().map(|peer| (peer.process.clone(), peer.address)).collect();
        for peer in peers.into_iter().filter(|peer| peer.process != self.me) {
            if state.dialling.insert((peer.process.clone(), peer.address)) {
                tokio::spawn(dial::dial(Arc::clone(self), peer));
            }
        }
    }

    /// From now on this process holds this seat: links that are up end, and say so when they are up again.
    pub fn set_voter_id(&self, seat: Option<u8>) {
        let live: Vec<Arc<PeerConnection>> = {
            let mut state = self.state();
            if std::mem::replace(&mut state.seat, seat) == seat {
                return;
            }
            state.live.values().cloned().collect()
        };
        for live in &live {
            live.end();
        }
    }

    /// Says something to a process; false if that is dropped, or there is no link.
    pub fn send(&self, to: &Process, body: Vec<u8>) -> bool {
        let live = self.state().live.get(to).cloned();
        live.is_some_and(|live| live.mailbox.put(&Frame::Tell(body)))
    }

    /// Says something to all that are linked.
    pub fn broadcast(&self, body: &[u8]) {
        let live: Vec<Arc<PeerConnection>> = self.state().live.values().cloned().collect();
        for live in live {
            // What does not fit is made up for.
            live.mailbox.put(&Frame::Tell(body.to_vec()));
        }
    }

    /// Asks a process; none if it has not answered in time, or has no answer.
    pub async fn request(&self, to: &Process, body: Vec<u8>, within: Duration) -> Option<Vec<u8>> {
        let live = self.state().live.get(to).cloned()?;
        let (number, answered) = live.request(body);
        let answer = timeout(within, answered).await;
        if answer.is_err() {
            live.answered(number, None);
        }
        answer.ok()?.ok()?
    }

    /// Who holds this seat: of several, who started last.
    pub fn voter_process(&self, seat: u8) -> Option<Process> {
        let state = self.state();
        let holds = state.live.values().filter(|live| live.hello.seat == Some(seat));
        holds.map(|live| &live.hello.from).max_by_key(|process| process.start).cloned()
    }

    /// All that are linked.
    pub fn connected_peers(&self) -> Vec<Process> {
        self.state().live.keys().cloned().collect()
    }

    /// Whether there is a link with a process.
    pub fn is_connected(&self, process: &Process) -> bool {
        self.state().live.contains_key(process)
    }

    pub(crate) fn hello(&self) -> Handshake {
        let seat = self.state().seat;
        Handshake { version: VERSION, fleet: self.fleet.clone(), from: self.me.clone(), seat }
    }

    pub(crate) fn heard(&self) -> &dyn MessageHandler {
        &**self.heard.get().expect("links begin after heard_by")
    }

    pub(crate) fn arrived(&self, live: &Arc<PeerConnection>) {
        let hello = &live.hello;
        let before = self.state().live.insert(hello.from.clone(), Arc::clone(live));
        if let Some(before) = &before {
            before.end();
        }
        self.heard().on_connected(&hello.from, hello.seat);
    }

    pub(crate) fn left(&self, live: &Arc<PeerConnection>) {
        let gone = {
            let mut state = self.state();
            let is_this = state.live.get(&live.hello.from).is_some_and(|now| Arc::ptr_eq(now, live));
            is_this.then(|| state.live.remove(&live.hello.from)).is_some()
        };
        if gone {
            self.heard().on_disconnected(&live.hello.from);
        }
    }

    pub(crate) fn wants(&self, peer: &Peer) -> bool {
        self.state().wanted.get(&peer.process) == Some(&peer.address)
    }

    pub(crate) fn dials_no_more(&self, peer: &Peer) {
        self.state().dialling.remove(&(peer.process.clone(), peer.address));
    }

    pub(crate) fn with_rng<T>(&self, act: impl FnOnce(&mut StdRng) -> T) -> T {
        act(&mut lock(&self.rng))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}
