//! [`Counters`]: what the proxy has accepted, sent and responded, by kind. `stats`, the log and
//! operators' dashboards show them under the names of the fields, in their order: both are fixed.

use crate::interface::Outcome;
use std::fmt::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// One counter, which only grows.
#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
    /// Adds one.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Names and values, in the order in which they are shown.
type NamedCounts = Vec<(&'static str, u64)>;

/// Counters that another part of the program keeps: those of the fleet.
#[derive(Default)]
pub struct ExternalCounters(OnceLock<Box<dyn Fn() -> NamedCounts + Send + Sync>>);

impl ExternalCounters {
    /// From now on what `list` returns is shown too. Called once, at the start; only the first call
    /// counts.
    pub fn set_source(&self, list: impl Fn() -> NamedCounts + Send + Sync + 'static) {
        let _ = self.0.set(Box::new(list));
    }

    fn list(&self) -> NamedCounts {
        self.0.get().map_or(Vec::new(), |list| list())
    }
}

impl fmt::Debug for ExternalCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ExternalCounters")
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All counters of one proxy since its start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Count,)*
            /// Counters that another part of the program keeps.
            pub external: ExternalCounters,
        }

        impl Counters {
            /// Names and values, in a fixed order.
            pub fn list(&self) -> Vec<(&'static str, u64)> {
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
    /// Client connections closed to make room, with the connection limit reached.
    consumers_evicted,
    /// Client connections closed while idle since hardly any of their kind return.
    consumers_hopeless,
    /// Client connections closed since too many of them owed the same.
    consumers_over_budget,
    /// Client connections closed since they stayed in a phase beyond its time.
    consumers_late,
    /// Reads accepted.
    taken_reads,
    /// Writes accepted.
    taken_writes,
    /// Commands refused as unknown, malformed or too large.
    taken_malformed,
    /// Commands rejected since there was no memory for their responses.
    rejected_for_memory,
    /// Requests served.
    answered_served,
    /// Requests rejected.
    answered_rejected,
    /// Requests failed.
    answered_failed,
    /// Requests whose client left first.
    consumers_gone,
    /// Requests that the decision module left open until the dispatcher ended them.
    overdue,
    /// Attempts ordered by the decision module.
    calls_ordered,
    /// Attempts that ended served.
    calls_ok,
    /// Attempts that ended as a miss.
    calls_miss,
    /// Attempts that failed at the backend.
    calls_error,
    /// Attempts rejected by the backend.
    calls_full,
    /// Attempts that timed out.
    calls_timeout,
    /// Attempts that got no connection.
    calls_connect_failed,
    /// Attempts whose connection broke.
    calls_reset,
    /// Attempts cancelled.
    calls_cancelled,
    /// Attempts not sent.
    calls_moot,
    /// Responses of backends that could not be parsed or never came to their end.
    answers_spoilt,
    /// Long values streamed to their end.
    values_flowed,
    /// Long values whose stream broke off.
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
    /// Configurations refused at SIGHUP; the old one stayed.
    reloads_failed,
    /// Panics caught in a coroutine or the module.
    panics,
}

impl Counters {
    /// The counter of attempts that ended so.
    pub fn for_outcome(&self, outcome: Outcome) -> &Count {
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

    /// All of them in one line, as `name=value`.
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
