//! The agreement between a client's connection and the attempts of a request on how a long value
//! reaches the client. Read [`ValueDelivery`] first.

use std::sync::atomic::{AtomicU8, Ordering};

/// How a long value reaches the client. It is streamed unless further requests of its connection
/// wait for their responses behind it: a streamed value that breaks off ends the connection, and
/// those responses would be lost.
///
/// Invariant: once decided, this does not change. Whoever comes first decides: the attempt that
/// begins to stream, or the connection that submits a further request.
#[derive(Debug, Default)]
pub struct ValueDelivery(AtomicU8);

const UNDECIDED: u8 = 0;
const STREAMED: u8 = 1;
const COMPLETE: u8 = 2;

impl ValueDelivery {
    /// Decides that the value is streamed, unless it must be complete; returns whether it is
    /// streamed.
    pub fn begin_stream(&self) -> bool {
        self.decide(STREAMED)
    }

    /// Decides that the value must be complete before its first byte is passed on, unless it is
    /// streamed; returns whether it must be complete.
    pub fn require_complete(&self) -> bool {
        self.decide(COMPLETE)
    }

    fn decide(&self, delivery: u8) -> bool {
        let decided = self.0.compare_exchange(UNDECIDED, delivery, Ordering::AcqRel, Ordering::Acquire);
        decided.map_or_else(|earlier| earlier == delivery, |_| true)
    }
}

#[cfg(test)]
mod tests;
