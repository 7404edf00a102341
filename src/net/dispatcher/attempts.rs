//! Starts attempts at backends, decides whether they may still be written, and applies their
//! outcomes to their requests. Read [`AttemptPlan`] first, then [`Dispatcher::permits_write`].

use super::messages::{AttemptRequest, Payload, Response};
use super::state::{DispatcherState, Endpoint, InFlightAttempt, InFlightRequest, PendingResponse};
use super::Dispatcher;
use crate::interface::{AttemptEnd, BackendId, Event, Outcome, RequestId};
use crate::net::attempt_id::AttemptId;
use crate::net::body_stream::BodyReceiver;
use crate::net::log::log;
use crate::net::request_log;
use crate::net::time_limits::{response_budget, timer_duration};
use crate::time::{TimeSpan, Timestamp};
use std::sync::Arc;
use std::time::Instant;

/// An attempt that the decision module requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptPlan {
    /// The request that the attempt is for.
    pub request: RequestId,
    /// The backend to which the attempt is sent.
    pub backend: BackendId,
    /// The timeout of the attempt. If not above 0, the whole budget of the request applies.
    pub timeout: TimeSpan,
    /// The time within which the attempt's last byte must be written.
    pub send_within: TimeSpan,
}

impl AttemptPlan {
    /// Returns the end of an attempt that is not sent. If no response is pending, the end states
    /// that the request is finished.
    fn not_sent(&self, attempt: u8, pending: Option<&PendingResponse>) -> AttemptEnd {
        AttemptEnd {
            id: self.request,
            attempt,
            backend: self.backend,
            latency: TimeSpan::ZERO,
            is_request_finished: pending.is_none(),
            outcome: Outcome::Moot,
            load_report: Vec::new(),
        }
    }
}

impl Dispatcher {
    /// Starts an attempt that the decision module requests.
    ///
    /// # Errors
    ///
    /// Returns the end of the attempt, if the attempt must not be sent.
    pub(super) fn start_attempt(
        &self,
        state: &mut DispatcherState,
        now: Timestamp,
        plan: AttemptPlan,
    ) -> Result<AttemptRequest, AttemptEnd> {
        let Some(in_flight) = state.requests.get_mut(&plan.request) else {
            return Err(plan.not_sent(0, None));
        };
        let attempt = in_flight.attempts_requested;
        in_flight.attempts_requested = attempt.saturating_add(1);
        self.counters.attempts_requested.increment();
        if !in_flight.attempts.is_empty() {
            let id = &in_flight.request.opaque;
            log(&format!(
                "ERROR: request {id}: a second attempt was requested while one is in flight; it is not sent"
            ));
        }
        let endpoint = state.endpoints.get(&plan.backend);
        let Some(endpoint) = endpoint.filter(|endpoint| permits_start(in_flight, endpoint)) else {
            self.counters.attempts_not_sent.increment();
            return Err(plan.not_sent(attempt, in_flight.pending.as_ref()));
        };
        in_flight.attempts.insert(attempt, InFlightAttempt { backend: plan.backend, sent: now });
        let request = attempt_request(&plan, attempt, in_flight, endpoint);
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        request_log::attempt_dispatched(request.id, &request.request.opaque, &request.address, remaining);
        Ok(request)
    }

    /// Decides whether the next bytes of an attempt may be written, which requires that `send_by`
    /// is not reached, the request is open, the backend takes attempts and is the process that was
    /// selected, and the client is connected.
    ///
    /// Inputs: the attempt with its `send_by` on the monotonic clock, the state of its request and
    /// backend, and the state of the client's socket.
    /// Reason: a connection may be established long after the decision. The attempt could then run
    /// for a client that has disconnected, on a backend that drains, or after its deduplication
    /// window.
    /// Source: docs/races.md.
    ///
    /// Invariant: the caller checks this before the first byte, and again before each part whose
    /// write had to wait. The client is checked last, so that a process that is held up after
    /// reading its clock still notices that the client has disconnected.
    pub fn permits_write(&self, attempt: &AttemptRequest) -> bool {
        self.is_current(attempt) && !attempt.request.client.is_disconnected()
    }

    /// Returns whether an attempt is in time, its request is open, and its backend is still the
    /// same ready process.
    fn is_current(&self, attempt: &AttemptRequest) -> bool {
        let state = self.lock();
        if Instant::now() >= attempt.send_by {
            return false;
        }
        let Some(request) = state.requests.get(&attempt.id.request) else { return false };
        let Some(in_flight) = request.attempts.get(&attempt.id.attempt) else { return false };
        request.pending.is_some() && state.accepts_attempts(in_flight.backend, attempt.backend_started)
    }

    /// Returns whether this process still begins attempts, and a backend takes them and is still the
    /// process that started at `started`, in Unix ms.
    pub fn accepts_attempts(&self, backend: BackendId, started: Timestamp) -> bool {
        let state = self.lock();
        !state.is_stopping && state.accepts_attempts(backend, started)
    }

    /// Returns whether an attempt's request still waits for its response.
    pub fn awaits_response(&self, id: AttemptId) -> bool {
        self.lock().requests.get(&id.request).is_some_and(|request| request.pending.is_some())
    }

    /// Begins the response to a request with a value that is too long for a complete response.
    /// The attempt continues while the value streams. Returns false if the request's response is no longer
    /// pending.
    pub fn attempt_streaming(self: &Arc<Self>, id: AttemptId, length: usize, body: BodyReceiver) -> bool {
        let mut state = self.lock();
        let now = self.clock.now();
        let Some(pending) = state.take_pending(id.request) else { return false };
        if let Some(request) = state.requests.get_mut(&id.request) {
            request.stream_began = Some(now);
        }
        self.counters.requests_served.increment();
        request_log::request_streams(id.request, state.opaque(id.request), length);
        pending.send(Response::Stream { length, body });
        self.handle_event(state, Event::StreamBegan(id.request));
        true
    }

    /// Handles the end of an attempt. Only the first report of an attempt has an effect.
    pub fn attempt_finished(self: &Arc<Self>, id: AttemptId, outcome: Outcome, payload: Option<Payload>) {
        let mut state = self.lock();
        let now = self.clock.now();
        let Some(request) = state.requests.get_mut(&id.request) else { return };
        let Some(attempt) = request.attempts.remove(&id.attempt) else { return };
        request.may_have_run |= !outcome.proves_not_run();
        self.counters.outcome(outcome).increment();
        request_log::attempt_ended(id, &request.request.opaque, outcome, (now - attempt.sent).as_ms());
        let served = match (outcome, payload) {
            (Outcome::Ok, Some(payload)) => state.take_pending(id.request).map(|pending| (pending, payload)),
            _ => None,
        };
        let Some(request) = state.requests.get(&id.request) else { return };
        let end = AttemptEnd {
            id: id.request,
            attempt: id.attempt,
            backend: attempt.backend,
            // The rest of a streamed value arrives at the client's pace, so the backend's latency
            // is measured only until the stream begins.
            latency: request.stream_began.unwrap_or(now) - attempt.sent,
            is_request_finished: request.pending.is_none(),
            outcome,
            load_report: Vec::new(),
        };
        // The response does not depend on what the decision module decides, so it is sent first.
        if let Some((pending, payload)) = served {
            if matches!(payload, Payload::Value(_)) {
                self.value_history.record_short();
            }
            self.counters.requests_served.increment();
            request_log::request_served(id.request, state.opaque(id.request));
            pending.send(Response::Complete(payload));
        }
        self.handle_event(state, Event::AttemptEnd(end));
    }
}

impl DispatcherState {
    /// Returns whether a backend takes new attempts and is still the process that started at
    /// `started`, in Unix ms.
    fn accepts_attempts(&self, backend: BackendId, started: Timestamp) -> bool {
        let endpoint = self.endpoints.get(&backend);
        endpoint.is_some_and(|endpoint| endpoint.is_ready() && endpoint.started == started)
    }
}

/// Decides whether an attempt that the decision module requests is handed to the backend service,
/// which requires that the request has a pending response and no other attempt in flight, and the
/// backend is ready.
///
/// Inputs: the request with its attempts in flight, and the endpoint.
/// Reason: the decision module should never request a second attempt while one is in flight. If it
/// did, two backends could run the same request.
fn permits_start(in_flight: &InFlightRequest, endpoint: &Endpoint) -> bool {
    endpoint.is_ready() && in_flight.pending.is_some() && in_flight.attempts.is_empty()
}

/// Creates an attempt for the backend service. The attempt's time limits are counted from now.
fn attempt_request(
    plan: &AttemptPlan,
    attempt: u8,
    in_flight: &InFlightRequest,
    endpoint: &Endpoint,
) -> AttemptRequest {
    let budget = response_budget(in_flight.request.budget);
    let timeout = if plan.timeout > TimeSpan::ZERO { plan.timeout } else { budget };
    let now = Instant::now();
    AttemptRequest {
        id: AttemptId { request: plan.request, attempt },
        backend: plan.backend,
        address: Arc::clone(&endpoint.address),
        is_origin: endpoint.is_origin,
        request: Arc::clone(&in_flight.request),
        backend_started: endpoint.started,
        deadline: now + timer_duration(timeout),
        send_by: now + timer_duration(plan.send_within),
    }
}
