//! How fast the number of connections grows: [`GrowthEstimator`].

/// Time constant of the rates, in ms: about as long as it takes a crowd to show.
const TIME_CONSTANT: f64 = 400.0;

/// Rates of arrivals and departures, each an exponentially weighted mean. Times are in ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrowthEstimator {
    updated_at: u64,
    arrivals_per_ms: f64,
    departures_per_ms: f64,
}

impl GrowthEstimator {
    /// A connection has arrived.
    pub fn arrive(&mut self, now: u64) {
        self.decay(now);
        self.arrivals_per_ms += 1.0 / TIME_CONSTANT;
    }

    /// A connection has ended.
    pub fn leave(&mut self, now: u64) {
        self.decay(now);
        self.departures_per_ms += 1.0 / TIME_CONSTANT;
    }

    /// By how many connections their number will have grown in `horizon` ms if the rates stay as
    /// they are. Never below 0: that many end now is no promise that they will.
    pub fn growth(&self, now: u64, horizon: f64) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        let remaining = (-(elapsed as f64) / TIME_CONSTANT).exp();
        ((self.arrivals_per_ms - self.departures_per_ms) * remaining * horizon).max(0.0)
    }

    fn decay(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.updated_at);
        if elapsed > 0 {
            let remaining = (-(elapsed as f64) / TIME_CONSTANT).exp();
            self.arrivals_per_ms *= remaining;
            self.departures_per_ms *= remaining;
            self.updated_at = now;
        }
    }
}
