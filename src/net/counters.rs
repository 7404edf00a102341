//! Counts the proxy's connections, requests, attempts and faults by kind. Read [`Counters`] first.
//!
//! Invariant: the names in `stats` and in the log are the strings in the list of `counters!`, in
//! its order, because dashboards and alarms read them. The names are older than the terms of the
//! fields: a *consumer* is a client, a *provider* is a backend, and a *call* is an attempt.

use crate::interface::{GiveUpReason, Outcome};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// A monotonic counter that any thread may increment.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds 1 to the counter.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds `count` to the counter.
    pub fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counters as pairs of the name in `stats` and the value.
pub type CounterList = Vec<(&'static str, u64)>;

/// Counters that another part of the process keeps and that are read through a function.
#[derive(Default)]
pub struct ExternalCounters(OnceLock<Box<dyn Fn() -> CounterList + Send + Sync>>);

impl ExternalCounters {
    /// Sets the function that reads the counters. Only the first call has an effect.
    pub fn set_source(&self, list: impl Fn() -> CounterList + Send + Sync + 'static) {
        let _ = self.0.set(Box::new(list));
    }

    /// Returns the counters, or an empty list if no source is set.
    fn list(&self) -> CounterList {
        self.0.get().map_or(CounterList::new(), |list| list())
    }
}

impl std::fmt::Debug for ExternalCounters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ExternalCounters")
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident => $name:literal,)*) => {
        /// All counters of one process, starting from 0.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $field: Counter,)*
            /// Counters of the fleet and the policy.
            pub external: ExternalCounters,
        }

        impl Counters {
            /// Lists all counters in a fixed order, the external ones last.
            pub fn list(&self) -> CounterList {
                let mut list = vec![$(($name, self.$field.get()),)*];
                list.extend(self.external.list());
                list
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    connections_accepted => "consumers_accepted",
    /// Client connections closed to make room for others.
    connections_evicted => "consumers_evicted",
    /// Client connections closed while idle, because connections of their kind are rarely reused.
    connections_unlikely_to_return => "consumers_hopeless",
    /// Client connections closed because too many were in the same phase.
    connections_over_budget => "consumers_over_budget",
    /// Client connections closed because they stayed in one phase for too long.
    connections_overdue => "consumers_late",
    /// Read requests accepted.
    reads_accepted => "taken_reads",
    /// Write requests accepted.
    writes_accepted => "taken_writes",
    /// Commands of clients that were unknown, malformed or too large.
    commands_malformed => "taken_malformed",
    /// Requests rejected because the memory budget had no room for their responses.
    requests_rejected_for_memory => "rejected_for_memory",
    /// Requests served.
    requests_served => "answered_served",
    /// Requests rejected.
    requests_rejected => "answered_rejected",
    /// Requests that got the response "failed".
    requests_failed => "answered_failed",
    /// Requests cancelled because their client disconnected.
    requests_cancelled => "consumers_gone",
    /// Requests that the dispatcher's periodic guard failed because their timer was lost or late.
    requests_expired => "overdue",
    /// Attempts that the decision module requested.
    attempts_requested => "calls_ordered",
    /// Attempts that were served.
    attempts_served => "calls_ok",
    /// Attempts at a cache node that did not hold the key.
    attempts_missed => "calls_miss",
    /// Attempts that failed at the backend.
    attempts_failed => "calls_error",
    /// Attempts that the backend rejected.
    attempts_rejected => "calls_full",
    /// Attempts that timed out.
    attempts_timed_out => "calls_timeout",
    /// Attempts whose connection was not established.
    attempts_connect_failed => "calls_connect_failed",
    /// Attempts whose connection broke.
    attempts_reset => "calls_reset",
    /// Attempts that were cancelled.
    attempts_cancelled => "calls_cancelled",
    /// Attempts that ended without being sent.
    attempts_not_sent => "calls_moot",
    /// Responses of backends that were malformed or incomplete.
    responses_malformed => "answers_spoilt",
    /// Long values that were streamed completely.
    values_streamed => "values_flowed",
    /// Long values whose stream broke off.
    values_broken => "values_broken",
    /// Connections opened to backends.
    backend_connections => "provider_connections",
    /// Discovery watches started.
    watches => "watches",
    /// Discovery watches that failed or ended.
    watches_failed => "watches_failed",
    /// Endpoint lists, full or with changes only, received from discovery.
    endpoint_lists => "lists",
    /// Reloads of the configuration on SIGHUP.
    reloads => "reloads",
    /// Reloads that found an invalid configuration and left the old one active.
    reloads_failed => "reloads_failed",
    /// Panics caught in a coroutine or the decision module.
    panics => "panics",
    /// Requests failed because the process stopped.
    requests_failed_at_stop => "answered_at_stop",
    /// Final responses that were ready only after the client's deadline.
    responses_late => "answered_late",
    /// Hold-ups of the whole process (see [`hold_up`](super::hold_up)).
    hold_ups => "held_up",
    /// Bytes that clients sent after the end of their connection was announced, and that were
    /// discarded.
    bytes_discarded => "bytes_discarded",
    /// Requests that were given up because the settings lack their class.
    given_up_unknown_class => "given_up_unknown_class",
    /// Requests that were given up because the fleet was overloaded.
    given_up_fleet_overloaded => "given_up_overloaded",
    /// Requests that were given up because they missed and the origin was overloaded.
    given_up_origin_overloaded => "given_up_origin_overloaded",
    /// Requests that were given up because they were queued for too long.
    given_up_queued_too_long => "given_up_queued_too_long",
    /// Requests that were given up at their deadline.
    given_up_deadline => "given_up_deadline",
    /// Requests that were given up after their last attempt.
    given_up_attempts_used_up => "given_up_attempts_used_up",
    /// Requests that were given up because another attempt could apply their effect twice.
    given_up_repeat_unsafe => "given_up_repeat_unsafe",
    /// Requests that were given up because the retry budget was empty.
    given_up_retry_budget => "given_up_retry_budget",
    /// Requests that were given up because their backend was no longer listed.
    given_up_backend_unknown => "given_up_backend_unknown",
    /// Requests that were given up because the decision module panicked.
    given_up_panicked => "given_up_panicked",
}

impl Counters {
    /// Returns the counter of attempts with this outcome.
    pub fn outcome(&self, outcome: Outcome) -> &Counter {
        match outcome {
            Outcome::Ok => &self.attempts_served,
            Outcome::Miss => &self.attempts_missed,
            Outcome::Error => &self.attempts_failed,
            Outcome::Full => &self.attempts_rejected,
            Outcome::Timeout => &self.attempts_timed_out,
            Outcome::ConnectFailed => &self.attempts_connect_failed,
            Outcome::Reset => &self.attempts_reset,
            Outcome::Cancelled => &self.attempts_cancelled,
            Outcome::Moot => &self.attempts_not_sent,
        }
    }

    /// Returns the counter of requests that were given up for this reason.
    pub fn given_up(&self, reason: GiveUpReason) -> &Counter {
        match reason {
            GiveUpReason::UnknownClass => &self.given_up_unknown_class,
            GiveUpReason::FleetOverloaded => &self.given_up_fleet_overloaded,
            GiveUpReason::OriginOverloaded => &self.given_up_origin_overloaded,
            GiveUpReason::QueuedTooLong => &self.given_up_queued_too_long,
            GiveUpReason::DeadlineReached => &self.given_up_deadline,
            GiveUpReason::AttemptsUsedUp => &self.given_up_attempts_used_up,
            GiveUpReason::RepeatUnsafe => &self.given_up_repeat_unsafe,
            GiveUpReason::RetryBudgetEmpty => &self.given_up_retry_budget,
            GiveUpReason::BackendUnknown => &self.given_up_backend_unknown,
            GiveUpReason::Panicked => &self.given_up_panicked,
        }
    }

    /// Formats all counters as one line of `name=value` pairs.
    pub fn line(&self) -> String {
        let mut line = String::from("counters");
        for (name, value) in self.list() {
            let _ = write!(line, " {name}={value}");
        }
        line
    }
}

#[cfg(test)]
#[path = "counters_golden_tests.rs"]
mod golden_tests;
