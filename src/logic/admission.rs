//! Admission control: which requests are shed while the cache nodes or the origin are overloaded.
//! Read [`AdmissionControl`] first.

use super::concurrency_limit::Timeliness;
use crate::interface::{GiveUpReason, Outcome};
use crate::state::Tier;

/// The lowest admission probability. It is above 0 so that some requests still probe whether the
/// backends have recovered.
const MIN_PROBABILITY: f64 = 0.02;
/// The factor by which a slow attempt multiplies the admission probability.
const DECREASE_FACTOR: f64 = 0.8;
/// The amount that an attempt in time adds to the admission probability.
const INCREASE_STEP: f64 = 0.1;
/// The lowest effective priority weight. It is above 0 so that a class of weight 0 is still
/// admitted at times.
const MIN_PRIORITY_WEIGHT: f64 = 0.01;

/// The decision on the admission of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionDecision {
    /// The request is admitted.
    Admit,
    /// The request is shed for this reason.
    Shed(GiveUpReason),
}

/// The inputs of [`AdmissionControl::decide_arrival`].
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivalInputs {
    /// The priority weight of the request's class, without unit.
    pub(super) priority_weight: f64,
    /// The moving average of the priority weights of all requests, without unit.
    pub(super) average_priority_weight: f64,
    /// A random number, uniformly distributed from 0 to below 1.
    pub(super) sample: f64,
}

/// The admission probabilities of both tiers, each from 0 to 1.
#[derive(Debug)]
pub(super) struct AdmissionControl {
    /// The probability that a request of average priority weight is admitted when it arrives.
    node_probability: f64,
    /// The probability that a request is admitted to the origin after a miss.
    origin_probability: f64,
}

impl Default for AdmissionControl {
    fn default() -> AdmissionControl {
        AdmissionControl { node_probability: 1.0, origin_probability: 1.0 }
    }
}

impl AdmissionControl {
    /// Decides whether an arriving request may be sent to the cache nodes or is shed.
    ///
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

    /// Decides whether a request that missed may be sent to the origin or is shed.
    ///
    /// Inputs: a random number from 0 to below 1.
    /// Reason: the origin is slow and shared by all proxies. If all fetches were queued under
    /// overload, all of them would end too late.
    pub(super) fn decide_fetch(&self, sample: f64) -> AdmissionDecision {
        if sample >= self.origin_probability {
            AdmissionDecision::Shed(GiveUpReason::OriginOverloaded)
        } else {
            AdmissionDecision::Admit
        }
    }

    /// Adjusts the admission probability of a tier after an attempt.
    ///
    /// Inputs: the tier of the backend; whether the attempt was in time.
    /// Reason: a proxy with a small quota has one attempt in flight at a backend, so that its
    /// concurrency limit cannot decrease any further; it sheds a fraction of its requests instead.
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

/// Decides whether the end of an attempt adjusts the admission probability.
///
/// Inputs: the outcome and timeliness of the attempt; whether the concurrency limit of its backend
/// is at its minimum.
/// Reason: a slow attempt first decreases the concurrency limit; the proxy sheds requests only
/// where that limit cannot decrease any further. An attempt that did not reach its backend says
/// nothing about the backend's load.
pub(super) fn should_adjust(outcome: Outcome, timeliness: Timeliness, is_limit_at_minimum: bool) -> bool {
    outcome.reached_backend() && (timeliness == Timeliness::InTime || is_limit_at_minimum)
}

#[cfg(test)]
mod tests;
