//! The codec for the simulator's binary protocol: [`read_batch`] decodes events, and [`Reply`]
//! encodes actions. The simulator defines the record codes and their layout; numbers are
//! big-endian.

use crate::interface::{
    Action, AttemptEnd, BackendId, EndpointInfo, EndpointState, Event, Key, ListForm, Outcome, Request,
    RequestId,
};
use crate::time::{TimeSpan, Timestamp};
use std::io::{self, Read};
use thiserror::Error;

/// The largest accepted body of a batch, in bytes.
pub const MAX_BATCH_BYTES: u32 = 1 << 30;
/// The length of a batch's header: the time, the length of the body, and the number of messages.
const BATCH_HEADER_BYTES: u64 = 16;

/// An error in the simulator's input.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input ended inside a batch.
    #[error("input ends inside {what} at offset {at}")]
    Truncated {
        /// The part of the batch that was being read.
        what: &'static str,
        /// The offset in the input, in bytes.
        at: u64,
    },
    /// A length exceeds [`MAX_BATCH_BYTES`].
    #[error("impossible length {length} at offset {at}")]
    Length {
        /// The length that was read, in bytes.
        length: u64,
        /// The offset in the input, in bytes.
        at: u64,
    },
    /// The protocol does not define this value.
    #[error("unknown {what} {value} at offset {at}")]
    Unknown {
        /// The kind of the value.
        what: &'static str,
        /// The value that was read.
        value: u64,
        /// The offset in the input, in bytes.
        at: u64,
    },
    /// Bytes remained after the last record of a batch.
    #[error("{count} bytes left behind the last record at offset {at}")]
    Trailing {
        /// The number of remaining bytes.
        count: usize,
        /// The offset in the input, in bytes.
        at: u64,
    },
    /// The input could not be read.
    #[error("reading failed: {0}")]
    Io(#[from] io::Error),
}

/// A message and the instance that it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedMessage {
    /// The number of the instance.
    pub instance: u32,
    /// The message for the instance.
    pub message: Message,
}

/// A message of a batch to one instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A new instance starts.
    Attach {
        /// The seed that determines the instance's random choices.
        seed: u64,
        /// The settings of the instance, as JSON.
        settings: Vec<u8>,
    },
    /// The instance is removed.
    Kill,
    /// An event occurs at the instance's balancer.
    Event(Event),
}

/// A batch of messages that occur at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The time of all messages.
    pub now: Timestamp,
    /// The messages in order of delivery.
    pub messages: Vec<AddressedMessage>,
}

/// Reads one batch and advances `offset`, the current position in the input, by its length. Returns
/// `None` if the input ends before the batch begins.
///
/// # Errors
///
/// Returns an error if the input ends inside the batch, contains a length or a value that the
/// protocol does not allow, or cannot be read. Except for I/O errors, the error states the offset.
pub fn read_batch(input: &mut impl Read, offset: &mut u64) -> Result<Option<Batch>, WireError> {
    let mut header = Vec::with_capacity(BATCH_HEADER_BYTES as usize);
    let got = input.by_ref().take(BATCH_HEADER_BYTES).read_to_end(&mut header)?;
    if got == 0 {
        return Ok(None);
    }
    let mut cursor = Cursor { bytes: &header, at: 0, base: *offset };
    let now = cursor.timestamp("the batch header")?;
    let length = cursor.u32("the batch header")?;
    let count = cursor.u32("the batch header")?;
    if length > MAX_BATCH_BYTES {
        return Err(WireError::Length { length: length.into(), at: *offset + 8 });
    }
    let mut body = Vec::new();
    let got = input.by_ref().take(length.into()).read_to_end(&mut body)?;
    let base = *offset + BATCH_HEADER_BYTES;
    if got < length as usize {
        return Err(WireError::Truncated { what: "a batch", at: base + got as u64 });
    }
    let mut cursor = Cursor { bytes: &body, at: 0, base };
    let mut messages = Vec::new();
    for _ in 0..count {
        messages.push(read_message(&mut cursor)?);
    }
    if cursor.at < body.len() {
        return Err(WireError::Trailing { count: body.len() - cursor.at, at: cursor.offset() });
    }
    *offset = base + u64::from(length);
    Ok(Some(Batch { now, messages }))
}

/// A read position within a part of the input.
struct Cursor<'a> {
    bytes: &'a [u8],
    /// The index of the next byte.
    at: usize,
    /// The offset of the first byte of `bytes` in the whole input.
    base: u64,
}

impl<'a> Cursor<'a> {
    fn offset(&self) -> u64 {
        self.base + self.at as u64
    }

    fn take(&mut self, count: usize, what: &'static str) -> Result<&'a [u8], WireError> {
        let end = self.at.checked_add(count).filter(|&end| end <= self.bytes.len());
        let Some(end) = end else {
            return Err(WireError::Truncated { what, at: self.offset() });
        };
        let taken = &self.bytes[self.at..end];
        self.at = end;
        Ok(taken)
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

    fn timestamp(&mut self, what: &'static str) -> Result<Timestamp, WireError> {
        Ok(Timestamp::from_ms(self.f64(what)?))
    }

    fn time_span(&mut self, what: &'static str) -> Result<TimeSpan, WireError> {
        Ok(TimeSpan::from_ms(self.f64(what)?))
    }

    fn request_id(&mut self, what: &'static str) -> Result<RequestId, WireError> {
        Ok(RequestId(self.u64(what)?))
    }

    fn backend_id(&mut self, what: &'static str) -> Result<BackendId, WireError> {
        Ok(BackendId(self.u32(what)?))
    }

    fn report(&mut self) -> Result<Vec<f32>, WireError> {
        let count = self.u8("a load report")?;
        (0..count).map(|_| self.f32("a load report")).collect()
    }
}

fn read_message(cursor: &mut Cursor) -> Result<AddressedMessage, WireError> {
    let offset = cursor.offset();
    let code = cursor.u8("a record code")?;
    let instance = cursor.u32("a record")?;
    let event = match code {
        1 => {
            let seed = cursor.u64("Attach")?;
            let length = cursor.u32("Attach")?;
            let settings = cursor.take(length as usize, "Attach settings")?.to_vec();
            return Ok(AddressedMessage { instance, message: Message::Attach { seed, settings } });
        }
        2 => read_endpoint_list(cursor)?,
        3 => read_request(cursor)?,
        4 => {
            let id = cursor.request_id("Opened")?;
            cursor.take(13, "Opened")?;
            Event::StreamBegan(id)
        }
        5 => read_attempt_end(cursor)?,
        6 => Event::ClientGone(cursor.request_id("Vanished")?),
        7 => Event::Timer(cursor.u64("Alarm")?),
        8 => {
            cursor.f64("Health")?;
            let how = cursor.u16("Health")?;
            let backend = cursor.backend_id("Health")?;
            Event::Probed { backend, answered: how == 1, load_report: cursor.report()? }
        }
        9 => {
            let from = cursor.u32("Peer")?;
            let length = cursor.u16("Peer")?;
            Event::PeerMessage { from, payload: cursor.take(length.into(), "Peer content")?.to_vec() }
        }
        10 => return Ok(AddressedMessage { instance, message: Message::Kill }),
        _ => return Err(WireError::Unknown { what: "record code", value: code.into(), at: offset }),
    };
    Ok(AddressedMessage { instance, message: Message::Event(event) })
}

fn read_endpoint_list(cursor: &mut Cursor) -> Result<Event, WireError> {
    let offset = cursor.offset();
    let form = match cursor.u8("Update")? {
        0 => ListForm::Failed,
        1 => ListForm::Delta,
        2 => ListForm::Cached,
        3 => ListForm::Full,
        other => return Err(WireError::Unknown { what: "list form", value: other.into(), at: offset }),
    };
    cursor.u32("Update")?;
    let count = cursor.u32("Update")?;
    let mut endpoints = Vec::new();
    for _ in 0..count {
        let backend = cursor.backend_id("a list entry")?;
        let zone = cursor.u16("a list entry")?;
        let kind = cursor.u8("a list entry")?;
        let cell = cursor.u16("a list entry")?;
        let offset = cursor.offset();
        let state = match cursor.u8("a list entry")? {
            0 => EndpointState::Gone,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            other => {
                return Err(WireError::Unknown { what: "availability", value: other.into(), at: offset })
            }
        };
        let weight = cursor.f32("a list entry")?;
        let started_at = cursor.timestamp("a list entry")?;
        endpoints.push(EndpointInfo { backend, zone, kind, cell, state, weight, started_at });
    }
    Ok(Event::EndpointList { form, endpoints })
}

fn read_request(cursor: &mut Cursor) -> Result<Event, WireError> {
    let id = cursor.request_id("Submit")?;
    let class = cursor.u8("Submit")?;
    let tenant = cursor.u32("Submit")?;
    let key = Key(cursor.u64("Submit")?);
    let budget = cursor.time_span("Submit")?;
    let hint = cursor.time_span("Submit")?;
    cursor.f32("Submit")?;
    let flags = cursor.u16("Submit")?;
    Ok(Event::Request(Request {
        id,
        class,
        tenant,
        key,
        budget,
        work_hint: (flags & 1 != 0).then_some(hint),
        is_repeat: flags & 2 != 0,
        is_write: flags & 4 != 0,
    }))
}

fn read_attempt_end(cursor: &mut Cursor) -> Result<Event, WireError> {
    let id = cursor.request_id("Answer")?;
    let latency = cursor.time_span("Answer")?;
    cursor.u32("Answer")?;
    let attempt = cursor.u8("Answer")?;
    let backend = cursor.backend_id("Answer")?;
    let is_request_finished = cursor.u8("Answer")? != 0;
    let offset = cursor.offset();
    let outcome = match cursor.u16("Answer")? {
        1 => Outcome::Ok,
        2 => Outcome::Error,
        3 => Outcome::Full,
        4 => Outcome::Timeout,
        5 => Outcome::ConnectFailed,
        6 => Outcome::Reset,
        7 => Outcome::Cancelled,
        8 => Outcome::Moot,
        9 => Outcome::Miss,
        other => return Err(WireError::Unknown { what: "outcome", value: other.into(), at: offset }),
    };
    let load_report = cursor.report()?;
    Ok(Event::AttemptEnd(AttemptEnd {
        id,
        attempt,
        backend,
        latency,
        is_request_finished,
        outcome,
        load_report,
    }))
}

/// A reply to a batch: the actions of the instances, encoded in order.
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

    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u32, action: &Action) {
        match action {
            Action::StartAttempt { request, backend, timeout, .. } => {
                self.record(9, instance);
                self.body.extend(request.0.to_be_bytes());
                self.body.extend(backend.0.to_be_bytes());
                self.body.extend(timeout.as_ms().to_be_bytes());
            }
            Action::Reject { request, retry_after, .. } => {
                self.record(7, instance);
                self.body.extend(request.0.to_be_bytes());
                self.body.extend(retry_after.as_ms().to_be_bytes());
            }
            Action::Fail { request, .. } => {
                self.record(6, instance);
                self.body.extend(request.0.to_be_bytes());
            }
            Action::SetTimer { delay, token } | Action::SetRequestTimer { delay, token, .. } => {
                self.record(11, instance);
                self.body.extend(delay.as_ms().to_be_bytes());
                self.body.extend(token.to_be_bytes());
            }
            Action::Subscribe => {
                self.record(10, instance);
                self.body.push(1);
            }
        }
    }

    /// Appends a report that an instance has failed, with the reason, which is truncated to 65,535
    /// bytes.
    pub fn fault(&mut self, instance: u32, reason: &str) {
        let bytes = &reason.as_bytes()[..reason.len().min(usize::from(u16::MAX))];
        self.record(1, instance);
        self.body.extend((bytes.len() as u16).to_be_bytes());
        self.body.extend(bytes);
    }

    /// Returns the encoded frame: the length of the body, the number of records, and the records.
    pub fn frame(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.body.len());
        out.extend((self.body.len() as u32).to_be_bytes());
        out.extend(self.count.to_be_bytes());
        out.extend(&self.body);
        out
    }
}
