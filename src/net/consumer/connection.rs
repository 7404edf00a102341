//! One consumer connection: reads commands, hands invocations in and writes answers, in the order of the
//! commands.

use super::invocation::invocation;
use super::{Away, ConsumerSide, Shared};
use crate::interface::RequestId;
use crate::net::codec::{Parsed, MAX_VALUE};
use crate::net::exchange::{Answer, Invocation, NotTaken, Reply};
use crate::net::flow::{Sink, Taken, WINDOW};
use crate::net::link::{has_hung_up, read_now, sleep};
use crate::net::listen::Stream;
use crate::net::memcache::{self, Command};
use crate::net::memory::Held;
use may::io::WaitIo;
use pinetrail_places::{Id, Phase, Reason, Seq};
use pinetrail_rulebook::Admission;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::net::Shutdown;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Commands that may wait for their answers on one connection; beyond, reading stops.
const MAX_PENDING: usize = 64;
/// Bytes of answers that a consumer may leave unread; beyond, reading stops too.
const MAX_OUTPUT: usize = MAX_VALUE;
/// What an invocation takes beside the values of its command and its answer.
const INVOCATION_SIZE: usize = 4 * 1024;
/// After an error that ends a connection so much of what still comes is thrown away. A connection that closes
/// on unread input is reset, and the error may be lost with it.
const MAX_LINGER: usize = 1 << 20;
/// Reads at a stretch. Then others get their turn: one that sends at full speed must not keep the worker.
const TURN: usize = 8;
const BETWEEN_TURNS: Duration = Duration::from_millis(1);
/// How long a connection rests after commands that were no good, lest sending them again at once pay.
const AFTER_ERRORS: Duration = Duration::from_millis(20);

/// While a change of the fleet's policy is decided an invocation is handed in again so often.
const UNTIL_SOON: Duration = Duration::from_millis(1);

/// Why an invocation is not taken in.
enum Refused {
    /// It is no good.
    Bad(&'static str),
    /// This process may not admit requests now; in how many ms to come back.
    Fenced(u64),
    /// Its consumer has gone.
    Gone,
}

/// An answer in the consumer's protocol, and the value behind it if that flows.
type Said = (Vec<u8>, Option<Sink>);

/// A command whose answer has not been written.
struct Pending {
    id: Option<RequestId>,
    words: Arc<Mutex<Option<Said>>>,
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

pub struct Connection<'a> {
    side: &'a Arc<ConsumerSide>,
    number: Id,
    shared: Arc<Shared>,
    stream: Stream,
    input: Vec<u8>,
    /// Whether anything came, and whether a whole command did.
    heard: bool,
    proven: bool,
    /// What such a command holds of the memory, if it is large.
    input_held: Option<Held>,
    output: Vec<u8>,
    /// The value of the first that is pending, while it flows.
    flowing: Option<Sink>,
    /// Whether that broke off: the connection ends once what was said before has gone out.
    broken: bool,
    /// What the answers in `output` hold of the memory.
    output_held: Vec<Held>,
    pending: VecDeque<Pending>,
    stage: Stage,
    /// What it holds its place for, as last said, and which stay in that phase this is.
    stay: (Phase, Seq),
    /// How much of what came was thrown away.
    lingered: usize,
    /// Whether a command waits for memory.
    short: bool,
    /// Whether whole commands that have come may still have to be obeyed.
    behind: bool,
    /// Whether a command was no good since the last rest.
    errors: bool,
    /// When the last answer had gone out, by the clock of the places.
    answered: u64,
}

impl<'a> Connection<'a> {
    pub fn new(side: &'a Arc<ConsumerSide>, number: Id, shared: Arc<Shared>, stream: Stream) -> Self {
        Connection {
            side,
            number,
            shared,
            stream,
            input: Vec::new(),
            heard: false,
            proven: false,
            input_held: None,
            output: Vec::new(),
            flowing: None,
            broken: false,
            output_held: Vec::new(),
            pending: VecDeque::new(),
            stage: Stage::Open,
            stay: (Phase::Silent, 0),
            lingered: 0,
            short: false,
            behind: false,
            errors: false,
            answered: 0,
        }
    }

    /// Serves it until it is over; an error says that the consumer has gone.
    pub fn serve(&mut self) -> io::Result<()> {
        loop {
            let mut turn = 0;
            loop {
                let was_full = self.is_full() || self.short;
                let more = self.read()?;
                self.understand();
                let active = self.write()? || more;
                // What was left unread for want of room is not told of again by the poller.
                let is_full = self.is_full() || (self.short && !self.is_idle());
                let has_room_again = was_full && !is_full;
                turn += 1;
                if std::mem::take(&mut self.errors) {
                    sleep(AFTER_ERRORS);
                    self.must_be_there()?;
                } else if !more && !has_room_again {
                    self.settle(active);
                    break;
                } else if turn % TURN == 0 {
                    sleep(BETWEEN_TURNS);
                    self.must_be_there()?;
                }
                // Who never stops sending would never give its place up.
                self.settle(active);
                if self.must_close() && self.is_over() {
                    return Ok(());
                }
            }
            let before = self.stage;
            if self.is_over() {
                return Ok(());
            }
            // What came meanwhile is not told of again either.
            if self.stage == before {
                self.stream.wait_io();
            }
        }
    }

    /// Whether nothing is left to do; moves it on to its next stage.
    fn is_over(&mut self) -> bool {
        if let Some(reason) = self.shared.order_about(self.stay.1) {
            match self.stay.0 {
                // Half a command is owed an error.
                Phase::FirstHalf | Phase::Half if self.stage == Stage::Open => {
                    self.side.count(reason);
                    self.refuse("CLIENT_ERROR no whole command in time");
                    // What does not go out at once is not waited for.
                    let _ = self.write();
                    self.stage = Stage::Ending;
                }
                Phase::AtWork => {}
                // Danger: what crosses the order would be lost by it, and the close would be a reset. It is heard first.
                Phase::Silent | Phase::Idle if self.stage == Stage::Open && self.has_unread() => {}
                // Nobody waits for the descriptor.
                Phase::Silent | Phase::Idle if self.stage == Stage::Open && reason == Reason::Overdue => {
                    self.side.count(reason);
                    self.stage = Stage::Ending;
                }
                _ => {
                    self.side.count(reason);
                    return true;
                }
            }
        }
        // Half a command has not been taken: it does not keep a connection of a proxy that stops.
        if self.stage == Stage::Open && self.is_idle() && (self.side.is_closing() || self.is_to_go()) {
            self.stage = Stage::Ending;
        }
        // Danger: a close over bytes that are not read resets the connection, and the last answer may go with it. Its end
        // is told, and what still comes is thrown away until the consumer has ended it too.
        if self.is_idle() && self.stage == Stage::Ending {
            // An error says that the consumer has gone.
            let _ = self.stream.inner().shutdown(Shutdown::Write);
            self.stage = Stage::Lingering;
        }
        self.settle(false);
        false
    }

    /// Whether clients are sent away and it is this one's turn.
    fn is_to_go(&self) -> bool {
        let Some(away) = *self.side.away() else { return false };
        let now = self.side.descriptors.now();
        let Away { since, plan } = away;
        // Danger: what has begun to come would cross the close.
        if !self.input.is_empty() && now.saturating_sub(since) < plan.half_until {
            return false;
        }
        self.answered >= since.max(1) || away.is_due(self.number, self.shared.arrived, now)
    }

    /// Says what it holds its place for. `active` tells whether anything came or went.
    fn settle(&mut self, active: bool) {
        let phase = self.phase();
        if phase != self.stay.0 || (active && phase == Phase::Unread) {
            self.stay = (phase, self.side.enter(self.number, phase));
        }
    }

    fn phase(&self) -> Phase {
        match self.stage {
            Stage::Lingering => Phase::Ending,
            _ if !self.output.is_empty() => Phase::Unread,
            _ if !self.pending.is_empty() => Phase::AtWork,
            Stage::Ending => Phase::Ending,
            Stage::Open if !self.heard => Phase::Silent,
            Stage::Open if !self.proven => Phase::FirstHalf,
            Stage::Open if self.input.is_empty() => Phase::Idle,
            Stage::Open => Phase::Half,
        }
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.output.is_empty()
    }

    fn must_close(&self) -> bool {
        self.side.is_closing() || self.is_to_go() || self.shared.order_about(self.stay.1).is_some()
    }

    /// Whether reading rests until answers have been written.
    fn is_full(&self) -> bool {
        let late = |away: &Away| away.plan.is_late(self.side.descriptors.now().saturating_sub(away.since));
        self.pending.len() >= MAX_PENDING
            || self.output.len() >= MAX_OUTPUT
            // Danger: who always has a command open would never stand between two.
            || (!self.pending.is_empty() && self.side.away().as_ref().is_some_and(late))
    }

    /// Danger: while reading rests nobody reads the end that tells that the consumer has gone, and after a rest there may
    /// be much to read before it. What waits for such a consumer must not be sent on.
    fn must_be_there(&self) -> io::Result<()> {
        match has_hung_up(self.stream.inner()) {
            true => Err(ErrorKind::UnexpectedEof.into()),
            false => Ok(()),
        }
    }

    /// Whether something has come that is not read.
    fn has_unread(&self) -> bool {
        self.stream.inner().peek(&mut [0]).is_ok_and(|count| count > 0)
    }

    /// Reads what is there; whether there may be more.
    fn read(&mut self) -> io::Result<bool> {
        if self.stage == Stage::Ending || self.is_full() || self.short || self.lingered > MAX_LINGER {
            self.must_be_there()?;
            return Ok(false);
        }
        // Danger: to read on while commands wait would keep all that a pipeline of small ones can send.
        if self.behind {
            self.must_be_there()?;
            return Ok(true);
        }
        match read_now(self.stream.inner(), &mut self.input) {
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) if self.stage == Stage::Lingering => {
                self.lingered += count;
                self.input.clear();
                Ok(true)
            }
            Ok(_) => {
                self.heard = true;
                Ok(true)
            }
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
                    self.proven = true;
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
        self.behind = self.stage == Stage::Open && self.is_full() && !self.input.is_empty();
        if self.stage != Stage::Open {
            self.input = Vec::new();
        }
        if self.input.is_empty() {
            // A large value leaves no room behind: connections are many and stay.
            if self.input.capacity() > INVOCATION_SIZE {
                self.input = Vec::new();
            }
            return self.input_held = None;
        }
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
            Command::Noop if self.side.away().is_some() || self.side.exchange.is_fenced() => {
                self.say("SERVER_ERROR out of service\r\n".to_owned())
            }
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
                match (self.read_in(key, opaque, labels, value), held) {
                    (Err(why), _) => self.turn_down(why),
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
        let words = Arc::new(Mutex::new(Some((words.into_bytes(), None))));
        self.pending.push_back(Pending { id: None, words, held: None });
    }

    fn invoke(&mut self, invocation: Invocation, held: Held) {
        let words = Arc::new(Mutex::new(None));
        let (slot, shared) = (Arc::clone(&words), Arc::clone(&self.shared));
        let opaque = invocation.opaque.clone();
        let reply = move |answer: Answer| {
            let said = memcache::answer(&opaque, &answer);
            let value = if let Answer::Flows(_, sink) = answer { Some(sink) } else { None };
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some((said, value));
            shared.waker.wakeup();
        };
        self.side.asked(self.number);
        match self.take(invocation, Box::new(reply)) {
            Ok(id) => self.pending.push_back(Pending { id: Some(id), words, held: Some(held) }),
            Err(why) => self.turn_down(why),
        }
    }

    fn turn_down(&mut self, why: Refused) {
        match why {
            Refused::Bad(why) => self.refuse(&format!("CLIENT_ERROR {why}")),
            Refused::Fenced(ms) => self.say(format!("SERVER_ERROR busy {ms}\r\n")),
            Refused::Gone => {}
        }
    }

    /// Reads what a command asks. Danger: also that it is no good is said by a policy, which must be in force at that moment.
    fn read_in(
        &self,
        key: String,
        opaque: String,
        labels: Vec<(String, String)>,
        value: Option<Vec<u8>>,
    ) -> Result<Invocation, Refused> {
        let exchange = &self.side.exchange;
        if !exchange.is_governed() {
            return invocation(exchange, key, opaque, labels, value).map_err(Refused::Bad);
        }
        loop {
            let version = exchange.names().version;
            let (key, opaque, labels, value) = (key.clone(), opaque.clone(), labels.clone(), value.clone());
            let why = match invocation(exchange, key, opaque, labels, value) {
                Ok(invocation) => return Ok(invocation),
                Err(why) => why,
            };
            match exchange.judges_by(version) {
                Some(Admission::Yes) => return Err(Refused::Bad(why)),
                Some(Admission::No(back)) => {
                    return Err(Refused::Fenced(u64::try_from(back.as_millis()).unwrap_or(u64::MAX)));
                }
                Some(Admission::Soon) => self.wait_for_policy()?,
                None => {}
            }
        }
    }

    /// A change of policy is being decided: waits a little for it.
    fn wait_for_policy(&self) -> Result<(), Refused> {
        sleep(UNTIL_SOON);
        self.must_be_there().map_err(|_| Refused::Gone)
    }

    /// Hands an invocation in, read once more as often as other settings come into force meanwhile.
    fn take(&self, mut given: Invocation, mut reply: Reply) -> Result<RequestId, Refused> {
        loop {
            match self.side.exchange.take(given, reply) {
                Ok(id) => return Ok(id),
                // Two answers under one id could not be told apart.
                Err(NotTaken::IdInUse) => return Err(Refused::Bad("the id is in use")),
                Err(NotTaken::Fenced(ms)) => return Err(Refused::Fenced(ms)),
                Err(NotTaken::Soon(same, same_reply)) => {
                    let begun = Instant::now();
                    self.wait_for_policy()?;
                    (given, reply) = (*same, same_reply);
                    // Its consumer's time passes meanwhile.
                    given.budget = (given.budget - begun.elapsed().as_secs_f64() * 1000.0).max(0.0);
                }
                Err(NotTaken::Outdated(old, same)) => {
                    let Invocation { key, opaque, labels, value, budget, .. } = *old;
                    given = self.read_in(key, opaque, labels, value)?;
                    // It may have waited.
                    given.budget = given.budget.min(budget);
                    reply = same;
                }
            }
        }
    }

    /// Writes the answers that are due, in the order of their commands, as far as that goes at once;
    /// whether anything went out.
    fn write(&mut self) -> io::Result<bool> {
        let mut progress = false;
        loop {
            self.fill();
            if self.output.is_empty() {
                break;
            }
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
        }
        // The rest of a value will never come: only the end of the connection can tell.
        if self.broken {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        self.output_held.clear();
        if progress {
            self.answered = self.side.descriptors.now();
        }
        if self.output.capacity() > INVOCATION_SIZE {
            self.output = Vec::new();
        }
        Ok(progress)
    }

    /// Puts what is to be written next into `output`: a window full of a value that flows, else all answers that
    /// are there, up to the next such value.
    fn fill(&mut self) {
        while self.output.len() < WINDOW && !self.broken {
            if let Some(value) = &self.flowing {
                match value.take() {
                    Taken::Some(bytes) => self.output.extend(bytes),
                    Taken::Nothing => return,
                    Taken::Broken => self.broken = true,
                    Taken::End => {
                        self.output.extend_from_slice(memcache::END);
                        self.flowing = None;
                        self.end_first();
                    }
                }
                continue;
            }
            let Some(first) = self.pending.front() else { return };
            let words = first.words.lock().unwrap_or_else(PoisonError::into_inner).take();
            let Some((words, value)) = words else { return };
            match self.output.is_empty() {
                true => self.output = words,
                false => self.output.extend(words),
            }
            match value {
                Some(value) => {
                    let shared = Arc::clone(&self.shared);
                    value.wake_by(Box::new(move || shared.waker.wakeup()));
                    self.flowing = Some(value);
                }
                None => self.end_first(),
            }
        }
    }

    /// The first that is pending is answered; what it holds of the memory is free once it has gone out.
    fn end_first(&mut self) {
        self.output_held.extend(self.pending.pop_front().and_then(|pending| pending.held));
    }
}

impl Drop for Connection<'_> {
    /// Also when its coroutine panics: nobody waits for what is still out, and its place is free.
    fn drop(&mut self) {
        self.side.left(self.number);
        for id in self.pending.iter().filter_map(|pending| pending.id) {
            self.side.exchange.leave(id);
        }
    }
}
