//! Requests that wait for capacity, each with the weight that it was given.

use super::Stage;
use crate::interface::RequestId;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    /// The request.
    pub(crate) id: RequestId,
    /// For what it waits.
    stage: Stage,
    /// How much is served when it goes: its worth and that of all who wait for its fetch.
    weight: f64,
}

/// The queued requests; the heaviest goes first.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue(Vec<QueuedRequest>);

impl RequestQueue {
    /// Whether nothing is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a request at the end.
    pub(crate) fn push(&mut self, id: RequestId, stage: Stage, weight: f64) {
        self.0.push(QueuedRequest { id, stage, weight });
    }

    /// Removes a request if it is queued.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.0.retain(|queued| queued.id != id);
    }

    /// Adds to the weight of a request if it is queued.
    pub(crate) fn add_weight(&mut self, id: RequestId, weight: f64) {
        if let Some(queued) = self.0.iter_mut().find(|queued| queued.id == id) {
            queued.weight += weight;
        }
    }

    /// Removes and returns the heaviest request of a stage; of equals the one queued last.
    pub(crate) fn pop_heaviest(&mut self, stage: Stage) -> Option<QueuedRequest> {
        let in_stage = self.0.iter().filter(|queued| queued.stage == stage);
        let heaviest = in_stage.max_by(|a, b| a.weight.total_cmp(&b.weight)).copied()?;
        self.remove(heaviest.id);
        Some(heaviest)
    }

    /// If a request that was removed has just been queued again, gives it its weight back; whether
    /// it was.
    pub(crate) fn restore_weight(&mut self, removed: QueuedRequest) -> bool {
        let again = self.0.last_mut().filter(|queued| queued.id == removed.id);
        again.map(|queued| queued.weight = removed.weight).is_some()
    }
}
