//! An upgrade: all that two processes of one proxy tell each other. The older one passes its listening socket
//! on; the link between them then lasts as long as both do, and its end tells either that it is alone.

#[cfg(test)]
mod golden_tests;
mod messages;
mod socket;

pub use messages::{ControlCommand, Share};

use super::deadline_stream::{sleep, DeadlineStream};
use super::dispatcher::EndpointSnapshot;
use super::listener::Listener;
use super::log::log;
use may::io::{CoIo, WaitIo};
use messages::{Inbox, Message, VERSION};
use socket::Place;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// The older process answers within this time, or the newcomer's start has failed.
const GIVEN_WITHIN: Duration = Duration::from_millis(4000);
/// A newcomer that does not serve within this time is told that it may not.
const SERVING_WITHIN: Duration = Duration::from_secs(15);
/// A call that binds both is confirmed within this time, or answered with no. The door owes an answer within 1 s.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(700);
const LOOK_EVERY: Duration = Duration::from_millis(2);
/// How often the older process looks what it can let go of.
const SHARE_EVERY: Duration = Duration::from_millis(20);
/// Waits on the link end at least so often.
const PART: Duration = Duration::from_millis(1000);
const WRITE: Duration = Duration::from_millis(500);

/// The other process of this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProcess {
    /// There is none.
    None,
    /// It starts, and does not accept yet.
    Starting,
    /// It accepts.
    Serving,
    /// It has been asked to stop.
    Leaving,
}

/// What the takeover asks of the process that it is part of.
pub trait Host: Send + Sync + 'static {
    /// The listening socket to pass on, and what is known of nodes; none if this process cannot give.
    fn give(&self) -> Option<(Arc<Listener>, EndpointSnapshot)>;
    /// Makes do with less; what that leaves to the other process.
    fn share(&self, leaving: bool) -> Share;
    /// What this process may use: so much, or all.
    fn allow(&self, share: Option<Share>);
    /// Carries a call out here.
    fn carry_out(&self, order: &ControlCommand) -> Result<(), String>;
    /// The other process is at another point now.
    fn partner(&self, partner: PeerProcess);
}

/// What a newcomer is given.
pub struct Handover {
    /// The listening socket.
    pub socket: TcpListener,
    /// What is known of nodes.
    pub nodes: EndpointSnapshot,
    /// What it may use.
    pub share: Share,
    stream: UnixStream,
    inbox: Inbox,
}

type Wire = DeadlineStream<CoIo<UnixStream>>;

struct Joined {
    wire: Wire,
    partner: PeerProcess,
}

#[derive(Default)]
struct State {
    joined: Option<Joined>,
    orders: u64,
    /// Calls that the other process has not confirmed, and what it said.
    unconfirmed: BTreeMap<u64, Option<Option<String>>>,
    leaving: bool,
    refused: bool,
}

/// One process's side of the link.
pub struct HotRestart {
    place: OnceLock<Place>,
    state: Mutex<State>,
}

/// Asks the process that serves this address, if there is one, to let this one take over. It blocks, and belongs
/// before anything is started.
pub fn ask(clients: SocketAddr) -> Result<Option<Handover>, String> {
    let failed = |error: io::Error| match error.kind() {
        ErrorKind::WouldBlock => "take over: the running process does not answer".to_owned(),
        _ => format!("take over: {error}"),
    };
    let Some(mut stream) = Place::of(clients).and_then(|place| place.connect()).map_err(failed)? else {
        return Ok(None);
    };
    if !socket::is_trusted(&stream) {
        return Err("take over: the running process is another user's".to_owned());
    }
    stream.set_read_timeout(Some(GIVEN_WITHIN)).map_err(failed)?;
    stream.write_all(&Message::Ask(VERSION).line()).map_err(failed)?;
    let (first, socket) = socket::take(&stream).map_err(failed)?;
    // Nothing is passed with a refusal, whose first byte this then is.
    let mut inbox = Inbox(if socket.is_some() { Vec::new() } else { vec![first] });
    let mut room = [0; 4096];
    let message = loop {
        if let Some(message) = inbox.next()? {
            break message;
        }
        match stream.read(&mut room).map_err(failed)? {
            0 => return Err("take over: the running process ended".to_owned()),
            count => inbox.0.extend_from_slice(&room[..count]),
        }
    };
    match (message, socket) {
        (Message::Give(nodes, share), Some(socket)) => {
            Ok(Some(Handover { socket, nodes, share, stream, inbox }))
        }
        (Message::Refuse(why), _) => Err(format!("take over: the running process refuses: {why}")),
        _ => Err("take over: the running process says something else".to_owned()),
    }
}

impl HotRestart {
    /// Nobody has been met yet.
    pub fn new() -> Arc<HotRestart> {
        Arc::new(HotRestart { place: OnceLock::new(), state: Mutex::default() })
    }

    /// Joins the older process, and tells it that this one accepts. An error says that this one may not.
    pub fn join(self: &Arc<Self>, given: Handover, host: Arc<dyn Host>) -> Result<(), String> {
        let socket = CoIo::new(given.stream).map_err(|error| io::Error::from(error).to_string())?;
        let wire = DeadlineStream::new(socket);
        self.with(|state| state.joined = Some(Joined { wire: wire.clone(), partner: PeerProcess::Serving }));
        let (side, reading) = (Arc::clone(self), wire.clone());
        let inbox = given.inbox;
        may::go!(move || side.follow(&reading, inbox, &*host));
        // A link that has ended says that the older process has: then this one serves alone.
        let _ = wire.write(&Message::Serving.line(), Instant::now() + WRITE);
        if self.with(|state| state.refused) {
            Err("take over: the running process refuses by now".to_owned())
        } else {
            Ok(())
        }
    }

    /// Has newcomers led to this process from now on.
    pub fn listen(self: &Arc<Self>, clients: SocketAddr, host: Arc<dyn Host>) {
        let opened = Place::of(clients).and_then(|place| {
            let listener = CoIo::new(place.listen()?)?;
            place.claim()?;
            Ok((place, listener))
        });
        let (place, listener) = match opened {
            Ok(opened) => opened,
            // The proxy serves all the same.
            Err(error) => return log(&format!("no upgrade will be possible: {error}")),
        };
        // Set once: a process listens once.
        let _ = self.place.set(place);
        let side = Arc::clone(self);
        may::go!(move || side.accept(&listener, &host));
    }

    /// Carries a call out at the other process too. An error says why it may not bind there.
    pub fn relay(&self, order: ControlCommand) -> Result<(), String> {
        let sent = self.with(|state| {
            let wire =
                state.joined.as_ref().filter(|joined| joined.partner != PeerProcess::None)?.wire.clone();
            state.orders += 1;
            state.unconfirmed.insert(state.orders, None);
            Some((state.orders, wire))
        });
        let Some((number, wire)) = sent else { return Ok(()) };
        let until = Instant::now() + CONFIRMED_WITHIN;
        let _ = wire.write(&Message::Order(number, order).line(), until);
        loop {
            let (is_alone, said) = self.with(|state| {
                let said = state.unconfirmed.get(&number).cloned().flatten();
                (state.joined.is_none(), said)
            });
            let in_time = Instant::now() < until;
            if said.is_none() && !is_alone && in_time {
                sleep(LOOK_EVERY);
                continue;
            }
            self.with(|state| state.unconfirmed.remove(&number));
            return match said {
                Some(None) => Ok(()),
                Some(Some(why)) => Err(why),
                None if is_alone => Ok(()),
                None => Err("the other process of this proxy has not confirmed it".to_owned()),
            };
        }
    }

    /// This process has been asked to stop. Whether another accepts clients.
    pub fn leave(&self) -> bool {
        let wire = self.with(|state| {
            state.leaving = true;
            state
                .joined
                .as_ref()
                .filter(|joined| joined.partner == PeerProcess::Serving)
                .map(|j| j.wire.clone())
        });
        let Some(wire) = wire else { return false };
        wire.write(&Message::Leaving.line(), Instant::now() + WRITE).is_ok()
    }

    /// The process ends: nothing of it stays behind.
    pub fn end(&self) {
        if let Some(place) = self.place.get() {
            place.leave();
        }
    }

    fn accept(self: &Arc<Self>, listener: &CoIo<UnixListener>, host: &Arc<dyn Host>) {
        loop {
            match listener.inner().accept() {
                Ok((stream, _)) if socket::is_trusted(&stream) => {
                    let Ok(socket) = CoIo::new(stream) else { continue };
                    let (side, host) = (Arc::clone(self), Arc::clone(host));
                    may::go!(move || side.meet(&Arc::new(socket), &host));
                }
                Ok(_) => log("a process of another user asked to take over"),
                Err(error) if error.kind() == ErrorKind::WouldBlock => drop(listener.wait_io()),
                Err(error) => {
                    log(&format!("take over: accept: {error}"));
                    sleep(SHARE_EVERY);
                }
            }
        }
    }

    /// A newcomer has come.
    fn meet(self: &Arc<Self>, socket: &Arc<CoIo<UnixStream>>, host: &Arc<dyn Host>) {
        let wire = DeadlineStream::from(Arc::clone(socket));
        let until = Instant::now() + WRITE;
        let mut inbox = Inbox::default();
        let asked = loop {
            match inbox.next() {
                Ok(Some(message)) => break message,
                Ok(None) if matches!(wire.read(&mut inbox.0, until), Ok(count) if count > 0) => {}
                // It said nothing that counts.
                _ => return,
            }
        };
        if asked != Message::Ask(VERSION) {
            return refuse(&wire, "another version");
        }
        // Taken before anything is given: of two newcomers one is first.
        let is_first = self.with(|state| {
            let free = state.joined.is_none() && !state.leaving;
            if free {
                state.joined = Some(Joined { wire: wire.clone(), partner: PeerProcess::Starting });
            }
            free
        });
        if !is_first {
            return refuse(&wire, "an upgrade or a stop is under way");
        }
        match host.give() {
            Some((listener, nodes)) => {
                let given = Message::Give(nodes, host.share(false)).line();
                let passed = socket::pass(socket.inner(), listener.socket());
                host.partner(PeerProcess::Starting);
                if passed.and_then(|()| wire.write(&given, Instant::now() + GIVEN_WITHIN)).is_ok() {
                    let (side, sharing) = (Arc::clone(self), Arc::clone(host));
                    may::go!(move || side.let_go(&*sharing));
                    self.follow(&wire, inbox, &**host);
                    return;
                }
            }
            None => refuse(&wire, "it does not serve"),
        }
        self.part(&**host);
    }

    /// While there is a newcomer: lets go of what this process does not need.
    fn let_go(&self, host: &dyn Host) {
        let mut told = None;
        loop {
            sleep(SHARE_EVERY);
            let joined = self.with(|state| state.joined.as_ref().map(|j| (j.wire.clone(), state.leaving)));
            let Some((wire, leaving)) = joined else { return };
            let share = host.share(leaving);
            if told != Some(share)
                && wire.write(&Message::Share(share).line(), Instant::now() + WRITE).is_ok()
            {
                told = Some(share);
            }
        }
    }

    /// Does what the other process says until the link ends.
    fn follow(&self, wire: &Wire, mut inbox: Inbox, host: &dyn Host) {
        let met = Instant::now();
        loop {
            match inbox.next() {
                Ok(Some(message)) => self.obey(message, wire, host),
                Ok(None) => match wire.read(&mut inbox.0, Instant::now() + PART) {
                    Ok(0) => break,
                    Ok(_) => {}
                    Err(error) if error.kind() == ErrorKind::TimedOut => {
                        let starting = |joined: &Joined| {
                            joined.partner == PeerProcess::Starting && met.elapsed() > SERVING_WITHIN
                        };
                        if self.with(|state| state.joined.as_ref().is_some_and(starting)) {
                            refuse(wire, "it took too long");
                            break;
                        }
                    }
                    Err(_) => break,
                },
                Err(why) => {
                    log(&format!("take over: {why}"));
                    break;
                }
            }
        }
        self.part(host);
    }

    fn obey(&self, message: Message, wire: &Wire, host: &dyn Host) {
        match message {
            Message::Serving => self.is_at(PeerProcess::Serving, host),
            Message::Leaving => self.is_at(PeerProcess::Leaving, host),
            Message::Share(share) => host.allow(Some(share)),
            Message::Order(number, order) => {
                let done = Message::Done(number, host.carry_out(&order).err());
                // Unconfirmed, the call is answered with no.
                let _ = wire.write(&done.line(), Instant::now() + WRITE);
            }
            Message::Done(number, error) => self.with(|state| {
                state.unconfirmed.entry(number).and_modify(|said| *said = Some(error));
            }),
            Message::Refuse(why) => {
                log(&format!("take over: refused: {why}"));
                self.with(|state| state.refused = true);
            }
            Message::Ask(_) | Message::Give(..) => log("take over: a message out of place"),
        }
    }

    fn is_at(&self, partner: PeerProcess, host: &dyn Host) {
        self.with(|state| state.joined.iter_mut().for_each(|joined| joined.partner = partner));
        host.partner(partner);
    }

    /// The link has ended: this process is alone, and all is its own.
    fn part(&self, host: &dyn Host) {
        if let Some(joined) = self.with(|state| state.joined.take()) {
            joined.wire.shutdown();
        }
        host.allow(None);
        host.partner(PeerProcess::None);
        // A newcomer that died had newcomers led to itself.
        if let Some(Err(error)) = self.place.get().map(Place::claim) {
            log(&format!("no upgrade will be possible: {error}"));
        }
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn refuse(wire: &Wire, why: &str) {
    // It learns that it may not also by the end of the link.
    let _ = wire.write(&Message::Refuse(why.to_owned()).line(), Instant::now() + WRITE);
}
