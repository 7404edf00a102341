//! Accepts, cancels, aborts and expires client requests. Read [`Dispatcher::submit`] first.

use super::endpoint_ids::key_number;
use super::executed_ids::IdStatus;
use super::messages::{ClientRequest, Response, ResponseCallback, SubmitError};
use super::state::{DispatcherState, InFlightRequest, PendingResponse};
use super::Dispatcher;
use crate::interface::{Event, Request, RequestId};
use crate::net::log::log_fault;
use crate::net::request_log;
use crate::net::time_limits::{response_budget, timer_duration, GUARD_DELAY};
use crate::net::timer::TimerSet;
use pinetrail_policy_consensus::Admission;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The reason why a request fails without the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AbortReason {
    /// The process is stopping.
    Stopping,
    /// The request is still open although its response was due, so its timer was lost or late.
    Expired,
    /// The response is a long value that would not be whole before the process may be killed.
    ValueTooLate {
        /// The time after which another process serves.
        retry_after: Duration,
    },
}

impl Dispatcher {
    /// Accepts a request. Its response goes to `respond`, unless the request is cancelled first.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is not accepted. `respond` is not called then.
    pub fn submit(
        self: &Arc<Self>,
        request: ClientRequest,
        respond: ResponseCallback,
    ) -> Result<RequestId, SubmitError> {
        let mut state = self.lock();
        if state.is_stopping {
            return Err(SubmitError::Stopping);
        }
        match self.admission(state.policy_version) {
            Admission::Admit => {}
            Admission::Wait => {
                return Err(SubmitError::PolicyChanging { request: Box::new(request), respond });
            }
            Admission::Reject { retry_after } => {
                if let Some(lease) = self.lease.get() {
                    lease.count_rejection();
                }
                return Err(SubmitError::Fenced { retry_after });
            }
        }
        if request.version != state.names.version {
            return Err(SubmitError::Outdated { request: Box::new(request), respond });
        }
        if !state.is_idempotent(request.class) {
            match state.executed_ids.status(&request.opaque, Instant::now()) {
                IdStatus::Unknown => {}
                IdStatus::Executed => return Err(SubmitError::IdInUse),
                IdStatus::NoRoom { retry_after } => return Err(SubmitError::NoRoomForId { retry_after }),
            }
        }
        if !state.open_ids.insert(request.opaque.clone()) {
            return Err(SubmitError::IdInUse);
        }
        self.count_accepted(&request);
        let id = RequestId(state.last_id.0 + 1);
        state.last_id = id;
        request_log::request_accepted(id, &request.opaque, request.class, request.budget.as_ms());
        let event = Event::Request(module_request(id, &request));
        self.insert_request(&mut state, id, request, respond);
        self.handle_event(state, event);
        Ok(id)
    }

    fn count_accepted(&self, request: &ClientRequest) {
        if request.value.is_some() {
            self.counters.writes_accepted.increment();
        } else {
            self.counters.reads_accepted.increment();
        }
    }

    /// Stores a request and the time at which its response is due.
    pub(super) fn insert_request(
        &self,
        state: &mut DispatcherState,
        id: RequestId,
        request: ClientRequest,
        respond: ResponseCallback,
    ) {
        let due = Instant::now() + timer_duration(response_budget(request.budget));
        let is_idempotent = state.is_idempotent(request.class);
        state.due.insert((due, id));
        let in_flight = InFlightRequest {
            request: Arc::new(request),
            pending: Some(PendingResponse { respond, timers: TimerSet::default() }),
            due,
            attempts_requested: 0,
            attempts: BTreeMap::new(),
            stream_began: None,
            is_idempotent,
            may_have_run: false,
        };
        state.requests.insert(id, in_flight);
    }

    /// Cancels a request whose client has disconnected. The request gets no response.
    pub fn cancel(self: &Arc<Self>, id: RequestId) {
        let mut state = self.lock();
        // Dropped together with its timers at the end of this function, after the lock is released.
        let pending = state.take_pending(id);
        if pending.is_some() {
            self.counters.requests_cancelled.increment();
            request_log::request_cancelled(id, state.opaque(id));
            self.handle_event(state, Event::ClientGone(id));
        }
    }

    /// Fails every request without a response, because the process stops, and accepts no further
    /// one, which would find no time for an attempt.
    pub fn abort_all(self: &Arc<Self>) {
        let pending: Vec<RequestId> = {
            let mut state = self.lock();
            state.is_stopping = true;
            let requests = state.requests.iter();
            requests.filter(|(_, request)| request.pending.is_some()).map(|(id, _)| *id).collect()
        };
        for id in pending {
            self.abort(id, AbortReason::Stopping);
        }
    }

    /// Fails the requests that have no response [`GUARD_DELAY`] after it was due. This is the guard
    /// against lost timers: a coroutine calls it periodically, independently of the requests' own
    /// timers.
    pub fn expire_requests(self: &Arc<Self>) {
        while let Some(id) = self.first_expired() {
            self.abort(id, AbortReason::Expired);
        }
    }

    fn first_expired(&self) -> Option<RequestId> {
        let state = self.lock();
        let (due, id) = state.due.first()?;
        is_expired(*due).then_some(*id)
    }

    /// Rejects a request whose response is a long value that would not be whole at `lost_at`, when the
    /// process may be killed.
    pub fn reject_late_value(self: &Arc<Self>, id: RequestId, lost_at: Instant) {
        let retry_after = lost_at.saturating_duration_since(Instant::now());
        self.abort(id, AbortReason::ValueTooLate { retry_after });
    }

    /// Fails or rejects a request if it has no response yet.
    fn abort(self: &Arc<Self>, id: RequestId, reason: AbortReason) {
        let mut state = self.lock();
        let Some(pending) = state.take_pending(id) else { return };
        let response = match reason {
            AbortReason::Stopping => {
                self.counters.requests_failed_at_stop.increment();
                self.counters.requests_failed.increment();
                request_log::request_stopped(id, state.opaque(id));
                Response::Failed
            }
            AbortReason::ValueTooLate { retry_after } => {
                self.counters.requests_rejected.increment();
                request_log::request_rejected_at_stop(id, state.opaque(id));
                Response::Rejected { retry_after: Some(retry_after) }
            }
            AbortReason::Expired => {
                self.counters.requests_expired.increment();
                request_log::request_expired(id, state.opaque(id));
                let late = state.requests.get(&id).map_or(Duration::ZERO, |request| request.due.elapsed());
                log_fault(&format!(
                    "request {} fails: its response is {} ms overdue, because a timer was lost or late",
                    state.opaque(id),
                    late.as_millis()
                ));
                self.counters.requests_failed.increment();
                Response::Failed
            }
        };
        self.handle_event(state, Event::ClientGone(id));
        pending.send(response);
    }

    /// Returns the number of requests without a response.
    pub fn pending_count(&self) -> usize {
        self.lock().requests.values().filter(|request| request.pending.is_some()).count()
    }
}

/// Decides whether the guard expires a request that is still open, which it does from
/// [`GUARD_DELAY`] after the response was due.
///
/// Inputs: the time at which the response was due, on the monotonic clock.
/// Reason: the decision module sets a timer for each deadline. If a timer is lost, the client must
/// not wait without a limit.
/// Source: docs/incidents/2026-12-02-late-final-answers.md.
fn is_expired(due: Instant) -> bool {
    due.elapsed() >= GUARD_DELAY
}

/// Converts a client's request for the decision module.
fn module_request(id: RequestId, request: &ClientRequest) -> Request {
    Request {
        id,
        class: request.class,
        tenant: request.tenant,
        key: key_number(&request.key),
        budget: response_budget(request.budget),
        work_hint: request.hint,
        is_repeat: request.repeat,
        is_write: request.value.is_some(),
    }
}
