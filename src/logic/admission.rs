//! Admission: which requests are shed while the cache nodes or the origin are overloaded. Read
//! [`AdmissionControl`] first.

use super::concurrency_limit::Timeliness;
use crate::interface::{GiveUpReason, Outcome};
use crate::state::Tier;

/// The lowest probability of admission, so that some requests still test the backends.
const MIN_PROBABILITY: f64 = 0.02;
/// A slow response multiplies the probability of admission by this.
const DECREASE_FACTOR: f64 = 0.8;
/// A response in time raises the probability of admission by this.
const INCREASE_STEP: f64 = 0.1;
/// The lowest priority weight that counts, so that a class without any is still admitted at times.
const MIN_PRIORITY_WEIGHT: f64 = 0.01;

/// The answer to a request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionDecision {
    /// It may go on.
    Admit,
    /// It is shed, for this reason.
    Shed(GiveUpReason),
}

/// What the admission of an arriving request depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivalInputs {
    /// The priority weight of the request's class; it has no unit.
    pub(super) priority_weight: f64,
    /// The moving average of the priority weights of all requests.
    pub(super) average_priority_weight: f64,
    /// A random number, evenly spread from 0 to below 1.
    pub(super) sample: f64,
}

/// With which probability a request is admitted, from 0 to 1.
#[derive(Debug)]
pub(super) struct AdmissionControl {
    /// To the cache nodes, when it arrives.
    node_probability: f64,
    /// To the origin, after a miss.
    origin_probability: f64,
}

impl Default for AdmissionControl {
    fn default() -> AdmissionControl {
        AdmissionControl { node_probability: 1.0, origin_probability: 1.0 }
    }
}

impl AdmissionControl {
    /// Decides: whether an arriving request may go to the cache nodes, or is shed.
    /// Inputs: priority weights, without unit; a random number from 0 to below 1.
    /// Reason: under overload, requests of low priority weight are shed first.
    pub(super) fn decide_arrival(&self, inputs: ArrivalInputs) -> AdmissionDecision {
        let priority_weight = inputs.priority_weight.max(MIN_PRIORITY_WEIGHT);
        let exponent = inputs.average_priority_weight / priority_weight;
        if inputs.sample >= self.node_probability.powf(exponent) {
            AdmissionDecision::Shed(GiveUpReason::FleetOverloaded)
        } else {
            AdmissionDecision::Admit
        }
    }

    /// Decides: whether a request that missed may be fetched from the origin, or is shed.
    /// Inputs: a random number from 0 to below 1.
    /// Reason: the origin is slow and shared, and queued fetches would all come too late.
    pub(super) fn decide_fetch(&self, sample: f64) -> AdmissionDecision {
        if sample >= self.origin_probability {
            AdmissionDecision::Shed(GiveUpReason::OriginOverloaded)
        } else {
            AdmissionDecision::Admit
        }
    }

    /// Decides: how the probability of admission follows a response.
    /// Inputs: the kind of backend; whether the response came in time.
    /// Reason: a proxy with a small quota has one attempt in flight at a backend, so that its
    /// concurrency limit cannot decrease any more; it sheds a fraction of its requests instead.
    /// Source: additive increase, multiplicative decrease (Chiu and Jain, 1989).
    pub(super) fn record(&mut self, tier: Tier, timeliness: Timeliness) {
        let probability = match tier {
            Tier::CacheNodes => &mut self.node_probability,
            Tier::Origin => &mut self.origin_probability,
        };
        *probability = match timeliness {
            Timeliness::Slow => (*probability * DECREASE_FACTOR).max(MIN_PROBABILITY),
            Timeliness::InTime => (*probability + INCREASE_STEP).min(1.0),
        };
    }
}

/// Decides: whether the probability of admission follows an attempt that ended.
/// Inputs: how it ended; its timeliness; whether its backend's concurrency limit is the lowest.
/// Reason: a slow response lowers the concurrency limit first; only where that cannot decrease any
/// more does the proxy shed requests. An attempt that did not reach its backend shows no load.
pub(super) fn should_adjust(outcome: Outcome, timeliness: Timeliness, is_limit_at_minimum: bool) -> bool {
    outcome.reached_backend() && (timeliness == Timeliness::InTime || is_limit_at_minimum)
}

#[cfg(test)]
mod tests;
