//! [`ValueHistory`]: whether the backends' values are long at times.

use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of short values in a row after which no long value is expected.
const MIN_SHORT_VALUES: usize = 128;

/// How many short values have been served since the last long one. A new process expects long values.
#[derive(Debug, Default)]
pub struct ValueHistory {
    short_values: AtomicUsize,
}

impl ValueHistory {
    /// Records that a short value was served.
    pub fn record_short(&self) {
        let count = |values: usize| (values < MIN_SHORT_VALUES).then_some(values + 1);
        // An error means that the count has reached its limit.
        let _ = self.short_values.fetch_update(Ordering::AcqRel, Ordering::Acquire, count);
    }

    /// Records that the response to a request begins with a long value.
    pub fn record_long(&self) {
        self.short_values.store(0, Ordering::Release);
    }

    /// Decides whether the response to a read may be a long value, which may break off after its
    /// beginning was passed on.
    ///
    /// Inputs: the number of short values that were served since the last long one.
    /// Reason: a request that is executed behind a value that breaks off cannot be answered. Where
    /// no value is long, requests do not have to wait for the values before them.
    /// Source: docs/incidents/2026-12-06-slow-long-values-cut-off-in-pipelines.md.
    pub fn expects_long_values(&self) -> bool {
        self.short_values.load(Ordering::Acquire) < MIN_SHORT_VALUES
    }
}

#[cfg(test)]
mod tests;
