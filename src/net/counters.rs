//! What the proxy has taken in, sent and answered, by kind. Read [`Counters`] first.
//!
//! Its fields are named as `stats` and the log show them. Operators read them by name, so that
//! older words stay there: a consumer is a client, a provider a backend, a call an attempt.

use crate::interface::Outcome;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// One count.
#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
    /// One more.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Names and values.
type List = Vec<(&'static str, u64)>;

/// Counters that other modules keep: those of the fleet and of its policy.
#[derive(Default)]
pub struct Others(OnceLock<Box<dyn Fn() -> List + Send + Sync>>);

impl Others {
    /// From now on these are listed too.
    pub fn are(&self, list: impl Fn() -> List + Send + Sync + 'static) {
        // Set once, at the start.
        let _ = self.0.set(Box::new(list));
    }
}

impl std::fmt::Debug for Others {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Others")
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All counts of one proxy since its start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Count,)*
            /// The counters that other modules keep.
            pub others: Others,
        }

        impl Counters {
            /// Names and values, in a fixed order.
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                let mut list = vec![$((stringify!($name), self.$name.get()),)*];
                list.extend(self.others.0.get().into_iter().flat_map(|others| others()));
                list
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    consumers_accepted,
    /// Client connections closed to make room, with every place taken.
    consumers_evicted,
    /// Client connections closed while idle since hardly any of their kind send another request.
    consumers_hopeless,
    /// Client connections closed since too many were in their phase.
    consumers_over_budget,
    /// Client connections closed since they were in their phase for too long.
    consumers_late,
    /// Reads taken in.
    taken_reads,
    /// Writes taken in.
    taken_writes,
    /// Commands answered as unknown, malformed or too large.
    taken_malformed,
    /// Commands rejected since there was no memory for them and their responses.
    rejected_for_memory,
    /// Requests served.
    answered_served,
    /// Requests that the decision module rejected.
    answered_rejected,
    /// Requests failed.
    answered_failed,
    /// Requests whose client left first.
    consumers_gone,
    /// Requests that the decision module left open until the dispatcher ended them.
    overdue,
    /// Attempts that the decision module asked for.
    calls_ordered,
    /// Attempts that ended served.
    calls_ok,
    /// Attempts answered with a miss.
    calls_miss,
    /// Attempts that the backend answered with an error.
    calls_error,
    /// Attempts rejected by the backend since it was full.
    calls_full,
    /// Attempts that timed out.
    calls_timeout,
    /// Attempts for which no connection was established.
    calls_connect_failed,
    /// Attempts whose connection broke.
    calls_reset,
    /// Attempts cancelled by the proxy.
    calls_cancelled,
    /// Attempts that were decided and never sent.
    calls_moot,
    /// Responses of backends that could not be understood or were not finished.
    answers_spoilt,
    /// Long values passed on in pieces, to their end.
    values_flowed,
    /// Long values that broke off on the way.
    values_broken,
    /// Connections opened to backends.
    provider_connections,
    /// Watches started at discovery.
    watches,
    /// Watches that failed or ended.
    watches_failed,
    /// Lists and changes received from discovery.
    lists,
    /// Configurations read again at SIGHUP.
    reloads,
    /// Configurations that were bad at SIGHUP; the old one stayed.
    reloads_failed,
    /// Panics caught in a coroutine or the decision module.
    panics,
}

impl Counters {
    /// The count of an outcome.
    pub fn outcome(&self, outcome: Outcome) -> &Count {
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

    /// One line of `name=value`.
    pub fn line(&self) -> String {
        let mut out = String::from("counters");
        for (name, value) in self.list() {
            let _ = write!(out, " {name}={value}");
        }
        out
    }
}

#[cfg(test)]
#[path = "counters_golden_tests.rs"]
mod golden_tests;
