//! Estimates how fast the number of connections grows; read [`GrowthEstimator`] first.

use crate::{millis_f64, Timestamp};
use std::time::Duration;

/// The time constant of the exponentially weighted means, in ms: about the time in which a sudden
/// rise in arrivals becomes visible.
const RATE_TIME_CONSTANT_MS: f64 = 400.0;

/// The rates of arrivals and departures of connections, each an exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrowthEstimator {
    updated_at: Timestamp,
    arrivals_per_ms: f64,
    departures_per_ms: f64,
}

impl GrowthEstimator {
    /// Records that a connection has arrived.
    pub fn record_arrival(&mut self, now: Timestamp) {
        self.decay(now);
        self.arrivals_per_ms += 1.0 / RATE_TIME_CONSTANT_MS;
    }

    /// Records that a connection has ended.
    pub fn record_departure(&mut self, now: Timestamp) {
        self.decay(now);
        self.departures_per_ms += 1.0 / RATE_TIME_CONSTANT_MS;
    }

    /// Estimates by how much the number of connections grows within `horizon` if the rates do not
    /// change. The result is never below 0, since many departures now do not mean that more of
    /// them follow.
    pub fn growth(&self, now: Timestamp, horizon: Duration) -> f64 {
        let net_rate_per_ms = self.arrivals_per_ms - self.departures_per_ms;
        (net_rate_per_ms * self.decay_factor(now) * millis_f64(horizon)).max(0.0)
    }

    fn decay(&mut self, now: Timestamp) {
        if now > self.updated_at {
            let factor = self.decay_factor(now);
            self.arrivals_per_ms *= factor;
            self.departures_per_ms *= factor;
            self.updated_at = now;
        }
    }

    /// Returns the weight that the rates of the last update still have.
    fn decay_factor(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        (-millis_f64(elapsed) / RATE_TIME_CONSTANT_MS).exp()
    }
}
