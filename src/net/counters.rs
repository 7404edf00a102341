//! What the proxy has taken in, sent and answered, by kind.

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

/// Counts that somebody else keeps.
#[derive(Default)]
pub struct ExternalCounters(OnceLock<Box<dyn Fn() -> List + Send + Sync>>);

impl ExternalCounters {
    /// From now on these are counted too.
    pub fn set_source(&self, list: impl Fn() -> List + Send + Sync + 'static) {
        // Set once, at the start.
        let _ = self.0.set(Box::new(list));
    }
}

impl std::fmt::Debug for ExternalCounters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ExternalCounters")
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All counts of one proxy since its start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Count,)*
            /// What else is counted.
            pub external: ExternalCounters,
        }

        impl Counters {
            /// Names and values, in a fixed order.
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                let mut list = vec![$((stringify!($name), self.$name.get()),)*];
                list.extend(self.external.0.get().into_iter().flat_map(|others| others()));
                list
            }
        }
    };
}

counters! {
    /// Consumer connections accepted.
    consumers_accepted,
    /// Consumer connections closed to make room, with every place taken.
    consumers_evicted,
    /// Consumer connections closed while idle since hardly any of their kind come back.
    consumers_hopeless,
    /// Consumer connections closed since too many of them owed the same.
    consumers_over_budget,
    /// Consumer connections closed since they kept a wait beyond its time.
    consumers_late,
    /// Reads taken in.
    taken_reads,
    /// Writes taken in.
    taken_writes,
    /// Commands answered as unknown, malformed or too large.
    taken_malformed,
    /// Commands turned away since there was no memory for their answers.
    rejected_for_memory,
    /// Invocations served.
    answered_served,
    /// Invocations answered with a rejection.
    answered_rejected,
    /// Invocations failed.
    answered_failed,
    /// Invocations whose consumer left first.
    consumers_gone,
    /// Invocations the module left unanswered until the exchange ended them.
    overdue,
    /// Invoker calls ordered by the module.
    calls_ordered,
    /// Invoker calls that ended served.
    calls_ok,
    /// Invoker calls answered as missing.
    calls_miss,
    /// Invoker calls that failed at the provider.
    calls_error,
    /// Invoker calls turned away by the provider.
    calls_full,
    /// Invoker calls that ran out of time.
    calls_timeout,
    /// Invoker calls that never got a connection.
    calls_connect_failed,
    /// Invoker calls whose connection broke.
    calls_reset,
    /// Invoker calls called off.
    calls_cancelled,
    /// Invoker calls never sent.
    calls_moot,
    /// Answers of providers that could not be understood or never came to their end.
    answers_spoilt,
    /// Long values passed on in pieces, to their end.
    values_flowed,
    /// Long values that broke off on the way.
    values_broken,
    /// Connections opened to providers.
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
    /// Panics caught in a coroutine or the module.
    panics,
}

impl Counters {
    /// The count of an outcome.
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
