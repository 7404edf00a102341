//! The observations of the clients and backends of a soak, with their times: [`Record`].

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The effect of a class of requests, as the configuration gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    /// Idempotent.
    Read,
    /// Idempotent with a key: repeats are dropped within a window.
    Put,
    /// Not idempotent.
    Confirm,
}

/// A final response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FinalResponse {
    /// A value or a receipt.
    Served(String),
    /// Rejected, which promises that a retry is harmless.
    Rejected,
    /// Failed, without a promise.
    Failed,
}

/// How an attempt ended, as its backend observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// This was returned completely.
    Served(String),
    /// It had no effect: a miss, or a rejection.
    NeverRan,
    /// The connection ended, or the response was incomplete or a failure.
    MayHaveRun,
}

/// One observation.
#[derive(Clone, Debug)]
pub(super) enum Observation {
    /// A client began to write a request, and had written its last byte after `write_time`.
    Sent { proxy: usize, class: Class, timeout_ms: u64, is_first_on_connection: bool, write_time: Duration },
    /// The last byte of its final response arrived.
    Answered(FinalResponse),
    /// Its connection ended without one.
    ConnectionEnded,
    /// Its client has closed the connection.
    Disconnected,
    /// The last byte of an attempt arrived at a backend.
    AttemptArrived { attempt: u64, backend: usize, budget_ms: u64, read_delay: Duration },
    /// An attempt ended at this moment or later: the backend began to write the end of its
    /// response, or the end of the connection arrived.
    AttemptEnded { attempt: u64, end: AttemptEnd },
}

/// A change of a proxy, a backend or discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// A proxy was sent SIGTERM.
    Terminated(usize),
    /// A proxy is about to be sent SIGKILL.
    Killed(usize),
    /// A proxy that was killed has ended. From now on another process has its place.
    Ended(usize),
    /// A proxy that was sent SIGTERM has ended by itself.
    Exited(usize),
    /// A proxy that was started anew is ready.
    Started(usize),
    /// A backend is listed as draining.
    Draining(usize),
    /// A backend is listed as ready again.
    Ready(usize),
    /// Discovery ends its watches and does not respond.
    DiscoveryDown,
    /// Discovery responds again.
    DiscoveryUp,
    /// A crowd of idle clients begins to connect to a proxy.
    Crowd(usize),
}

/// A time for which this program stopped a proxy.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    /// The proxy.
    pub proxy: usize,
    /// Before it was sent SIGSTOP.
    pub began: Instant,
    /// After it was sent SIGCONT, or SIGKILL.
    pub ended: Instant,
}

/// All observations of one run.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// Guards the observations of requests, each with the id of its request.
    requests: Mutex<Vec<(Instant, String, Observation)>>,
    /// Guards the changes.
    changes: Mutex<Vec<(Instant, Change)>>,
    /// Guards the times for which proxies were stopped.
    stops: Mutex<Vec<Stop>>,
    /// Guards by how much the sleeps of this program were too long.
    delays: Mutex<Vec<(Instant, Duration)>>,
    /// Guards the number of attempts.
    attempts: Mutex<u64>,
}

/// How often this program measures its own delay.
const DELAY_INTERVAL: Duration = Duration::from_millis(5);

impl Record {
    /// Records an observation of a request.
    pub(super) fn note(&self, at: Instant, id: &str, observation: Observation) {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).push((at, id.to_owned(), observation));
    }

    /// Records a change at the present time.
    pub(super) fn note_change(&self, change: Change) {
        self.note_change_at(Instant::now(), change);
    }

    /// Records a change at a time.
    pub(super) fn note_change_at(&self, at: Instant, change: Change) {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner).push((at, change));
    }

    /// Records a time for which a proxy was stopped.
    pub(super) fn note_stop(&self, stop: Stop) {
        self.stops.lock().unwrap_or_else(PoisonError::into_inner).push(stop);
    }

    /// A number for an attempt.
    pub(super) fn next_attempt(&self) -> u64 {
        let mut attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        *attempts += 1;
        *attempts
    }

    /// Measures the delay of this program itself until `ends`; recorded times have an error of this
    /// size.
    pub(super) fn measure_own_delays(&self, ends: Instant) {
        while Instant::now() < ends {
            let began = Instant::now();
            thread::sleep(DELAY_INTERVAL);
            let late = began.elapsed().saturating_sub(DELAY_INTERVAL);
            self.delays.lock().unwrap_or_else(PoisonError::into_inner).push((Instant::now(), late));
        }
    }

    /// The observations of requests, in the order of time.
    pub(super) fn requests(&self) -> Vec<(Instant, String, Observation)> {
        let mut observations = self.requests.lock().unwrap_or_else(PoisonError::into_inner).clone();
        observations.sort_by_key(|(at, _, _)| *at);
        observations
    }

    /// The changes, in the order of time.
    pub(super) fn changes(&self) -> Vec<(Instant, Change)> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The times for which proxies were stopped.
    pub(super) fn stops(&self) -> Vec<Stop> {
        self.stops.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The delays of this program, in the order of time.
    pub(super) fn delays(&self) -> Vec<(Instant, Duration)> {
        self.delays.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
