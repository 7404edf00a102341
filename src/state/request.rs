//! A client request until its final response.

use super::AttemptId;
use crate::interface::{BackendId, Outcome, Request};
use crate::settings::{Class, Limits};
use crate::time::{TimeSpan, Timestamp};

/// What a request that is not finished does at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// An attempt is in flight.
    InFlight,
    /// It waits for a backend with capacity.
    QueuedForBackend,
    /// It waits for another request's fetch of its key.
    WaitingForFetch,
    /// It waits for capacity at the origin.
    QueuedForOrigin,
}

/// A client request without a final response yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// As it arrived.
    pub(crate) request: Request,
    /// Its class and limits as they were when it arrived, whatever settings come.
    pub(crate) class: Class,
    pub(crate) limits: Limits,
    /// When its final response is due; [`Timestamp::NEVER`] once its response has begun to stream.
    pub(crate) deadline: Timestamp,
    /// How long a backend is expected to work on it.
    pub(crate) expected_work: TimeSpan,
    /// What it does.
    pub(crate) stage: Stage,
    /// Its attempts in order of sending.
    pub(crate) attempts: Vec<Attempt>,
}

impl PendingRequest {
    /// A request that has just arrived.
    pub(crate) fn new(
        request: Request,
        class: Class,
        limits: Limits,
        deadline: Timestamp,
        expected_work: TimeSpan,
    ) -> Self {
        let stage = Stage::QueuedForBackend;
        PendingRequest { request, class, limits, deadline, expected_work, stage, attempts: Vec::new() }
    }

    /// Notes an attempt that is sent now; its name.
    pub(crate) fn begin_attempt(&mut self, backend: BackendId, now: Timestamp) -> AttemptId {
        let number = self.attempts.len() as u8;
        self.attempts.push(Attempt { backend, sent_at: now, outcome: None });
        self.stage = Stage::InFlight;
        AttemptId { request: self.request.id, number }
    }

    /// Notes how an attempt ended; a number that no attempt has is ignored.
    pub(crate) fn end_attempt(&mut self, number: u8, outcome: Outcome) {
        if let Some(attempt) = self.attempts.get_mut(usize::from(number)) {
            attempt.outcome = Some(outcome);
        }
    }

    /// Whether an attempt at this backend is in flight, or has ended other than by a miss.
    pub(crate) fn has_attempt_without_miss_at(&self, id: BackendId) -> bool {
        self.attempts.iter().any(|a| a.backend == id && a.outcome != Some(Outcome::Miss))
    }

    /// Whether an attempt has ended like this.
    pub(crate) fn has_outcome(&self, outcome: Outcome) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome == Some(outcome))
    }

    /// Whether an attempt has not ended yet.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }

    /// Where it was sent last.
    pub(crate) fn last_backend(&self) -> Option<BackendId> {
        self.attempts.last().map(|attempt| attempt.backend)
    }

    /// How its last attempt ended, if it has.
    pub(crate) fn last_outcome(&self) -> Option<Outcome> {
        self.attempts.last().and_then(|attempt| attempt.outcome)
    }
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The backend that it was sent to.
    pub(crate) backend: BackendId,
    /// When.
    pub(crate) sent_at: Timestamp,
    /// How it ended, if it has.
    pub(crate) outcome: Option<Outcome>,
}
