//! [`TurnPacer`]: divides the worker between client connections that have more to do than fits into
//! a [`Turn`], and other clients.

use crate::net::deadline_stream::sleep;
use crate::net::timer::sleep_part;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The number of rounds of reading and writing in a turn.
const ROUNDS_PER_TURN: usize = 8;
/// The time after which a turn ends before its last round.
const TURN_DURATION: Duration = Duration::from_millis(1);
/// The longest time that counts as the work of a turn. A longer turn was held up.
const MAX_COUNTED_WORK: Duration = Duration::from_millis(20);
/// The shortest rest, and the shortest wait for input that ends a turn like a rest.
const MIN_REST: Duration = Duration::from_millis(1);
/// The time that is reserved for a turn, as a multiple of its work: the rest of it is for other
/// clients.
const RESERVED_PER_WORK: u32 = 2;

/// Divides the worker between the connections whose clients send more than fits into a turn.
///
/// Note: the coroutine library polls no socket while a coroutine is ready to run, and a connection
/// whose backends respond at once always is. If such connections kept the worker busy, no other
/// client would be heard.
#[derive(Debug, Default)]
pub(super) struct TurnPacer {
    /// The end of the time that is reserved for turns; `None` before the first.
    reserved_until: Mutex<Option<Instant>>,
}

/// The present turn of a connection. A turn lasts until the connection rests, or waits for input for
/// as long as a rest.
#[derive(Debug)]
pub(super) struct Turn {
    began: Instant,
    rounds: usize,
    /// The time at which the connection last began to wait for input.
    paused_at: Instant,
}

impl Turn {
    /// Begins the first turn of a connection.
    pub(super) fn begin() -> Turn {
        let now = Instant::now();
        Turn { began: now, rounds: 0, paused_at: now }
    }

    /// Continues the turn after the connection has waited for input, or begins another one if it
    /// has waited for long enough.
    pub(super) fn resume(&mut self) {
        if self.paused_at.elapsed() >= MIN_REST {
            *self = Turn::begin();
        }
    }

    /// Records that the connection begins to wait for input.
    pub(super) fn pause(&mut self) {
        self.paused_at = Instant::now();
    }

    /// Counts a round, and returns whether the turn is over.
    pub(super) fn end_round(&mut self) -> bool {
        self.rounds += 1;
        self.rounds >= ROUNDS_PER_TURN || self.began.elapsed() >= TURN_DURATION
    }
}

impl TurnPacer {
    /// Rests after a turn, for `min_rest` at least, and begins the next turn.
    pub(super) fn rest(&self, turn: &mut Turn, min_rest: Duration) {
        let now = Instant::now();
        let next_turn = self.reserve(now, now.saturating_duration_since(turn.began));
        sleep(sleep_part(next_turn.saturating_duration_since(now).max(min_rest)));
        *turn = Turn::begin();
    }

    /// Decides when a connection has its next turn, after one that took `work`: it rests for as long
    /// as its turn is worth, behind those that rest already.
    ///
    /// Inputs: the work of the turn, as a duration, and the end of the time that is reserved, on the
    /// monotonic clock.
    /// Reason: all such connections together leave a part of the time to other clients.
    /// Source: docs/incidents/2026-12-05-sound-slow-responses-cut-off.md.
    fn reserve(&self, now: Instant, work: Duration) -> Instant {
        let mut reserved_until = self.reserved_until.lock().unwrap_or_else(PoisonError::into_inner);
        let from = reserved_until.map_or(now, |until| until.max(now));
        let until = from + (work.min(MAX_COUNTED_WORK) * RESERVED_PER_WORK).max(MIN_REST);
        *reserved_until = Some(until);
        until
    }
}

#[cfg(test)]
mod tests;
