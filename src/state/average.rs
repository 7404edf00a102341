//! Exponentially weighted moving averages.

/// How far a quantile moves for one sample, as a fraction of its value.
const QUANTILE_STEP: f64 = 0.05;
/// Where a quantile starts, as a multiple of the first sample.
const QUANTILE_START_MULTIPLE: f64 = 2.0;

/// An exponentially weighted moving average; 0 at first, or what it is made with.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage(f64);

impl MovingAverage {
    /// An average that starts at a value.
    pub(crate) fn starting_at(value: f64) -> MovingAverage {
        MovingAverage(value)
    }

    /// The average.
    pub(crate) fn value(self) -> f64 {
        self.0
    }

    /// Moves the average towards a sample, by this fraction of the way.
    pub(crate) fn update(&mut self, weight: f64, sample: f64) {
        self.0 += weight * (sample - self.0);
    }

    /// The same, but the first sample that is not 0 becomes the average.
    pub(crate) fn update_or_init(&mut self, weight: f64, sample: f64) {
        self.0 += if self.0 == 0.0 { sample } else { weight * (sample - self.0) };
    }
}

/// A quantile that follows the samples in small steps; 0 before any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningQuantile(f64);

impl RunningQuantile {
    /// Takes in a sample. Returns whether it is among the largest, of which there is this fraction.
    pub(crate) fn record_and_compare(&mut self, sample: f64, fraction: f64) -> bool {
        let threshold = if self.0 == 0.0 { sample * QUANTILE_START_MULTIPLE } else { self.0 };
        let is_above = sample >= threshold;
        let direction = if is_above { 1.0 - fraction } else { -fraction };
        self.0 = threshold * (1.0 + QUANTILE_STEP * direction);
        is_above
    }
}

/// What requests and the fleet are like on average.
#[derive(Debug)]
pub(crate) struct Averages {
    /// Expected work of a request, in ms.
    pub(crate) work_ms: MovingAverage,
    /// Priority weight of a request, by its class.
    pub(crate) priority_weight: MovingAverage,
    /// Relative size of a cache node.
    pub(crate) mean_node_weight: f64,
    /// The hint, in ms, from which on a key counts as large.
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
