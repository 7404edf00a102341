//! What clients and backends of a soak see, with the moment of each: [`Record`].

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The effect of a class of requests, as the configuration gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    /// Repeats do no harm.
    Read,
    /// Repeats are dropped within a window.
    Put,
    /// Repeats have an effect.
    Confirm,
}

/// A final response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// A value or a receipt.
    Served(String),
    /// Sending it again is said to do no harm.
    Rejected,
    /// Nothing is promised.
    Failed,
}

/// How an attempt ended, as its backend knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// This was returned whole.
    Served(String),
    /// It has no effect: a miss, or turned away.
    NeverRan,
    /// The connection ended, or the response was spoilt or a failure.
    MayHaveRun,
}

/// Something that was seen.
#[derive(Clone, Debug)]
pub(super) enum Seen {
    /// The last byte of a request was written.
    Sent { proxy: usize, class: Class, wait_ms: u64, is_first_on_connection: bool },
    /// Its final response was read whole.
    Answered(Answer),
    /// Its connection ended without one.
    Ended,
    /// Its client closes the connection.
    Left,
    /// The last byte of an attempt arrived at a backend.
    Arrived { attempt: u64, backend: usize, told_ms: u64 },
    /// An attempt is over.
    AttemptOver { attempt: u64, end: AttemptEnd },
}

/// A change of what requests meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// A proxy was sent SIGTERM.
    Terminated(usize),
    /// A proxy was sent SIGKILL.
    Killed(usize),
    /// A proxy that was killed is ready again.
    Started(usize),
    /// A backend is listed as draining.
    Draining(usize),
    /// A backend is listed as ready again.
    Ready(usize),
    /// Discovery ends its watches and answers nobody.
    DiscoveryDown,
    /// Discovery answers again.
    DiscoveryUp,
    /// A crowd of idle clients begins to connect to a proxy.
    Crowd(usize),
}

/// All that was seen in one run.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// Guards what was seen of requests, each with its id.
    requests: Mutex<Vec<(Instant, String, Seen)>>,
    /// Guards what changed.
    changes: Mutex<Vec<(Instant, Change)>>,
    /// Guards how much longer than asked for sleeps of this program lasted.
    delays: Mutex<Vec<(Instant, Duration)>>,
    /// Guards the number of attempts.
    attempts: Mutex<u64>,
}

/// How often this program looks whether it is itself delayed.
const DELAY_INTERVAL: Duration = Duration::from_millis(5);

impl Record {
    /// Notes something about a request.
    pub(super) fn note(&self, at: Instant, id: &str, seen: Seen) {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).push((at, id.to_owned(), seen));
    }

    /// Notes a change, now.
    pub(super) fn note_change(&self, change: Change) {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner).push((Instant::now(), change));
    }

    /// A number for an attempt.
    pub(super) fn next_attempt(&self) -> u64 {
        let mut attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        *attempts += 1;
        *attempts
    }

    /// Measures how late this program itself is, until `ends`: times of what it saw are off by it.
    pub(super) fn watch_own_delays(&self, ends: Instant) {
        while Instant::now() < ends {
            let began = Instant::now();
            thread::sleep(DELAY_INTERVAL);
            let late = began.elapsed().saturating_sub(DELAY_INTERVAL);
            self.delays.lock().unwrap_or_else(PoisonError::into_inner).push((Instant::now(), late));
        }
    }

    /// What was seen of requests, in the order of time.
    pub(super) fn requests(&self) -> Vec<(Instant, String, Seen)> {
        let mut seen = self.requests.lock().unwrap_or_else(PoisonError::into_inner).clone();
        seen.sort_by_key(|(at, _, _)| *at);
        seen
    }

    /// What changed, in the order of time.
    pub(super) fn changes(&self) -> Vec<(Instant, Change)> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The delays of this program, in the order of time.
    pub(super) fn delays(&self) -> Vec<(Instant, Duration)> {
        self.delays.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
