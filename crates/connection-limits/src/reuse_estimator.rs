//! Estimates the probability that an idle connection is used again, from earlier connections; read
//! [`ReuseEstimator`] first.
//!
//! The estimator is a life table (the actuarial estimate of survival analysis): ages are divided
//! into intervals, and each interval counts the connections that entered it, that were used again
//! in it, and that the client closed in it. A connection that the server closed is censored: it
//! counts for the intervals that it survived, but gives no evidence about the interval in which it
//! was closed.

use crate::{millis_f64, Timestamp};
use std::time::Duration;

/// The age at which each interval begins; the last interval has no end.
pub const INTERVAL_STARTS: [Duration; 14] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(300),
    Duration::from_millis(400),
    Duration::from_millis(600),
    Duration::from_millis(800),
    Duration::from_millis(1_200),
    Duration::from_millis(1_600),
    Duration::from_millis(2_000),
    Duration::from_millis(3_000),
    Duration::from_millis(5_000),
    Duration::from_millis(8_000),
];
/// The half-life of the counts, in ms. Counts decay because clients change how they use
/// connections.
const COUNT_HALF_LIFE_MS: f64 = 4_000.0;
/// The minimum time between two decays of the counts. A decay at each call would give nearly the
/// same counts for much more work.
const MIN_DECAY_INTERVAL: Duration = Duration::from_millis(64);
/// The weight of the prior of each interval, in connections that entered the interval. The prior's
/// share of reused connections is that of the previous interval, but at least [`MIN_PRIOR_REUSE`];
/// in the first interval it is [`FIRST_PRIOR_REUSE`], so that connections are kept until there is
/// evidence against keeping them.
const PRIOR_CONNECTIONS: f64 = 2.0;
/// The prior share of reused connections in the first interval.
const FIRST_PRIOR_REUSE: f64 = 0.2;
/// The minimum prior share of reused connections in any later interval.
const MIN_PRIOR_REUSE: f64 = 0.03;

/// The counts of one interval of age, in which recent connections have more weight.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    entered: f64,
    reused: f64,
    closed_by_client: f64,
}

/// A life table of idle connections of one kind. Intervals are indices into [`INTERVAL_STARTS`].
#[derive(Clone, Debug, Default)]
pub struct ReuseEstimator {
    decayed_at: Timestamp,
    intervals: [Interval; INTERVAL_STARTS.len()],
}

/// Returns the interval that contains an age.
pub(crate) fn interval_of(age: Duration) -> usize {
    INTERVAL_STARTS.iter().rposition(|start| *start <= age).unwrap_or_default()
}

/// Returns the age at which an interval ends; `None` for the last interval.
pub(crate) fn interval_end(interval: usize) -> Option<Duration> {
    INTERVAL_STARTS.get(interval + 1).copied()
}

/// Returns the number of intervals that end by this age.
fn intervals_before(age: Duration) -> usize {
    INTERVAL_STARTS.iter().skip(1).take_while(|end| **end <= age).count()
}

impl ReuseEstimator {
    /// Records that a connection has survived an interval without being used.
    ///
    /// # Panics
    ///
    /// If there is no such interval.
    pub fn record_survival(&mut self, now: Timestamp, interval: usize) {
        self.decay(now);
        self.intervals[interval].entered += 1.0;
    }

    /// Records that a connection was used again in this interval.
    ///
    /// # Panics
    ///
    /// If there is no such interval.
    pub fn record_reuse(&mut self, now: Timestamp, interval: usize) {
        self.record_survival(now, interval);
        self.intervals[interval].reused += 1.0;
    }

    /// Records that a client has closed its connection in this interval.
    ///
    /// # Panics
    ///
    /// If there is no such interval.
    pub fn record_client_close(&mut self, now: Timestamp, interval: usize) {
        self.record_survival(now, interval);
        self.intervals[interval].closed_by_client += 1.0;
    }

    /// Estimates the probability that a connection at the beginning of the interval `from` is used
    /// again before the age of `until`. Intervals that end later are ignored because few
    /// connections are allowed to survive them.
    pub fn reuse_probability(&self, from: usize, until: Duration) -> f64 {
        let mut probability = 0.0;
        let mut surviving = 1.0;
        let mut prior = FIRST_PRIOR_REUSE;
        for (index, interval) in self.intervals[..intervals_before(until)].iter().enumerate() {
            let entered = interval.entered + PRIOR_CONNECTIONS;
            let reused = interval.reused + PRIOR_CONNECTIONS * prior;
            prior = (reused / entered).max(MIN_PRIOR_REUSE);
            if index >= from {
                probability += surviving * reused / entered;
                let ended = reused + interval.closed_by_client;
                surviving *= (1.0 - ended / entered).max(0.0);
            }
        }
        probability
    }

    /// Returns the age from which on the probability that a connection is used again before the age
    /// of `until` is below `required`; `until` if there is no such age.
    pub fn unlikely_to_return_from(&self, required: f64, until: Duration) -> Duration {
        let intervals = intervals_before(until);
        // The probability may rise with the age, for example if a client sends a request every
        // 1.9 s. Therefore reuse counts as unlikely only if no later interval reaches `required`.
        let is_likely = |from: &usize| self.reuse_probability(*from, until) >= required;
        match (0..intervals).rev().find(is_likely) {
            None => Duration::ZERO,
            Some(last_likely) if last_likely + 1 < intervals => INTERVAL_STARTS[last_likely + 1],
            Some(_) => until,
        }
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.saturating_duration_since(self.decayed_at);
        if elapsed < MIN_DECAY_INTERVAL {
            return;
        }
        let remaining = (-millis_f64(elapsed) / COUNT_HALF_LIFE_MS).exp2();
        for interval in &mut self.intervals {
            interval.entered *= remaining;
            interval.reused *= remaining;
            interval.closed_by_client *= remaining;
        }
        self.decayed_at = now;
    }
}
