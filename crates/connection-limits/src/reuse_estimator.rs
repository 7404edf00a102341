//! How likely an idle connection is to speak again, learnt from those before it.
//!
//! A life table (the actuarial estimate of survival analysis): ages are cut into intervals, and each counts
//! who entered it, who spoke in it and who left in it. A connection that the server closed is censored: it
//! counts for the intervals that it lived through and says nothing of the one that it was closed in.

/// Where the intervals of age begin, in ms; the last has no end.
pub const EDGES: [u64; 14] = [0, 50, 100, 200, 300, 400, 600, 800, 1200, 1600, 2000, 3000, 5000, 8000];
/// What was seen counts half after this time, in ms: clients change their ways.
const HALF_LIFE: f64 = 4000.0;
/// So many are taken to have entered each interval before anything is seen, and as large a share of them to
/// have spoken as in the interval before it, yet at least `LEAST`. Of the first interval it is `FIRST`: a
/// connection is worth keeping until the contrary shows.
const PRIOR: f64 = 2.0;
const FIRST: f64 = 0.2;
const LEAST: f64 = 0.03;

/// A life table of idle connections of one kind.
#[derive(Clone, Debug)]
pub struct ReuseEstimator {
    at: u64,
    entered: [f64; EDGES.len()],
    spoke: [f64; EDGES.len()],
    left: [f64; EDGES.len()],
}

impl Default for ReuseEstimator {
    fn default() -> ReuseEstimator {
        let none = [0.0; EDGES.len()];
        ReuseEstimator { at: 0, entered: none, spoke: none, left: none }
    }
}

/// The interval that an age lies in.
pub(crate) fn interval(age: u64) -> usize {
    EDGES.iter().rposition(|edge| *edge <= age).unwrap_or_default()
}

/// How many intervals end by this age.
fn intervals_before(until: u64) -> usize {
    EDGES.iter().skip(1).take_while(|end| **end <= until).count()
}

impl ReuseEstimator {
    /// A connection has lived through an interval.
    pub fn lived_through(&mut self, now: u64, interval: usize) {
        self.decay(now);
        self.entered[interval] += 1.0;
    }

    /// A connection has spoken again, in this interval.
    pub fn spoke(&mut self, now: u64, interval: usize) {
        self.lived_through(now, interval);
        self.spoke[interval] += 1.0;
    }

    /// A client has closed its connection, in this interval.
    pub fn left(&mut self, now: u64, interval: usize) {
        self.lived_through(now, interval);
        self.left[interval] += 1.0;
    }

    /// How likely a connection that has reached the beginning of an interval is to speak again before the age
    /// of `until`. Intervals that end later count for nothing: hardly anyone is let live through them.
    pub fn chance(&self, from: usize, until: u64) -> f64 {
        let (mut chance, mut there, mut guess) = (0.0, 1.0, FIRST);
        for at in 0..intervals_before(until) {
            let entered = self.entered[at] + PRIOR;
            let spoke = self.spoke[at] + PRIOR * guess;
            guess = (spoke / entered).max(LEAST);
            if at >= from {
                chance += there * spoke / entered;
                there *= (1.0 - (spoke + self.left[at]) / entered).max(0.0);
            }
        }
        chance
    }

    /// The age from which on a connection is less likely than `stake` to speak again before the age of
    /// `until`, which is the answer if there is none.
    pub fn unlikely_to_return_from(&self, stake: f64, until: u64) -> u64 {
        // The chance may rise with the age: a client may ask every 1.9 s. Only what stays low is hopeless.
        let hopeful = (0..intervals_before(until)).rev().find(|at| self.chance(*at, until) >= stake);
        hopeful.map_or(0, |last| if last + 1 < intervals_before(until) { EDGES[last + 1] } else { until })
    }

    fn decay(&mut self, now: u64) {
        let passed = now.saturating_sub(self.at);
        // A decay each 64 ms is as good as one each call, and spares most of the work.
        if passed >= 64 {
            let kept = (-(passed as f64) / HALF_LIFE).exp2();
            for figures in [&mut self.entered, &mut self.spoke, &mut self.left] {
                for figure in figures {
                    *figure *= kept;
                }
            }
            self.at = now;
        }
    }
}
