//! What comes in on a consumer connection: commands, in their order, until there is no room for more or the consumer has gone.

use super::{Connection, Pending, Stage, INVOCATION_SIZE};
use crate::interface::RequestId;
use crate::net::client::request::invocation;
use crate::net::codec::memcache::{self, Command};
use crate::net::codec::{Parsed, MAX_VALUE};
use crate::net::deadline_stream::{has_hung_up, read_now, sleep};
use crate::net::dispatcher::{ClientRequest, Response, ResponseCallback, SubmitError};
use crate::net::memory::Reservation;
use pinetrail_policy_consensus::Admission;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// After an error that ends a connection so much of what still comes is thrown away. A connection that closes
/// on unread input is reset, and the error may be lost with it.
const MAX_LINGER: usize = 1 << 20;
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

impl Connection<'_> {
    /// Danger: while reading rests nobody reads the end that tells that the consumer has gone, and after a rest there may
    /// be much to read before it. What waits for such a consumer must not be sent on.
    pub(super) fn must_be_there(&self) -> io::Result<()> {
        if has_hung_up(self.stream.inner()) {
            Err(ErrorKind::UnexpectedEof.into())
        } else {
            Ok(())
        }
    }

    /// Whether something has come that is not read.
    pub(super) fn has_unread(&self) -> bool {
        self.stream.inner().peek(&mut [0]).is_ok_and(|count| count > 0)
    }

    /// Reads what is there; whether there may be more.
    pub(super) fn read(&mut self) -> io::Result<bool> {
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

    pub(super) fn understand(&mut self) {
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
            self.input_held = self.side.memory.try_reserve(MAX_VALUE);
            if self.input_held.is_none() {
                self.refuse("SERVER_ERROR out of memory");
                (self.stage, self.input) = (Stage::Ending, Vec::new());
            }
        }
    }

    /// Answers a command that is no good with an error.
    pub(super) fn refuse(&mut self, why: &str) {
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
                let held = self.side.memory.try_reserve(size);
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

    fn invoke(&mut self, invocation: ClientRequest, held: Reservation) {
        let words = Arc::new(Mutex::new(None));
        let (slot, shared) = (Arc::clone(&words), Arc::clone(&self.shared));
        let opaque = invocation.opaque.clone();
        let reply = move |answer: Response| {
            let said = memcache::answer(&opaque, &answer);
            let value = if let Response::Stream { body, .. } = answer { Some(body) } else { None };
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
    ) -> Result<ClientRequest, Refused> {
        let exchange = &self.side.exchange;
        if !exchange.requires_lease() {
            return invocation(exchange, key, opaque, labels, value).map_err(Refused::Bad);
        }
        loop {
            let version = exchange.names().version;
            let (key, opaque, labels, value) = (key.clone(), opaque.clone(), labels.clone(), value.clone());
            let why = match invocation(exchange, key, opaque, labels, value) {
                Ok(invocation) => return Ok(invocation),
                Err(why) => why,
            };
            match exchange.admission_for(version) {
                Some(Admission::Admit) => return Err(Refused::Bad(why)),
                Some(Admission::Reject(back)) => {
                    return Err(Refused::Fenced(u64::try_from(back.as_millis()).unwrap_or(u64::MAX)));
                }
                Some(Admission::Wait) => self.wait_for_policy()?,
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
    fn take(&self, mut given: ClientRequest, mut reply: ResponseCallback) -> Result<RequestId, Refused> {
        loop {
            match self.side.exchange.submit(given, reply) {
                Ok(id) => return Ok(id),
                // Two answers under one id could not be told apart.
                Err(SubmitError::IdInUse) => return Err(Refused::Bad("the id is in use")),
                Err(SubmitError::Fenced { retry_after }) => {
                    let ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                    return Err(Refused::Fenced(ms));
                }
                Err(SubmitError::PolicyChanging { request: same, respond: same_reply }) => {
                    let begun = Instant::now();
                    self.wait_for_policy()?;
                    (given, reply) = (*same, same_reply);
                    // Its consumer's time passes meanwhile.
                    given.budget = (given.budget - begun.elapsed().as_secs_f64() * 1000.0).max(0.0);
                }
                Err(SubmitError::Outdated { request: old, respond: same }) => {
                    let ClientRequest { key, opaque, labels, value, budget, .. } = *old;
                    given = self.read_in(key, opaque, labels, value)?;
                    // It may have waited.
                    given.budget = given.budget.min(budget);
                    reply = same;
                }
            }
        }
    }
}
