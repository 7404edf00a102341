//! The consumer side: accepts connections, takes invocations in and answers them, in the order of each
//! connection's commands. One coroutine a connection both reads and writes.

use super::codec::{Parsed, MAX_VALUE};
use super::counters::Counters;
use super::exchange::{Answer, Exchange, IdInUse, Invocation};
use super::guard::{Guard, Guarded};
use super::link::{read_now, sleep};
use super::log::log;
use super::memcache::{self, Command};
use super::memory::{Held, Memory};
use crate::interface::RequestId;
use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Commands that may wait for their answers on one connection; beyond, reading stops.
const MAX_PENDING: usize = 64;
/// Bytes of answers that a consumer may leave unread; beyond, reading stops too.
const MAX_OUTPUT: usize = MAX_VALUE;
/// What an invocation takes beside the values of its command and its answer.
const INVOCATION_SIZE: usize = 4 * 1024;
/// A consumer that would wait for longer is answered within this time all the same.
const LONGEST_WAIT_MS: f64 = 60_000.0;
/// How long accepting rests when it fails or every place is taken.
const REST: Duration = Duration::from_millis(2);
/// Places freed at a time once all are taken.
const EVICTED_AT_ONCE: usize = 8;
/// A consumer that has connected has a command to send: until then it is not yet idle.
const SETTLING: Duration = Duration::from_millis(250);
/// A whole command is owed this long after connecting, or after the first byte of it.
const WHOLE_COMMAND: Duration = Duration::from_millis(2000);
/// A connection may stand this long between commands, and for so many times as long while there is room.
const IDLE: Duration = Duration::from_millis(2200);
const IDLE_WITH_ROOM: u64 = 5;
/// A connection's timer looks after this time at the latest whether it waits for something else now.
const LOOK_AGAIN: Duration = Duration::from_millis(900);
/// An answer must be read, at least in part, within this time.
const UNREAD: Duration = Duration::from_secs(5);
/// After an error that ends a connection: how long, and how much of, what still comes is thrown away. A
/// connection that closes on unread input is reset, and the error may be lost with it.
const LINGER: Duration = Duration::from_millis(500);
const MAX_LINGER: usize = 1 << 20;
/// Reads at a stretch. Then others get their turn: one that sends at full speed must not keep the worker.
const TURN: usize = 8;
const BETWEEN_TURNS: Duration = Duration::from_millis(1);
/// How long a connection rests after commands that were no good, lest sending them again at once pay.
const AFTER_ERRORS: Duration = Duration::from_millis(20);

/// The consumer side of one proxy.
pub struct ConsumerSide {
    exchange: Arc<Exchange>,
    counters: Arc<Counters>,
    memory: Arc<Memory>,
    most: usize,
    started: Instant,
    listener: TcpListener,
    connections: Mutex<BTreeMap<u64, Arc<Shared>>>,
    listening: AtomicBool,
    closing: AtomicBool,
}

/// What others may see and do of a connection.
struct Shared {
    waker: WaitIoWaker,
    /// Since when it has stood between commands, in ms since the start; 0 while it has not.
    idle_since: AtomicU64,
    /// Whether it has sent a whole command.
    proven: AtomicBool,
    /// When its present wait has lasted too long, in ms since the start; 0 while nothing is due of it.
    due: AtomicU64,
    late: AtomicBool,
    evicted: AtomicBool,
}

/// A command whose answer has not been written.
struct Pending {
    id: Option<RequestId>,
    words: Arc<Mutex<Option<Vec<u8>>>>,
    held: Option<Held>,
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Commands are read and answered.
    Open,
    /// Nothing more is understood; it closes once all is answered.
    Ending,
    /// All is said, and no more will be; what still comes is thrown away.
    Lingering,
}

impl ConsumerSide {
    /// Listens; at most `most` connections are held.
    pub fn start(
        exchange: Arc<Exchange>,
        counters: Arc<Counters>,
        memory: Arc<Memory>,
        listen: SocketAddr,
        most: usize,
    ) -> io::Result<Arc<ConsumerSide>> {
        let listener = TcpListener::bind(listen)?;
        let side = Arc::new(ConsumerSide {
            exchange,
            counters,
            memory,
            most,
            started: Instant::now(),
            listener,
            connections: Mutex::default(),
            listening: AtomicBool::new(true),
            closing: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&side);
        may::go!(move || accepting.accept());
        Ok(side)
    }

    /// From now on none is accepted, and connections close as soon as they stand between commands.
    pub fn close_when_idle(&self) {
        self.listening.store(false, Ordering::Release);
        // Wakes the coroutine that accepts. An error says that it listens no more.
        let _ = SockRef::from(self.listener.inner()).shutdown(Shutdown::Both);
        self.closing.store(true, Ordering::Release);
        self.with(|connections| connections.values().for_each(|shared| shared.waker.wakeup()));
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Connections held.
    pub fn open(&self) -> usize {
        self.with(|connections| connections.len())
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
            while self.open() >= self.most {
                self.evict();
                sleep(REST);
            }
        }
    }

    /// Milliseconds since the start, never 0.
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// Asks some connections between commands to close: first those that never sent a whole one, then those
    /// that have been idle longest.
    fn evict(&self) {
        let settled = self.now().saturating_sub(SETTLING.as_millis() as u64);
        let evicted = self.with(|connections| {
            let idle = connections.values().filter_map(|shared| {
                let since = shared.idle_since.load(Ordering::Acquire);
                let proven = shared.proven.load(Ordering::Acquire);
                let may_go = since > 0 && !shared.evicted.load(Ordering::Acquire);
                (may_go && (proven || since < settled)).then_some((proven, since, shared))
            });
            let mut idle: Vec<_> = idle.collect();
            idle.sort_by_key(|(proven, since, _)| (*proven, *since));
            idle.into_iter().take(EVICTED_AT_ONCE).map(|(.., shared)| Arc::clone(shared)).collect::<Vec<_>>()
        });
        for shared in evicted {
            self.counters.consumers_evicted.add();
            shared.evicted.store(true, Ordering::Release);
            shared.waker.wakeup();
        }
    }

    fn hold(self: &Arc<Self>, number: u64, stream: TcpStream) {
        // A consumer that has gone already is noticed when it is read from.
        let _ = stream.set_nodelay(true);
        let shared = Arc::new(Shared {
            waker: stream.waker(),
            idle_since: AtomicU64::new(self.now()),
            proven: AtomicBool::new(false),
            due: AtomicU64::new(self.now() + WHOLE_COMMAND.as_millis() as u64),
            late: AtomicBool::new(false),
            evicted: AtomicBool::new(false),
        });
        self.with(|connections| connections.insert(number, Arc::clone(&shared)));
        let served = Guarded::default();
        let (side, waiting) = (Arc::clone(self), Arc::clone(&shared));
        served.by(move |guard| side.time(&waiting, &guard));
        let side = Arc::clone(self);
        may::go!(move || {
            let mut connection = Connection {
                side: &side,
                number,
                shared,
                stream,
                input: Vec::new(),
                partial_since: None,
                input_held: None,
                output: Vec::new(),
                output_held: Vec::new(),
                pending: VecDeque::new(),
                stage: Stage::Open,
                lingers_until: 0,
                lingered: 0,
                short: false,
                errors: false,
                _served: served,
            };
            // An error says that the consumer has gone; what it left behind ends with the connection.
            let _ = connection.serve();
        });
    }

    /// Times the waits of one connection, one after the other, as long as it is served.
    fn time(&self, shared: &Shared, guard: &Guard) {
        let mut left = WHOLE_COMMAND;
        while guard.sleep(left) {
            let (due, now) = (shared.due.load(Ordering::Acquire), self.now());
            if due > 0 && due <= now {
                shared.late.store(true, Ordering::Release);
                shared.waker.wakeup();
            }
            // What is due may be moved to an earlier time meanwhile.
            left = if due > now { Duration::from_millis(due - now).min(LOOK_AGAIN) } else { LOOK_AGAIN };
        }
    }

    fn with<T>(&self, act: impl FnOnce(&mut BTreeMap<u64, Arc<Shared>>) -> T) -> T {
        act(&mut self.connections.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

struct Connection<'a> {
    side: &'a Arc<ConsumerSide>,
    number: u64,
    shared: Arc<Shared>,
    stream: TcpStream,
    input: Vec<u8>,
    /// When the first byte of a command came that is not yet whole.
    partial_since: Option<u64>,
    /// What such a command holds of the memory, if it is large.
    input_held: Option<Held>,
    output: Vec<u8>,
    /// What the answers in `output` hold of the memory.
    output_held: Vec<Held>,
    pending: VecDeque<Pending>,
    stage: Stage,
    /// Until when what comes is thrown away, and how much of it was.
    lingers_until: u64,
    lingered: usize,
    /// Whether a command waits for memory.
    short: bool,
    /// Whether a command was no good since the last rest.
    errors: bool,
    _served: Guarded,
}

impl Connection<'_> {
    fn serve(&mut self) -> io::Result<()> {
        loop {
            let (mut turn, mut active) = (0, false);
            loop {
                let was_full = self.is_full() || self.short;
                let more = self.read()?;
                self.understand();
                active |= self.write()? || more;
                // What was left unread for want of room is not told of again by the poller.
                let is_full = self.is_full() || (self.short && !self.is_idle());
                let has_room_again = was_full && !is_full;
                turn += 1;
                if std::mem::take(&mut self.errors) {
                    sleep(AFTER_ERRORS);
                } else if !more && !has_room_again {
                    break;
                } else if turn % TURN == 0 {
                    sleep(BETWEEN_TURNS);
                }
                // Who never stops sending would never give its place up.
                if self.must_close() && self.is_idle() {
                    return Ok(());
                }
            }
            if self.is_over(active) {
                return Ok(());
            }
            self.stream.wait_io();
        }
    }

    /// Whether nothing is left to do; moves it on to its next stage. `active` tells whether anything came or
    /// went since it last waited.
    fn is_over(&mut self, active: bool) -> bool {
        let late = self.shared.late.swap(false, Ordering::AcqRel) && self.is_due();
        if late && !active && !self.may_stay() {
            // Half a command is owed an error; who has not read its answers is past one.
            if self.stage != Stage::Open || !self.is_idle() || self.input.is_empty() {
                self.side.counters.consumers_late.add();
                return true;
            }
            self.refuse("CLIENT_ERROR no whole command in time");
            // What does not go out at once is not waited for.
            let _ = self.write();
            self.stage = Stage::Ending;
        }
        let idle = self.is_idle();
        // Half a command has not been taken: it does not keep a connection.
        if idle && self.must_close() {
            return true;
        }
        if idle && self.stage == Stage::Ending {
            // An error says that the consumer has gone.
            let _ = self.stream.shutdown(Shutdown::Write);
            self.stage = Stage::Lingering;
            self.lingers_until = self.side.now() + LINGER.as_millis() as u64;
        }
        let since = if idle { self.idle_since() } else { 0 };
        self.shared.idle_since.store(since, Ordering::Release);
        self.set_due(active);
        false
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.output.is_empty()
    }

    /// Since when it has been idle, as it now is; half a command does not make it young again.
    fn idle_since(&self) -> u64 {
        match self.shared.idle_since.load(Ordering::Acquire) {
            0 => self.side.now(),
            known => known,
        }
    }

    /// Whether it stands between commands for longer than it might, but keeps no place from another.
    fn may_stay(&mut self) -> bool {
        let since = self.shared.idle_since.load(Ordering::Acquire);
        let limit = IDLE_WITH_ROOM * IDLE.as_millis() as u64;
        let stays = self.stage == Stage::Open
            && self.is_idle()
            && self.input.is_empty()
            && self.shared.proven.load(Ordering::Acquire)
            && self.side.open() * 2 < self.side.most
            && self.side.now() < since + limit;
        if stays {
            self.shared.due.store(self.side.now() + IDLE.as_millis() as u64, Ordering::Release);
        }
        stays
    }

    fn is_due(&self) -> bool {
        let due = self.shared.due.load(Ordering::Acquire);
        due > 0 && due <= self.side.now()
    }

    /// Says until when what the connection waits for now may last.
    fn set_due(&mut self, active: bool) {
        let (now, due) = (self.side.now(), self.shared.due.load(Ordering::Acquire));
        let after = |since: u64, time: Duration| since + time.as_millis() as u64;
        let idle = self.is_idle();
        let due = match (self.stage, self.partial_since) {
            (Stage::Lingering, _) => self.lingers_until,
            _ if !self.output.is_empty() && (active || due == 0) => after(now, UNREAD),
            _ if !self.output.is_empty() => due,
            // Before its first whole command a connection gets no more time, whatever it sends.
            _ if !self.shared.proven.load(Ordering::Acquire) => due,
            (Stage::Open, Some(since)) if idle => after(since, WHOLE_COMMAND),
            (Stage::Open, None) if idle && !active => due,
            (Stage::Open, None) if idle => after(now, IDLE),
            _ => 0,
        };
        self.shared.due.store(due, Ordering::Release);
    }

    fn must_close(&self) -> bool {
        self.side.closing.load(Ordering::Acquire) || self.shared.evicted.load(Ordering::Acquire)
    }

    /// Whether reading rests until answers have been written.
    fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING || self.output.len() >= MAX_OUTPUT
    }

    /// Reads what is there; whether there may be more.
    fn read(&mut self) -> io::Result<bool> {
        if self.stage == Stage::Ending || self.is_full() || self.short || self.lingered > MAX_LINGER {
            return Ok(false);
        }
        match read_now(self.stream.inner(), &mut self.input) {
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) if self.stage == Stage::Lingering => {
                self.lingered += count;
                self.input.clear();
                Ok(true)
            }
            Ok(_) => Ok(true),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn understand(&mut self) {
        let mut at = 0;
        while self.stage == Stage::Open && !self.is_full() {
            match memcache::command(&self.input[at..]) {
                Parsed::Incomplete => break,
                Parsed::Whole(command, used) => {
                    // A pipeline waits while memory is short: its own answers make room.
                    self.short = !self.obey(command);
                    if self.short {
                        break;
                    }
                    at += used;
                    self.shared.proven.store(true, Ordering::Release);
                    self.shared.idle_since.store(0, Ordering::Release);
                }
                Parsed::Malformed(why, skip) => {
                    self.refuse(why);
                    if skip.is_none() {
                        self.stage = Stage::Ending;
                    }
                    at += skip.unwrap_or_default();
                }
            }
        }
        self.input.drain(..at);
        if self.stage != Stage::Open {
            self.input = Vec::new();
        }
        if at > 0 || self.input.is_empty() {
            self.partial_since = None;
        }
        if self.input.is_empty() {
            // A large value leaves no room behind: connections are many and stay.
            if self.input.capacity() > INVOCATION_SIZE {
                self.input = Vec::new();
            }
            return self.input_held = None;
        }
        self.partial_since.get_or_insert(self.side.now());
        if self.input.len() > INVOCATION_SIZE && self.input_held.is_none() {
            self.input_held = self.side.memory.hold(MAX_VALUE);
            if self.input_held.is_none() {
                self.refuse("SERVER_ERROR out of memory");
                (self.stage, self.input) = (Stage::Ending, Vec::new());
            }
        }
    }

    /// Answers a command that is no good with an error.
    fn refuse(&mut self, why: &str) {
        self.side.counters.taken_malformed.add();
        self.errors = true;
        self.say(format!("{why}\r\n"));
    }

    /// Does what a command says; false if there is no memory for it now.
    fn obey(&mut self, command: Command) -> bool {
        match command {
            Command::Noop => self.say("MN\r\n".to_owned()),
            Command::Version => self.say(format!("VERSION pinetrail {}\r\n", env!("CARGO_PKG_VERSION"))),
            Command::Stats => {
                let list = self.side.counters.list();
                let lines: String = list.iter().map(|(name, n)| format!("STAT {name} {n}\r\n")).collect();
                self.say(lines + "END\r\n");
            }
            Command::Quit => self.stage = Stage::Ending,
            Command::Invoke(key, opaque, labels, value) => {
                let size = value.as_ref().map_or(0, Vec::len) + MAX_VALUE + INVOCATION_SIZE;
                let held = self.side.memory.hold(size);
                if held.is_none() && !self.is_idle() {
                    return false;
                }
                match (invocation(&self.side.exchange, key, opaque, labels, value), held) {
                    (Err(why), _) => self.refuse(&format!("CLIENT_ERROR {why}")),
                    (Ok(_), None) => {
                        self.side.counters.rejected_for_memory.add();
                        self.say("SERVER_ERROR busy\r\n".to_owned());
                    }
                    (Ok(invocation), Some(held)) => self.invoke(invocation, held),
                }
            }
        }
        true
    }

    fn say(&mut self, words: String) {
        let words = Arc::new(Mutex::new(Some(words.into_bytes())));
        self.pending.push_back(Pending { id: None, words, held: None });
    }

    fn invoke(&mut self, invocation: Invocation, held: Held) {
        let words = Arc::new(Mutex::new(None));
        let (slot, shared) = (Arc::clone(&words), Arc::clone(&self.shared));
        let opaque = invocation.opaque.clone();
        let reply = move |answer: Answer| {
            let said = memcache::answer(&opaque, &answer);
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(said);
            shared.waker.wakeup();
        };
        match self.side.exchange.take(invocation, Box::new(reply)) {
            Ok(id) => self.pending.push_back(Pending { id: Some(id), words, held: Some(held) }),
            // Two answers under one id could not be told apart.
            Err(IdInUse) => self.refuse("CLIENT_ERROR the id is in use"),
        }
    }

    /// Writes the answers that are due, in the order of their commands, as far as that goes at once;
    /// whether anything went out.
    fn write(&mut self) -> io::Result<bool> {
        while let Some(first) = self.pending.front() {
            let words = first.words.lock().unwrap_or_else(PoisonError::into_inner).take();
            let Some(words) = words else { break };
            self.output.extend(words);
            self.output_held.extend(self.pending.pop_front().and_then(|pending| pending.held));
        }
        let mut progress = false;
        while !self.output.is_empty() {
            match self.stream.inner().write(&self.output) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.output.drain(..count);
                    progress = true;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(progress),
                Err(error) => return Err(error),
            }
        }
        self.output_held.clear();
        if self.output.capacity() > INVOCATION_SIZE {
            self.output = Vec::new();
        }
        Ok(progress)
    }
}

impl Drop for Connection<'_> {
    /// Also when its coroutine panics: nobody waits for what is still out, and its place is free.
    fn drop(&mut self) {
        self.side.with(|connections| connections.remove(&self.number));
        for id in self.pending.iter().filter_map(|pending| pending.id) {
            self.side.exchange.leave(id);
        }
    }
}

/// A command's names and values in the exchange's terms, or what is wrong with them.
fn invocation(
    exchange: &Exchange,
    key: String,
    opaque: String,
    labels: Vec<(String, String)>,
    value: Option<Vec<u8>>,
) -> Result<Invocation, &'static str> {
    let of = |name: &str| labels.iter().find(|label| label.0 == name).map(|label| label.1.as_str());
    // A name that comes twice says two things.
    if labels.iter().enumerate().any(|(at, label)| labels[..at].iter().any(|other| other.0 == label.0)) {
        return Err("a name given twice");
    }
    let names = exchange.names();
    let class = of("c").and_then(|name| names.class(name)).ok_or("unknown class")?;
    // Without its key no provider can tell a repeat from a second write.
    if value.is_some() && names.is_keyed(class) && of("k").map_or(true, str::is_empty) {
        return Err("no key for a keyed write");
    }
    let tenant = match of("t") {
        Some(name) => names.tenant(name).ok_or("unknown tenant")?,
        None => 0,
    };
    let figure = |text: &str| {
        let plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        text.parse().ok().filter(|figure: &f64| plain && figure.is_finite() && *figure >= 0.0)
    };
    // Timers last as long as the deadline: none may pile up for good.
    let budget = of("d").and_then(figure).ok_or("no deadline")?.min(LONGEST_WAIT_MS);
    let hint = match of("h") {
        Some(text) => Some(figure(text).ok_or("bad hint")? / 1000.0),
        None => None,
    };
    let repeat = of("r") == Some("1");
    Ok(Invocation { opaque, key, class, tenant, budget, hint, repeat, labels, value })
}
