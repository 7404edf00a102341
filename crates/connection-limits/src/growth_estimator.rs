//! How fast places are taken and given back.

/// Time constant of the rates, in ms: about what a crowd needs to show.
const MEMORY: f64 = 400.0;

/// Rates of arrivals and departures a millisecond, each an exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrowthEstimator {
    at: u64,
    arrivals: f64,
    departures: f64,
}

impl GrowthEstimator {
    /// One connection has come.
    pub fn arrive(&mut self, now: u64) {
        self.decay(now);
        self.arrivals += 1.0 / MEMORY;
    }

    /// One connection has gone.
    pub fn leave(&mut self, now: u64) {
        self.decay(now);
        self.departures += 1.0 / MEMORY;
    }

    /// By how many places more will be held in `ahead` ms, if all goes on as it does. Never below 0: that
    /// many leave now is no promise that they will.
    pub fn growth(&self, now: u64, ahead: f64) -> f64 {
        let faded = (-(now.saturating_sub(self.at) as f64) / MEMORY).exp();
        ((self.arrivals - self.departures) * faded * ahead).max(0.0)
    }

    fn decay(&mut self, now: u64) {
        let passed = now.saturating_sub(self.at);
        if passed > 0 {
            let kept = (-(passed as f64) / MEMORY).exp();
            (self.arrivals, self.departures, self.at) = (self.arrivals * kept, self.departures * kept, now);
        }
    }
}
