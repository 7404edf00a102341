//! The queue of requests that wait for capacity: in which order they are sent, and when they are
//! shed. Read [`RequestQueue`] first.

use crate::interface::RequestId;
use crate::state::Stage;
use crate::time::TimeSpan;

/// The shortest interval between two timed attempts to dispatch queued requests.
const MIN_DISPATCH_INTERVAL: TimeSpan = TimeSpan::from_ms(20.0);
/// The fraction of the latency objective, or of the budget if that is shorter, after which a queued
/// request is shed.
const SHED_OBJECTIVE_FRACTION: f64 = 0.5;

/// Decides the time after the arrival of a request at which the request is shed if none of its
/// attempts is in flight. The condition is checked once, at that time.
///
/// Inputs: the latency objective of the request's class and the time until the response is due, in
/// ms.
/// Reason: a request that has waited for so long will hardly meet its objective, and would take
/// capacity from other requests that can meet theirs.
/// Source: load shedding by queueing delay, as in CoDel.
pub(super) fn shed_after(latency_objective: TimeSpan, response_budget: TimeSpan) -> TimeSpan {
    latency_objective.min(response_budget) * SHED_OBJECTIVE_FRACTION
}

/// Decides the interval at which the queue is dispatched by a timer.
///
/// Inputs: the shortest time between two batches of events, in ms.
/// Reason: capacity may become available without an event, when the cooldown or the ejection of a
/// backend ends.
pub(super) fn dispatch_interval(tick: TimeSpan) -> TimeSpan {
    tick.max(MIN_DISPATCH_INTERVAL)
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    /// The identifier of the request.
    pub(super) id: RequestId,
    /// The kind of capacity for which the request waits.
    stage: Stage,
    /// The sum of the priority weights of all requests that are served together: the queued
    /// request, and those that wait for its fetch.
    weight: f64,
}

/// The queued requests, in the order in which they were queued.
#[derive(Debug, Default)]
pub(super) struct RequestQueue(Vec<QueuedRequest>);

impl RequestQueue {
    /// Returns whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Appends a request.
    pub(super) fn push(&mut self, id: RequestId, stage: Stage, weight: f64) {
        self.0.push(QueuedRequest { id, stage, weight });
    }

    /// Removes a request, if it is queued.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.0.retain(|queued| queued.id != id);
    }

    /// Adds to the weight of a request, if it is queued.
    pub(super) fn add_weight(&mut self, id: RequestId, weight: f64) {
        if let Some(queued) = self.0.iter_mut().find(|queued| queued.id == id) {
            queued.weight += weight;
        }
    }

    /// Decides which request of a stage is sent next, and removes it from the queue.
    ///
    /// Inputs: the stages of the requests; their priority weights, without unit.
    /// Reason: scarce capacity goes to the requests of the highest weight. Among requests of equal
    /// weight the one that was queued last is sent, since it has the most time left.
    pub(super) fn pop_heaviest(&mut self, stage: Stage) -> Option<QueuedRequest> {
        let in_stage = self.0.iter().filter(|queued| queued.stage == stage);
        let heaviest = in_stage.max_by(|a, b| a.weight.total_cmp(&b.weight)).copied()?;
        self.remove(heaviest.id);
        Some(heaviest)
    }

    /// Restores the weight of a removed request if that request has since been queued again as the
    /// last one. Returns whether it has.
    pub(super) fn restore_weight(&mut self, removed: QueuedRequest) -> bool {
        let Some(queued) = self.0.last_mut().filter(|queued| queued.id == removed.id) else {
            return false;
        };
        queued.weight = removed.weight;
        true
    }
}

#[cfg(test)]
mod tests;
