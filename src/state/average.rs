//! Running statistics: exponentially weighted moving averages and a running quantile. Read
//! [`Averages`] first.

/// The step of a quantile for one sample, as a fraction of the quantile.
const QUANTILE_STEP: f64 = 0.05;
/// The initial value of a quantile, as a multiple of the first sample.
const QUANTILE_START_MULTIPLE: f64 = 2.0;

/// An exponentially weighted moving average, which starts at 0 by default.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage(f64);

impl MovingAverage {
    /// Creates an average that starts at this value.
    pub(crate) fn starting_at(value: f64) -> MovingAverage {
        MovingAverage(value)
    }

    /// Returns the average.
    pub(crate) fn value(self) -> f64 {
        self.0
    }

    /// Moves the average towards a sample; `weight` is the fraction of the distance.
    pub(crate) fn update(&mut self, weight: f64, sample: f64) {
        self.0 += weight * (sample - self.0);
    }

    /// Moves the average towards a sample as [`update`](MovingAverage::update) does, except that an
    /// average of 0 is replaced by the sample.
    pub(crate) fn update_or_init(&mut self, weight: f64, sample: f64) {
        self.0 += if self.0 == 0.0 { sample } else { weight * (sample - self.0) };
    }
}

/// A running quantile, which moves in small steps with each sample; 0 before the first one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningQuantile(f64);

impl RunningQuantile {
    /// Updates the quantile with a sample. Returns whether the sample is among the largest, where
    /// `fraction` is the fraction of samples that count as the largest.
    pub(crate) fn record_and_compare(&mut self, sample: f64, fraction: f64) -> bool {
        let threshold = if self.0 == 0.0 { sample * QUANTILE_START_MULTIPLE } else { self.0 };
        let is_above = sample >= threshold;
        let direction = if is_above { 1.0 - fraction } else { -fraction };
        self.0 = threshold * (1.0 + QUANTILE_STEP * direction);
        is_above
    }
}

/// Averages over recent requests and over the cache nodes.
#[derive(Debug)]
pub(crate) struct Averages {
    /// The expected processing time of a request, in ms.
    pub(crate) work_ms: MovingAverage,
    /// The priority weight of a request's class.
    pub(crate) priority_weight: MovingAverage,
    /// The mean weight of the cache nodes.
    pub(crate) mean_node_weight: f64,
    /// The work hint, in ms, from which on a key counts as large.
    pub(crate) large_hint_ms: RunningQuantile,
}

impl Default for Averages {
    fn default() -> Averages {
        Averages {
            work_ms: MovingAverage::default(),
            priority_weight: MovingAverage::starting_at(1.0),
            mean_node_weight: 1.0,
            large_hint_ms: RunningQuantile::default(),
        }
    }
}
