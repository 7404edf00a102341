//! [`PendingRequest`]: the state of a client request until its final response.

use super::AttemptId;
use crate::interface::{BackendId, Outcome, Request};
use crate::settings::{Class, Limits};
use crate::time::{TimeSpan, Timestamp};

/// The current stage of a pending request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// An attempt of the request is in flight.
    InFlight,
    /// The request waits for a cache node with capacity.
    QueuedForCacheNode,
    /// The request waits for another request's fetch of its key.
    WaitingForFetch,
    /// The request waits for capacity at the origin.
    QueuedForOrigin,
}

/// A client request without a final response.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// The request as it arrived.
    pub(crate) request: Request,
    /// The class in the settings at the arrival of the request; later settings do not change the
    /// class.
    pub(crate) class: Class,
    /// The deployment's limits in the settings at the arrival of the request; later settings do not
    /// change them.
    pub(crate) limits: Limits,
    /// The time at which the final response is due; [`Timestamp::NEVER`] once the response has
    /// begun to stream.
    pub(crate) deadline: Timestamp,
    /// The expected processing time at a backend.
    pub(crate) expected_work: TimeSpan,
    /// The current stage of the request.
    pub(crate) stage: Stage,
    /// The attempts in order of sending.
    pub(crate) attempts: Vec<Attempt>,
}

impl PendingRequest {
    /// Creates the state of a request that has just arrived.
    pub(crate) fn new(
        request: Request,
        class: Class,
        limits: Limits,
        deadline: Timestamp,
        expected_work: TimeSpan,
    ) -> Self {
        let stage = Stage::QueuedForCacheNode;
        PendingRequest { request, class, limits, deadline, expected_work, stage, attempts: Vec::new() }
    }

    /// Records an attempt that is sent now, and returns its identifier.
    pub(crate) fn begin_attempt(&mut self, backend: BackendId, now: Timestamp) -> AttemptId {
        let number = self.attempts.len() as u8;
        self.attempts.push(Attempt { backend, sent_at: now, outcome: None });
        self.stage = Stage::InFlight;
        AttemptId { request: self.request.id, number }
    }

    /// Records the outcome of an attempt. An unknown number is ignored.
    pub(crate) fn end_attempt(&mut self, number: u8, outcome: Outcome) {
        if let Some(attempt) = self.attempts.get_mut(usize::from(number)) {
            attempt.outcome = Some(outcome);
        }
    }

    /// Returns whether an attempt at this backend is in flight, or has ended otherwise than with a
    /// miss.
    pub(crate) fn has_attempt_without_miss_at(&self, id: BackendId) -> bool {
        self.attempts.iter().any(|a| a.backend == id && a.outcome != Some(Outcome::Miss))
    }

    /// Returns whether any attempt has ended with this outcome.
    pub(crate) fn has_outcome(&self, outcome: Outcome) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome == Some(outcome))
    }

    /// Returns whether any attempt has not ended yet.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }

    /// Returns the backend of the last attempt, if any.
    pub(crate) fn last_backend(&self) -> Option<BackendId> {
        self.attempts.last().map(|attempt| attempt.backend)
    }

    /// Returns the outcome of the last attempt, if that attempt has ended.
    pub(crate) fn last_outcome(&self) -> Option<Outcome> {
        self.attempts.last().and_then(|attempt| attempt.outcome)
    }
}

/// An attempt of a request, which may have ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The backend to which the attempt was sent.
    pub(crate) backend: BackendId,
    /// The time at which the attempt was sent.
    pub(crate) sent_at: Timestamp,
    /// The outcome; `None` while the attempt is in flight.
    pub(crate) outcome: Option<Outcome>,
}
