//! What the proxy has accepted, sent and answered, by kind. Read [`Counters`] first.
//!
//! Danger: the names of its fields leave the process in `stats` and in the log, where dashboards
//! and alarms read them. They are older than the terms used elsewhere: a *consumer* there is a
//! client, a *provider* a backend, a *call* an attempt.

use crate::interface::{GiveUpReason, Outcome};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// One counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Counts one more.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts so many more.
    pub fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Names and values.
pub type CounterList = Vec<(&'static str, u64)>;

/// Counters that another part of the program keeps.
#[derive(Default)]
pub struct ExternalCounters(OnceLock<Box<dyn Fn() -> CounterList + Send + Sync>>);

impl ExternalCounters {
    /// Sets where they are read from; only the first source that is set counts.
    pub fn set_source(&self, list: impl Fn() -> CounterList + Send + Sync + 'static) {
        // Set once, at the start.
        let _ = self.0.set(Box::new(list));
    }

    /// Names and values; none while there is no source.
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
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All counters of one proxy, from 0 at its start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// What the fleet and the common policy count.
            pub external: ExternalCounters,
        }

        impl Counters {
            /// Names and values, in a fixed order; those kept elsewhere come last.
            pub fn list(&self) -> CounterList {
                let mut list = vec![$((stringify!($name), self.$name.get()),)*];
                list.extend(self.external.list());
                list
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    consumers_accepted,
    /// Client connections closed to make room, with the capacity used up.
    consumers_evicted,
    /// Client connections closed while idle since hardly any of their kind are used again.
    consumers_hopeless,
    /// Client connections closed since too many of them were in the same phase.
    consumers_over_budget,
    /// Client connections closed since they were in a phase for too long.
    consumers_late,
    /// Reads accepted.
    taken_reads,
    /// Writes accepted.
    taken_writes,
    /// Commands answered as unknown, malformed or too large.
    taken_malformed,
    /// Requests rejected since there was no memory for their responses.
    rejected_for_memory,
    /// Requests served.
    answered_served,
    /// Requests rejected.
    answered_rejected,
    /// Requests failed.
    answered_failed,
    /// Requests cancelled since their client left.
    consumers_gone,
    /// Requests that the decision module left open until the dispatcher ended them.
    overdue,
    /// Attempts that the decision module asked for.
    calls_ordered,
    /// Attempts that were served.
    calls_ok,
    /// Attempts at a cache node that did not hold the key.
    calls_miss,
    /// Attempts that failed at the backend.
    calls_error,
    /// Attempts that the backend rejected.
    calls_full,
    /// Attempts that ran out of time.
    calls_timeout,
    /// Attempts that got no connection.
    calls_connect_failed,
    /// Attempts whose connection broke.
    calls_reset,
    /// Attempts cancelled.
    calls_cancelled,
    /// Attempts not sent.
    calls_moot,
    /// Responses of backends that were malformed or did not come to their end.
    answers_spoilt,
    /// Long values streamed to their end.
    values_flowed,
    /// Long values that broke off while they streamed.
    values_broken,
    /// Connections opened to backends.
    provider_connections,
    /// Watches started at discovery.
    watches,
    /// Watches that failed or ended.
    watches_failed,
    /// Lists and changes received from discovery.
    lists,
    /// Reloads of the configuration at SIGHUP.
    reloads,
    /// Reloads that found a bad configuration; the old one stayed active.
    reloads_failed,
    /// Panics caught in a coroutine or the decision module.
    panics,
    /// Requests that the end of a drain answered as failed.
    answered_at_stop,
    /// Final responses that were ready to be written only after the client's deadline.
    answered_late,
    /// Moments in which the whole process had been held up.
    held_up,
    /// Bytes thrown away that arrived after a connection's end was announced.
    bytes_discarded,
    /// Requests given up whose class the settings do not have.
    given_up_unknown_class,
    /// Requests given up not admitted to an overloaded fleet.
    given_up_overloaded,
    /// Requests given up that missed, with the origin overloaded.
    given_up_origin_overloaded,
    /// Requests given up queued for too long.
    given_up_queued_too_long,
    /// Requests given up whose time was over.
    given_up_deadline,
    /// Requests given up with no attempt left.
    given_up_attempts_used_up,
    /// Requests given up of which another attempt could have an effect twice.
    given_up_repeat_unsafe,
    /// Requests given up for which there was no retry budget.
    given_up_retry_budget,
    /// Requests given up whose backend had gone.
    given_up_backend_unknown,
    /// Requests given up over which the decision module panicked.
    given_up_panicked,
}

impl Counters {
    /// The counter of an outcome.
    pub fn outcome(&self, outcome: Outcome) -> &Counter {
        match outcome {
            Outcome::Ok => &self.calls_ok,
            Outcome::Miss => &self.calls_miss,
            Outcome::Error => &self.calls_error,
            Outcome::Full => &self.calls_full,
            Outcome::Timeout => &self.calls_timeout,
            Outcome::ConnectFailed => &self.calls_connect_failed,
            Outcome::Reset => &self.calls_reset,
            Outcome::Cancelled => &self.calls_cancelled,
            Outcome::Moot => &self.calls_moot,
        }
    }

    /// The counter of a reason to give a request up.
    pub fn given_up(&self, reason: GiveUpReason) -> &Counter {
        match reason {
            GiveUpReason::UnknownClass => &self.given_up_unknown_class,
            GiveUpReason::FleetOverloaded => &self.given_up_overloaded,
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

    /// All counters as one line of `name=value`, for the log.
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
