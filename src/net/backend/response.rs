//! What a provider's answer to a call says, in its protocol: bytes in, how the call ended out.

use crate::interface::Outcome;
use crate::net::codec::http::{self, Body};
use crate::net::codec::memcache::{self, Reply};
use crate::net::codec::{Parsed, MAX_ANSWER, MAX_VALUE};
use crate::net::dispatcher::{AttemptRequest, Payload};

/// A long value flows once so many bytes of it have come.
const FLOWS_FROM: usize = 4 * 1024;

/// How a call ended, and what it brought.
pub(super) struct End {
    pub outcome: Outcome,
    pub payload: Option<Payload>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> End {
        End { outcome, payload: None }
    }
}

/// A value too long to be read whole: where it begins in the answer, and what follows it.
pub(super) struct Long {
    pub from: usize,
    pub length: usize,
    pub tail: &'static [u8],
    pub answered: Answered,
}

/// What an answer means for its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answered {
    /// It names its call: should a copy of it follow, that cannot pass for the answer to the next one.
    Named,
    /// It does not.
    Unnamed,
    /// The connection takes no other call.
    Last,
}

impl Answered {
    fn by(names_it: bool, takes_more: bool) -> Answered {
        match (takes_more, names_it) {
            (false, _) => Answered::Last,
            (true, true) => Answered::Named,
            (true, false) => Answered::Unnamed,
        }
    }
}

pub(super) enum Understood {
    Partly,
    /// It ran, as far as anyone can tell, and the connection is of no further use.
    Spoilt,
    /// A long value has begun to come.
    Long(Long),
    /// How the call ended, and what that means for the connection.
    Whole(End, Answered),
}

impl Long {
    /// It has begun once so much of it has come. Danger: one that only announces a length, and is spoilt, is retried.
    fn begun(self, bytes: &[u8]) -> Understood {
        if bytes.len() >= self.from + FLOWS_FROM {
            Understood::Long(self)
        } else {
            Understood::Partly
        }
    }
}

/// Reads a provider's answer in its protocol.
pub(super) fn understand(call: &AttemptRequest, bytes: &[u8]) -> Understood {
    if call.is_origin {
        return understand_http(call, bytes);
    }
    match memcache::reply(bytes, &call.request.opaque) {
        Parsed::Incomplete => Understood::Partly,
        Parsed::Whole(reply, used) => {
            // Only values, receipts and misses carry the id.
            let is_named = !matches!(reply, Reply::Busy | Reply::Failed);
            let end = match reply {
                Reply::Long(_) if call.request.value.is_some() => return Understood::Spoilt,
                Reply::Long(length) => {
                    let answered = Answered::Named;
                    return Long { from: used, length, tail: memcache::END, answered }.begun(bytes);
                }
                Reply::Served(payload) => served(call, payload),
                Reply::Miss => Outcome::Miss.into(),
                Reply::Busy => Outcome::Full.into(),
                Reply::Failed => Outcome::Error.into(),
            };
            Understood::Whole(end, Answered::by(is_named, used == bytes.len()))
        }
        Parsed::Malformed(..) => Understood::Spoilt,
    }
}

fn understand_http(call: &AttemptRequest, bytes: &[u8]) -> Understood {
    let (head, from) = match http::final_head(bytes) {
        Parsed::Incomplete => return Understood::Partly,
        Parsed::Malformed(..) => return Understood::Spoilt,
        Parsed::Whole(head, used) => (head, used),
    };
    if head.id.as_ref().is_some_and(|id| *id != call.request.opaque) {
        return Understood::Spoilt;
    }
    let rest = &bytes[from..];
    let (body, used) = match head.body {
        Body::Length(length) if length > MAX_ANSWER => return Understood::Spoilt,
        Body::Length(length) if length > MAX_VALUE => {
            return match (head.status, call.request.value.is_some()) {
                (200, false) => {
                    let answered = Answered::by(head.id.is_some(), !head.closes);
                    Long { from, length, tail: b"", answered }.begun(bytes)
                }
                (200, true) => Understood::Spoilt,
                // What a failure has to say is not read.
                _ => Understood::Whole(Outcome::Error.into(), Answered::Last),
            };
        }
        Body::Length(length) if rest.len() < length => return Understood::Partly,
        Body::Length(length) => (rest[..length].to_vec(), from + length),
        // A value that was cut short would pass for a whole one.
        Body::UntilClose => return Understood::Spoilt,
        // How long it is must be told to the consumer before its first byte.
        Body::Chunked => match http::chunks(rest, MAX_VALUE) {
            Parsed::Incomplete => return Understood::Partly,
            Parsed::Malformed(..) => return Understood::Spoilt,
            Parsed::Whole(body, used) => (body, from + used),
        },
    };
    let end = match head.status {
        200 if call.request.value.is_none() => served(call, Payload::Value(body)),
        200 => match String::from_utf8(body) {
            Ok(receipt) => served(call, Payload::Receipt(receipt)),
            Err(_) => return Understood::Spoilt,
        },
        503 | 504 if head.turned_away => Outcome::Full.into(),
        _ => Outcome::Error.into(),
    };
    Understood::Whole(end, Answered::by(head.id.is_some(), used == bytes.len() && !head.closes))
}

/// What was given counts if it is what the invocation asked for: a value for a read, a receipt of one
/// word for a write.
fn served(call: &AttemptRequest, payload: Payload) -> End {
    let fits = match &payload {
        Payload::Value(_) => call.request.value.is_none(),
        Payload::Receipt(receipt) => {
            call.request.value.is_some()
                && !receipt.is_empty()
                && receipt.bytes().all(|byte| byte.is_ascii_graphic())
        }
    };
    if fits {
        End { outcome: Outcome::Ok, payload: Some(payload) }
    } else {
        Outcome::Error.into()
    }
}
