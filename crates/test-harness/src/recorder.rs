//! Records for the history checker what clients, cache nodes, the origin and discovery send to a
//! proxy and receive from it. Each test has its own [`Recorder`], to which all its stubs and
//! clients write.

mod from_json;

use pinetrail_history_checker::{
    check, check_quota, AttemptEnd, History, HistoryEvent, ProxyEnd, ResponseOutcome, Time, Violation,
};
use serde_json::Value;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Largest error of recorded times, by which the checker extends each time limit: 50 ms on sockets,
/// as the protocol allows, and the scheduling delay of a busy machine. The exact limits are checked
/// on simulated histories.
const CLOCK_ERROR_MS: Time = 250.0;
/// Name of the proxy in the history; the same for all its processes, since the rules treat them as
/// one proxy.
const PROXY: &str = "p";

/// The events recorded so far. Clones write to the same recording.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    /// The time of `start`, in ms since the Unix epoch.
    start_unix_ms: f64,
    /// Guards the events, which are kept in the order of time.
    recording: Arc<Mutex<Recording>>,
}

#[derive(Default)]
struct Recording {
    events: Vec<(Time, HistoryEvent)>,
    /// The number of attempts that have been recorded, which is also the number of the last one.
    attempts: u64,
}

thread_local! {
    static CURRENT: Recorder = Recorder::new();
}

impl Recorder {
    #[allow(clippy::disallowed_methods, reason = "endpoint lists give the starts of nodes as Unix times")]
    fn new() -> Recorder {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Recorder {
            start: Instant::now(),
            start_unix_ms: since_epoch.as_secs_f64() * 1000.0,
            recording: Arc::default(),
        }
    }

    /// Returns the recorder of this thread, and so of the test that the thread runs.
    pub fn current() -> Recorder {
        CURRENT.with(Recorder::clone)
    }

    /// Returns the time since the start of the recording, in ms.
    fn now(&self) -> Time {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn record(&self, event: HistoryEvent) {
        let mut recording = self.recording.lock().unwrap();
        // The clock is read under the lock, so that events are stored in the order of time.
        let at = self.now();
        recording.events.push((at, event));
    }

    /// Records that a configuration has become active and that the proxy knows its cached endpoint
    /// list.
    ///
    /// # Panics
    /// If the configuration is invalid.
    pub fn record_active_config(&self, config: &str) {
        let config: Value = serde_json::from_str(config).unwrap();
        let limits = from_json::limits(&config["settings"]);
        self.record(HistoryEvent::ConfigActivated { proxy: PROXY.into(), limits });
        self.record_endpoint_list(&config["known"].to_string());
    }

    /// Records that discovery has sent an endpoint list or changes to it. Ignores text that is not
    /// JSON.
    ///
    /// # Panics
    /// If an entry lacks a field.
    pub fn record_endpoint_list(&self, list: &str) {
        let Ok(list) = serde_json::from_str::<Value>(list) else { return };
        let entries = list["instances"].as_array().into_iter().flatten();
        let nodes = entries.map(|entry| from_json::node(entry, self.start_unix_ms)).collect();
        let is_full = list["reset"].as_bool().unwrap_or(false);
        self.record(HistoryEvent::EndpointsListed { proxy: PROXY.into(), is_full, nodes });
    }

    /// Records that a client is about to send a command.
    ///
    /// # Panics
    /// If the command has no deadline.
    pub fn record_request(&self, command: &str) {
        let class = label(command, "c").unwrap_or_default().to_owned();
        let budget = label(command, "d").unwrap_or_default().parse().unwrap();
        let request = crate::opaque(command).to_owned();
        self.record(HistoryEvent::RequestSent { proxy: PROXY.into(), request, class, budget });
    }

    /// Records that a client has received the response to a command: the line of the response and
    /// the line of its value.
    ///
    /// # Panics
    /// If the line reports a successful write without a receipt.
    pub fn record_response(&self, command: &str, line: &str, value: &str) {
        let request = crate::opaque(command).to_owned();
        let answer = match line.split(' ').next() {
            Some("VA") => ResponseOutcome::Served(value.trim_end().to_owned()),
            Some("HD") => ResponseOutcome::Served(line.trim_end().rsplit_once(" c").unwrap().1.to_owned()),
            _ if line.starts_with("SERVER_ERROR busy") => ResponseOutcome::Rejected,
            _ => ResponseOutcome::Failed,
        };
        self.record(HistoryEvent::ResponseReceived { request, outcome: answer });
    }

    /// Records that the client of a command closes its connection.
    pub fn record_client_gone(&self, command: &str) {
        let request = crate::opaque(command).to_owned();
        self.record(HistoryEvent::ClientDisconnected { request });
    }

    /// Records that the proxy has exited on its own.
    pub fn record_exit(&self) {
        self.record(HistoryEvent::ProxyEnded { proxy: PROXY.into(), how: ProxyEnd::Exited });
    }

    /// Records that a backend has read a request; returns the number of the attempt.
    ///
    /// # Panics
    /// If a thread has panicked while it recorded an event.
    pub fn record_backend_request(&self, address: &str, text: &str) -> u64 {
        let transaction = text.lines().find_map(|line| line.strip_prefix("X-Txn: "));
        let request = transaction.map_or_else(|| crate::opaque(text).to_owned(), |id| format!("O{id}"));
        let attempt = self.next_attempt();
        self.record(HistoryEvent::AttemptReceived {
            proxy: PROXY.to_owned(),
            request,
            attempt,
            address: address.to_owned(),
            first_byte_at: self.now(),
            work: 1.0,
        });
        attempt
    }

    fn next_attempt(&self) -> u64 {
        let mut recording = self.recording.lock().unwrap();
        recording.attempts += 1;
        recording.attempts
    }

    /// Records that a backend is about to send this response to an attempt; if there is none, that
    /// the connection of the attempt has ended.
    ///
    /// # Panics
    /// If the head of an HTTP response has no end.
    pub fn record_backend_response(&self, attempt: u64, text: Option<&str>) {
        let end = text.map_or(AttemptEnd::Broken, end_of_attempt);
        self.record(HistoryEvent::AttemptEnded { attempt, end });
    }

    /// Records the quota that a process reports, as a fraction from 0 to 1. An attempt of the
    /// process lasts at most `longest_attempt` ms.
    pub fn record_quota(&self, proxy: &str, fraction: f64, longest_attempt: Time) {
        let proxy = proxy.to_owned();
        self.record(HistoryEvent::QuotaStated { proxy, fraction, longest_attempt });
    }

    /// Records the limit of attempts that all proxies together may have in flight at a backend.
    pub fn record_attempt_limit(&self, address: &str, limit: usize) {
        let address = address.to_owned();
        self.record(HistoryEvent::AttemptLimitSet { address, limit });
    }

    /// Returns the history of all events that have been recorded.
    ///
    /// # Panics
    /// If a thread has panicked while it recorded an event.
    pub fn history(&self) -> History {
        let events = self.recording.lock().unwrap().events.clone();
        History { clock_error: CLOCK_ERROR_MS, events }
    }

    /// Checks the recorded history against all rules.
    ///
    /// # Panics
    /// If a rule is violated or the history cannot be checked.
    pub fn check(&self) {
        assert_no_violation(&check(&self.history()).expect("the history is complete"));
    }

    /// Checks only the recorded quotas.
    ///
    /// # Panics
    /// If at some time the quotas add up to more than 1, or no quota was recorded.
    pub fn check_quota(&self) {
        assert_no_violation(&check_quota(&self.history()).expect("quotas were recorded"));
    }
}

fn assert_no_violation(violations: &[Violation]) {
    assert!(
        violations.is_empty(),
        "{} violations of the rules, the first: {}",
        violations.len(),
        violations[0]
    );
}

/// Returns the end of an attempt to which the backend sends this response.
fn end_of_attempt(text: &str) -> AttemptEnd {
    if text.starts_with("VA ") {
        AttemptEnd::Served(text.lines().nth(1).unwrap_or_default().to_owned())
    } else if text.starts_with("EN ") {
        AttemptEnd::Missed
    } else if text.starts_with("SERVER_ERROR busy") {
        AttemptEnd::Rejected
    } else if text.starts_with("HTTP/1.1 200") {
        AttemptEnd::Served(text.split_once("\r\n\r\n").unwrap().1.to_owned())
    } else if text.contains("X-Turned-Away: 1") {
        AttemptEnd::Rejected
    } else {
        AttemptEnd::Failed
    }
}

/// Returns the value of a label of a command, such as `read` for `c` in `Pc=read,t=acme`.
fn label<'a>(command: &'a str, name: &str) -> Option<&'a str> {
    let labels = command.split_whitespace().find_map(|word| word.strip_prefix('P'))?;
    labels.split(',').find_map(|label| label.strip_prefix(name)?.strip_prefix('='))
}
