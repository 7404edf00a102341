//! The observations of the clients and backends of a soak, with their times: [`Record`].

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A class of requests of the configuration, with its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    /// Requests are idempotent.
    Read,
    /// Requests have an idempotency key: backends drop repeats within the deduplication window.
    Put,
    /// Requests are not idempotent.
    Confirm,
}

/// The final response to a request, as its client read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FinalResponse {
    /// The request was served with this value or receipt.
    Served(String),
    /// The request was rejected, which promises that it had no effect and a retry is harmless.
    Rejected,
    /// The request failed, and it may have had an effect.
    Failed,
}

/// The end of an attempt, as its backend observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// The backend sent a complete response with this value.
    Served(String),
    /// The attempt had no effect, because it was a miss or a rejection.
    NeverRan,
    /// The attempt may have had an effect, because the connection ended, or the response was
    /// incomplete or a failure.
    MayHaveRun,
    /// The connection ended while the backend paused within a response that it would have completed.
    CutOff,
    /// The same within a long value, long after its beginning. Such a value is passed on in pieces,
    /// so that the time of its request is no limit for it.
    LongValueCutOff,
}

/// An observation of a request by its client, or of one of its attempts by a backend.
#[derive(Clone, Debug)]
pub(super) enum Observation {
    /// A client began to write the request, and had written its last byte after `write_time`.
    Sent { proxy: usize, class: Class, timeout_ms: u64, is_first_on_connection: bool, write_time: Duration },
    /// The last byte of the final response arrived at the client.
    Answered(FinalResponse),
    /// The connection of the client ended without a final response.
    ConnectionEnded,
    /// The client disconnected without waiting for the response.
    Disconnected,
    /// The last byte of an attempt arrived at a backend, which read it after `read_delay`.
    AttemptArrived {
        attempt: u64,
        backend: usize,
        budget_ms: u64,
        read_delay: Duration,
        /// Whether the attempt is for another client, which sent the id of the request again.
        is_of_other_client: bool,
    },
    /// An attempt ended at this time or later: the backend began to write the end of the response,
    /// or the end of the connection arrived.
    AttemptEnded { attempt: u64, end: AttemptEnd },
}

/// A change of a proxy, of a backend or of discovery that the soak made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// A proxy is about to be sent SIGTERM.
    Terminated(usize),
    /// A proxy is about to be sent SIGKILL.
    Killed(usize),
    /// A proxy that was killed has ended. Another process then takes its place.
    Ended(usize),
    /// A proxy that was sent SIGTERM has ended on its own.
    Exited(usize),
    /// A proxy that was started again is ready.
    Started(usize),
    /// A backend is about to be listed as draining.
    Draining(usize),
    /// A backend is about to be listed as ready again.
    Ready(usize),
    /// Discovery is about to end its watches and to stop responding.
    DiscoveryDown,
    /// Discovery responds again.
    DiscoveryUp,
    /// A crowd of idle clients begins to connect to a proxy.
    Crowd(usize),
}

/// A period for which the soak stopped a proxy by SIGSTOP.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    /// The number of the proxy.
    pub proxy: usize,
    /// The time just before the proxy was sent SIGSTOP.
    pub began: Instant,
    /// The time just after the proxy was sent SIGCONT, or just before it is sent SIGKILL.
    pub ended: Instant,
}

/// All observations of one run, and the delays of the soak itself.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// Guards the observations, each with its time and the id of its request.
    requests: Mutex<Vec<(Instant, String, Observation)>>,
    /// Guards the changes, each with its time.
    changes: Mutex<Vec<(Instant, Change)>>,
    /// Guards the periods for which proxies were stopped.
    stops: Mutex<Vec<Stop>>,
    /// Guards the excess durations of the sleeps of this program, each with the time at which the
    /// sleep ended.
    delays: Mutex<Vec<(Instant, Duration)>>,
    /// Guards the number of attempts that have arrived at backends so far.
    attempts: Mutex<u64>,
    /// Guards the open write that may not be repeated of each client.
    open_writes: Mutex<BTreeMap<ClientId, String>>,
}

/// A client: the number of its proxy, and its number among the clients of the proxy.
pub(super) type ClientId = (usize, usize);

/// The interval at which this program measures its own delay.
const DELAY_INTERVAL: Duration = Duration::from_millis(5);

impl Record {
    /// Records an observation of a request.
    pub(super) fn add_observation(&self, at: Instant, id: &str, observation: Observation) {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).push((at, id.to_owned(), observation));
    }

    /// Records a change at the present time.
    pub(super) fn add_change(&self, change: Change) {
        self.add_change_at(Instant::now(), change);
    }

    /// Records a change at a time.
    pub(super) fn add_change_at(&self, at: Instant, change: Change) {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner).push((at, change));
    }

    /// Records a period for which a proxy was stopped.
    pub(super) fn add_stop(&self, stop: Stop) {
        self.stops.lock().unwrap_or_else(PoisonError::into_inner).push(stop);
    }

    /// Records the command of a client's open write, or that the client has none.
    pub(super) fn set_open_write(&self, client: ClientId, command: Option<&str>) {
        let mut open_writes = self.open_writes.lock().unwrap_or_else(PoisonError::into_inner);
        match command {
            Some(command) => open_writes.insert(client, command.to_owned()),
            None => open_writes.remove(&client),
        };
    }

    /// Returns the commands of the open writes of a proxy's clients.
    pub(super) fn open_writes(&self, proxy: usize) -> Vec<String> {
        let open_writes = self.open_writes.lock().unwrap_or_else(PoisonError::into_inner);
        open_writes.iter().filter(|(client, _)| client.0 == proxy).map(|(_, text)| text.clone()).collect()
    }

    /// Returns the number of the next attempt.
    pub(super) fn next_attempt(&self) -> u64 {
        let mut attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        *attempts += 1;
        *attempts
    }

    /// Measures until `ends` the scheduling delay of the threads of this program, which is the
    /// error of the recorded times.
    pub(super) fn measure_own_delays(&self, ends: Instant) {
        while Instant::now() < ends {
            let began = Instant::now();
            thread::sleep(DELAY_INTERVAL);
            let late = began.elapsed().saturating_sub(DELAY_INTERVAL);
            self.delays.lock().unwrap_or_else(PoisonError::into_inner).push((Instant::now(), late));
        }
    }

    /// Returns the observations of requests in the order of time.
    pub(super) fn requests(&self) -> Vec<(Instant, String, Observation)> {
        let mut observations = self.requests.lock().unwrap_or_else(PoisonError::into_inner).clone();
        observations.sort_by_key(|(at, _, _)| *at);
        observations
    }

    /// Returns the changes in the order in which they were recorded.
    pub(super) fn changes(&self) -> Vec<(Instant, Change)> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the periods for which proxies were stopped.
    pub(super) fn stops(&self) -> Vec<Stop> {
        self.stops.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the delays of this program in the order of time.
    pub(super) fn delays(&self) -> Vec<(Instant, Duration)> {
        self.delays.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
