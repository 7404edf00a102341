//! The agreement between a client's connection and the attempts of a request on how a long value
//! reaches the client. Read [`ValueDelivery`] first.

use std::sync::atomic::{AtomicU8, Ordering};

/// How a long value reaches the client. It is streamed unless further requests of its connection
/// wait for their responses behind it: a streamed value that breaks off ends the connection, and
/// those responses would be lost.
///
/// Invariant: whoever comes first decides: the attempt that begins to stream, or the connection that
/// submits a further request. A value that streams continues to stream.
#[derive(Debug, Default)]
pub struct ValueDelivery(AtomicU8);

/// A request that is executed behind a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestBehind {
    /// A read, which may be repeated if its response is lost.
    Read,
    /// A write, which must get its response once it has run.
    Write,
}

const UNDECIDED: u8 = 0;
const STREAMED: u8 = 1;
const COMPLETE_FOR_READS: u8 = 2;
const COMPLETE_FOR_WRITE: u8 = 3;

impl ValueDelivery {
    /// Decides that the value is streamed, unless it must be complete; returns whether it is
    /// streamed.
    pub fn begin_stream(&self) -> bool {
        self.change(|delivery| matches!(delivery, UNDECIDED | STREAMED).then_some(STREAMED))
    }

    /// Decides that the value must be complete before its first byte is passed on, unless it is
    /// streamed; returns whether it must be complete.
    pub fn require_complete(&self, behind: RequestBehind) -> bool {
        let required = match behind {
            RequestBehind::Read => COMPLETE_FOR_READS,
            RequestBehind::Write => COMPLETE_FOR_WRITE,
        };
        self.change(|delivery| (delivery != STREAMED).then_some(delivery.max(required)))
    }

    /// Decides that the value is streamed although reads wait behind it, since it is not complete in
    /// time; returns whether it is streamed.
    ///
    /// Inputs: whether a write waits behind it.
    /// Reason: the value would fail for certain, and the responses behind it are lost only if it
    /// breaks off. A write that ran must get its response.
    /// Source: docs/incidents/2026-12-06-slow-long-values-cut-off-in-pipelines.md.
    pub fn stream_incomplete(&self) -> bool {
        self.change(|delivery| (delivery != COMPLETE_FOR_WRITE).then_some(STREAMED))
    }

    fn change(&self, next: impl Fn(u8) -> Option<u8>) -> bool {
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, next).is_ok()
    }
}

#[cfg(test)]
mod tests;
