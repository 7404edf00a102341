//! Attempts at backends: how one is started, whether it may still be written, and what its outcome
//! means for its request. Read [`AttemptPlan`] first, then [`Dispatcher::permits_write`].

use super::clock::timer_duration;
use super::messages::{AttemptRequest, Payload, Response};
use super::state::{DispatcherState, Endpoint, InFlightAttempt, InFlightRequest, PendingResponse};
use super::Dispatcher;
use crate::interface::{AttemptEnd, BackendId, Event, Outcome, RequestId};
use crate::net::attempt_id::AttemptId;
use crate::net::body_stream::BodyReceiver;
use crate::net::log::log;
use crate::net::request_log;
use crate::net::time_limits::response_budget;
use crate::time::{TimeSpan, Timestamp};
use std::sync::Arc;
use std::time::Instant;

/// An attempt as the decision module asks for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptPlan {
    /// The request.
    pub request: RequestId,
    /// The backend.
    pub backend: BackendId,
    /// The timeout in ms; the whole budget of the request if not above 0.
    pub timeout: TimeSpan,
    /// Within how many ms its last byte must be written.
    pub send_within: TimeSpan,
}

impl AttemptPlan {
    /// The end of an attempt that is not sent, and the last of its request if no response is
    /// pending.
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
    /// Starts an attempt that the module asks for.
    ///
    /// # Errors
    ///
    /// The end of the attempt, if it must not be sent.
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
            log(&format!("ERROR: a second attempt was ordered while one is in flight: {id}"));
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

    /// Whether an attempt may be written.
    ///
    /// Decides: whether the next bytes of an attempt may go out. They may if it is not too late,
    /// the request is open, the backend takes attempts and is the process that was selected, and
    /// the client is connected.
    /// Inputs: the attempt with its last moment to be sent (`send_by`, monotonic clock), the state
    /// of its request and backend, and the state of the client's socket.
    /// Reason: a connection may be established long after the decision, when the attempt would run
    /// for a client that has disconnected, on a backend that drains, or after its deduplication
    /// window.
    /// Source: docs/races.md.
    ///
    /// Invariant: this is checked before the first byte, and again before each part that had to
    /// wait. The client is checked last, so that a process that is held up after it read its clock
    /// still notices that the client has disconnected.
    pub fn permits_write(&self, attempt: &AttemptRequest) -> bool {
        self.is_current(attempt) && !attempt.request.client.is_disconnected()
    }

    /// Whether an attempt is in time, its request open, and its backend still the same ready
    /// process.
    fn is_current(&self, attempt: &AttemptRequest) -> bool {
        let state = self.lock();
        if Instant::now() >= attempt.send_by {
            return false;
        }
        let Some(request) = state.requests.get(&attempt.id.request) else { return false };
        let Some(in_flight) = request.attempts.get(&attempt.id.attempt) else { return false };
        request.pending.is_some() && state.accepts_attempts(in_flight.backend, attempt.backend_started)
    }

    /// Whether a backend takes new attempts and is still the process that started at `started`, in
    /// Unix ms.
    pub fn accepts_attempts(&self, backend: BackendId, started: Timestamp) -> bool {
        self.lock().accepts_attempts(backend, started)
    }

    /// An attempt returns a value that is too long to be buffered: the response begins here, and
    /// the attempt continues. Returns false if the request has no pending response any more.
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

    /// An attempt has ended. Only the first report of an attempt counts.
    pub fn attempt_finished(self: &Arc<Self>, id: AttemptId, outcome: Outcome, payload: Option<Payload>) {
        let mut state = self.lock();
        let now = self.clock.now();
        let Some(request) = state.requests.get_mut(&id.request) else { return };
        let Some(attempt) = request.attempts.remove(&id.attempt) else { return };
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
            // The rest of a streamed value comes at the client's pace, so only the time to its
            // beginning measures the backend.
            latency: request.stream_began.unwrap_or(now) - attempt.sent,
            is_request_finished: request.pending.is_none(),
            outcome,
            load_report: Vec::new(),
        };
        // The response does not depend on what the module decides, so it goes out first.
        if let Some((pending, payload)) = served {
            self.counters.requests_served.increment();
            request_log::request_served(id.request, state.opaque(id.request));
            pending.send(Response::Complete(payload));
        }
        self.handle_event(state, Event::AttemptEnd(end));
    }
}

impl DispatcherState {
    /// Whether a backend takes new attempts and is still the process that started at `started`, in
    /// Unix ms.
    fn accepts_attempts(&self, backend: BackendId, started: Timestamp) -> bool {
        let endpoint = self.endpoints.get(&backend);
        endpoint.is_some_and(|endpoint| endpoint.is_ready() && endpoint.started == started)
    }
}

/// Whether an attempt that the module asks for may start.
///
/// Decides: whether an attempt is handed to the backend service. It is if the request has a pending
/// response and no other attempt in flight, and the backend is ready.
/// Inputs: the request with its attempts in flight, and the endpoint.
/// Reason: the module asks for no second attempt while one is in flight. If it ever did, two
/// backends could run one request.
fn permits_start(in_flight: &InFlightRequest, endpoint: &Endpoint) -> bool {
    endpoint.is_ready() && in_flight.pending.is_some() && in_flight.attempts.is_empty()
}

/// The attempt as the backend service receives it. Its times begin now.
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
