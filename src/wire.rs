//! The binary frames of the users' bench: events in, actions out. No decision is made here.

use crate::interface::{Action, AttemptEnd, Event, ListForm, Member, Outcome, Request, State};
use std::io::{self, Read};
use thiserror::Error;

/// The largest batch accepted, in bytes.
pub const MAX_BATCH: u32 = 1 << 30;
const BATCH_HEADER: u64 = 16;

/// What can be wrong with the input.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input ended inside a frame.
    #[error("input ends inside {what} at offset {at}")]
    Truncated {
        /// What was being read.
        what: &'static str,
        /// Offset in the input.
        at: u64,
    },
    /// A length beyond what is accepted.
    #[error("impossible length {length} at offset {at}")]
    Length {
        /// The length.
        length: u64,
        /// Offset in the input.
        at: u64,
    },
    /// A value that the wire does not know.
    #[error("unknown {what} {value} at offset {at}")]
    Unknown {
        /// What kind of value.
        what: &'static str,
        /// The value.
        value: u64,
        /// Offset in the input.
        at: u64,
    },
    /// Bytes left over behind the last record.
    #[error("{count} bytes left behind the last record at offset {at}")]
    Trailing {
        /// How many.
        count: usize,
        /// Offset in the input.
        at: u64,
    },
    /// Reading failed.
    #[error("reading failed: {0}")]
    Io(#[from] io::Error),
}

/// One message of a batch, for one instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A new instance: its seed and its settings in JSON.
    Attach(u64, Vec<u8>),
    /// The instance is killed.
    Kill,
    /// Anything else is for the decision module.
    Event(Event),
}

/// A batch: its clock and its messages, each with its instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The clock in ms.
    pub now: f64,
    /// The messages in order.
    pub messages: Vec<(u32, Message)>,
}

/// Reads one batch; `offset` is the place in the input and is moved on. `None` at a clean end.
pub fn read_batch(input: &mut impl Read, offset: &mut u64) -> Result<Option<Batch>, WireError> {
    let mut header = Vec::with_capacity(BATCH_HEADER as usize);
    let got = input.by_ref().take(BATCH_HEADER).read_to_end(&mut header)?;
    if got == 0 {
        return Ok(None);
    }
    let mut cursor = Cursor { bytes: &header, at: 0, base: *offset };
    let now = cursor.f64("the batch header")?;
    let length = cursor.u32("the batch header")?;
    let count = cursor.u32("the batch header")?;
    if length > MAX_BATCH {
        return Err(WireError::Length { length: length.into(), at: *offset + 8 });
    }
    let mut body = Vec::new();
    let got = input.by_ref().take(length.into()).read_to_end(&mut body)?;
    let base = *offset + BATCH_HEADER;
    if got < length as usize {
        return Err(WireError::Truncated { what: "a batch", at: base + got as u64 });
    }
    let mut cursor = Cursor { bytes: &body, at: 0, base };
    let mut messages = Vec::new();
    for _ in 0..count {
        messages.push(read_message(&mut cursor)?);
    }
    if cursor.at < body.len() {
        return Err(WireError::Trailing { count: body.len() - cursor.at, at: cursor.place() });
    }
    *offset = base + u64::from(length);
    Ok(Some(Batch { now, messages }))
}

struct Cursor<'a> {
    bytes: &'a [u8],
    at: usize,
    base: u64,
}

impl<'a> Cursor<'a> {
    fn place(&self) -> u64 {
        self.base + self.at as u64
    }

    fn take(&mut self, n: usize, what: &'static str) -> Result<&'a [u8], WireError> {
        let end = self.at.checked_add(n).filter(|&end| end <= self.bytes.len());
        let Some(end) = end else {
            return Err(WireError::Truncated { what, at: self.place() });
        };
        let part = &self.bytes[self.at..end];
        self.at = end;
        Ok(part)
    }

    fn array<const N: usize>(&mut self, what: &'static str) -> Result<[u8; N], WireError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N, what)?);
        Ok(out)
    }

    fn u8(&mut self, what: &'static str) -> Result<u8, WireError> {
        Ok(self.array::<1>(what)?[0])
    }

    fn u16(&mut self, what: &'static str) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array(what)?))
    }

    fn u32(&mut self, what: &'static str) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array(what)?))
    }

    fn u64(&mut self, what: &'static str) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array(what)?))
    }

    fn f32(&mut self, what: &'static str) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array(what)?))
    }

    fn f64(&mut self, what: &'static str) -> Result<f64, WireError> {
        Ok(f64::from_be_bytes(self.array(what)?))
    }

    fn report(&mut self) -> Result<Vec<f32>, WireError> {
        let n = self.u8("a load report")?;
        (0..n).map(|_| self.f32("a load report")).collect()
    }
}

fn read_message(c: &mut Cursor) -> Result<(u32, Message), WireError> {
    let place = c.place();
    let code = c.u8("a record code")?;
    let instance = c.u32("a record")?;
    let event = match code {
        1 => {
            let seed = c.u64("Attach")?;
            let length = c.u32("Attach")?;
            let text = c.take(length as usize, "Attach settings")?.to_vec();
            return Ok((instance, Message::Attach(seed, text)));
        }
        2 => read_members(c)?,
        3 => read_request(c)?,
        4 => {
            let id = c.u64("Opened")?;
            c.take(13, "Opened")?;
            Event::StreamBegan(id)
        }
        5 => read_attempt_end(c)?,
        6 => Event::ClientGone(c.u64("Vanished")?),
        7 => Event::Timer(c.u64("Alarm")?),
        8 => {
            c.f64("Health")?;
            let how = c.u16("Health")?;
            let server = c.u32("Health")?;
            Event::Probed { backend: server, answered: how == 1, report: c.report()? }
        }
        9 => {
            let from = c.u32("Peer")?;
            let length = c.u16("Peer")?;
            Event::Peer { from, payload: c.take(length.into(), "Peer content")?.to_vec() }
        }
        10 => return Ok((instance, Message::Kill)),
        _ => return Err(WireError::Unknown { what: "record code", value: code.into(), at: place }),
    };
    Ok((instance, Message::Event(event)))
}

fn read_members(c: &mut Cursor) -> Result<Event, WireError> {
    let place = c.place();
    let form = match c.u8("Update")? {
        0 => ListForm::Failed,
        1 => ListForm::Delta,
        2 => ListForm::Cached,
        3 => ListForm::Full,
        other => return Err(WireError::Unknown { what: "list form", value: other.into(), at: place }),
    };
    c.u32("Update")?;
    let count = c.u32("Update")?;
    let mut members = Vec::new();
    for _ in 0..count {
        let server = c.u32("a list entry")?;
        let zone = c.u16("a list entry")?;
        let kind = c.u8("a list entry")?;
        let cell = c.u16("a list entry")?;
        let place = c.place();
        let state = match c.u8("a list entry")? {
            0 => State::Gone,
            1 => State::Ready,
            2 => State::Draining,
            other => return Err(WireError::Unknown { what: "availability", value: other.into(), at: place }),
        };
        let size = c.f32("a list entry")?;
        let started = c.f64("a list entry")?;
        members.push(Member { server, zone, kind, cell, state, size, started });
    }
    Ok(Event::Members { form, members })
}

fn read_request(c: &mut Cursor) -> Result<Event, WireError> {
    let id = c.u64("Submit")?;
    let class = c.u8("Submit")?;
    let tenant = c.u32("Submit")?;
    let key = c.u64("Submit")?;
    let budget = c.f64("Submit")?;
    let hint = c.f64("Submit")?;
    c.f32("Submit")?;
    let flags = c.u16("Submit")?;
    Ok(Event::Request(Request {
        id,
        class,
        tenant,
        key,
        budget,
        hint: (flags & 1 != 0).then_some(hint),
        repeat: flags & 2 != 0,
        write: flags & 4 != 0,
    }))
}

fn read_attempt_end(c: &mut Cursor) -> Result<Event, WireError> {
    let id = c.u64("Answer")?;
    let latency = c.f64("Answer")?;
    c.u32("Answer")?;
    let attempt = c.u8("Answer")?;
    let server = c.u32("Answer")?;
    let last = c.u8("Answer")? != 0;
    let place = c.place();
    let outcome = match c.u16("Answer")? {
        1 => Outcome::Ok,
        2 => Outcome::Error,
        3 => Outcome::Full,
        4 => Outcome::Timeout,
        5 => Outcome::ConnectFailed,
        6 => Outcome::Reset,
        7 => Outcome::Cancelled,
        8 => Outcome::Moot,
        9 => Outcome::Miss,
        other => return Err(WireError::Unknown { what: "outcome", value: other.into(), at: place }),
    };
    let report = c.report()?;
    Ok(Event::AttemptEnd(AttemptEnd { id, attempt, server, latency, last, outcome, report }))
}

/// A reply being put together.
#[derive(Debug, Default)]
pub struct Reply {
    body: Vec<u8>,
    count: u32,
}

impl Reply {
    fn record(&mut self, code: u8, instance: u32) {
        self.body.push(code);
        self.body.extend(instance.to_be_bytes());
        self.count += 1;
    }

    /// Adds an action of an instance.
    pub fn push(&mut self, instance: u32, action: &Action) {
        match action {
            Action::StartAttempt { request, backend, timeout, .. } => {
                self.record(9, instance);
                self.body.extend(request.to_be_bytes());
                self.body.extend(backend.to_be_bytes());
                self.body.extend(timeout.to_be_bytes());
            }
            Action::Reject { request, retry_after } => {
                self.record(7, instance);
                self.body.extend(request.to_be_bytes());
                self.body.extend(retry_after.to_be_bytes());
            }
            Action::Fail(request) => {
                self.record(6, instance);
                self.body.extend(request.to_be_bytes());
            }
            Action::SetTimer { delay, token } | Action::SetRequestTimer { delay, token, .. } => {
                self.record(11, instance);
                self.body.extend(delay.to_be_bytes());
                self.body.extend(token.to_be_bytes());
            }
            Action::Subscribe => {
                self.record(10, instance);
                self.body.push(1);
            }
        }
    }

    /// Adds the report that an instance cannot go on, with the reason.
    pub fn fault(&mut self, instance: u32, reason: &str) {
        let bytes = &reason.as_bytes()[..reason.len().min(usize::from(u16::MAX))];
        self.record(1, instance);
        self.body.extend((bytes.len() as u16).to_be_bytes());
        self.body.extend(bytes);
    }

    /// The finished frame.
    pub fn frame(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.body.len());
        out.extend((self.body.len() as u32).to_be_bytes());
        out.extend(self.count.to_be_bytes());
        out.extend(&self.body);
        out
    }
}
