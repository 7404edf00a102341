//! How likely an idle connection is to be used again, learnt from those before it:
//! [`ReuseEstimator`].
//!
//! It is a life table (the actuarial estimate of survival analysis): ages are cut into intervals,
//! and each interval counts the connections that entered it, that were used again in it, and that
//! the client closed in it. A connection that the server closed is censored: it counts for the
//! intervals that it survived and says nothing of the one in which it was closed.

/// Where the intervals of age begin, in ms; the last has no end.
pub const EDGES: [u64; 14] = [0, 50, 100, 200, 300, 400, 600, 800, 1200, 1600, 2000, 3000, 5000, 8000];
/// What was seen counts half after this time, in ms: clients change their ways.
const HALF_LIFE: f64 = 4000.0;
/// Decay is applied at most so often, in ms: that is as good as at each call, and spares most of
/// the work.
const DECAY_INTERVAL: u64 = 64;
/// So many connections are taken to have entered each interval before anything was seen. As large
/// a share of them as in the interval before is taken to have been used again, yet at least
/// [`LEAST_REUSE`]; in the first interval it is [`FIRST_REUSE`]: a connection is worth keeping
/// until the contrary shows.
const PRIOR_COUNT: f64 = 2.0;
const FIRST_REUSE: f64 = 0.2;
const LEAST_REUSE: f64 = 0.03;

/// What was seen in one interval of age; recent connections count more.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    entered: f64,
    reused: f64,
    closed_by_client: f64,
}

/// A life table of idle connections of one kind. Times and ages are in ms; intervals are indices
/// into [`EDGES`].
#[derive(Clone, Debug, Default)]
pub struct ReuseEstimator {
    decayed_at: u64,
    intervals: [Interval; EDGES.len()],
}

/// The interval that an age lies in.
pub(crate) fn interval_of(age: u64) -> usize {
    EDGES.iter().rposition(|edge| *edge <= age).unwrap_or_default()
}

/// How many intervals end by this age.
fn intervals_before(age: u64) -> usize {
    EDGES.iter().skip(1).take_while(|end| **end <= age).count()
}

impl ReuseEstimator {
    /// A connection has survived an interval without being used.
    ///
    /// # Panics
    ///
    /// There is no such interval.
    pub fn record_survival(&mut self, now: u64, interval: usize) {
        self.decay(now);
        self.intervals[interval].entered += 1.0;
    }

    /// A connection was used again in this interval.
    ///
    /// # Panics
    ///
    /// There is no such interval.
    pub fn record_reuse(&mut self, now: u64, interval: usize) {
        self.record_survival(now, interval);
        self.intervals[interval].reused += 1.0;
    }

    /// A client has closed its connection in this interval.
    ///
    /// # Panics
    ///
    /// There is no such interval.
    pub fn record_client_close(&mut self, now: u64, interval: usize) {
        self.record_survival(now, interval);
        self.intervals[interval].closed_by_client += 1.0;
    }

    /// How likely a connection at the beginning of an interval is to be used again before the age
    /// of `until`. Intervals that end later do not count: hardly any connection is allowed to
    /// survive them.
    pub fn reuse_probability(&self, from: usize, until: u64) -> f64 {
        let mut probability = 0.0;
        let mut surviving = 1.0;
        let mut prior = FIRST_REUSE;
        for (index, interval) in self.intervals[..intervals_before(until)].iter().enumerate() {
            let entered = interval.entered + PRIOR_COUNT;
            let reused = interval.reused + PRIOR_COUNT * prior;
            prior = (reused / entered).max(LEAST_REUSE);
            if index >= from {
                probability += surviving * reused / entered;
                let ended = reused + interval.closed_by_client;
                surviving *= (1.0 - ended / entered).max(0.0);
            }
        }
        probability
    }

    /// The age from which on a connection is less likely than `required` to be used again before
    /// the age of `until`; `until` if there is no such age.
    pub fn unlikely_to_return_from(&self, required: f64, until: u64) -> u64 {
        let intervals = intervals_before(until);
        // The probability may rise with the age: a client may send a request every 1.9 s. Only
        // what stays low is unlikely.
        let is_likely = |from: &usize| self.reuse_probability(*from, until) >= required;
        match (0..intervals).rev().find(is_likely) {
            None => 0,
            Some(last_likely) if last_likely + 1 < intervals => EDGES[last_likely + 1],
            Some(_) => until,
        }
    }

    fn decay(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        let remaining = (-(elapsed as f64) / HALF_LIFE).exp2();
        for interval in &mut self.intervals {
            interval.entered *= remaining;
            interval.reused *= remaining;
            interval.closed_by_client *= remaining;
        }
        self.decayed_at = now;
    }
}
