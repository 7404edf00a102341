//! Attempts at backends: how one is started, whether it may still be sent, and what its outcome
//! means for its request. Read [`AttemptPlan`] first.

use super::event_loop::timer_duration;
use super::messages::{AttemptId, AttemptRequest, Payload, Response};
use super::state::{DispatcherState, Endpoint, InFlightAttempt, InFlightRequest, PendingResponse};
use super::Dispatcher;
use crate::interface::{AttemptEnd, Event, Outcome, RequestId, ServerId, Time};
use crate::net::body_stream::BodyReceiver;
use crate::net::log::log;
use crate::net::request_log;
use crate::net::time_limits::response_budget_ms;
use std::sync::Arc;
use std::time::Instant;

/// An attempt as the decision module asks for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptPlan {
    /// The request.
    pub request: RequestId,
    /// The backend.
    pub server: ServerId,
    /// How long to wait for its end, in ms; the request's whole time if not above 0.
    pub timeout: Time,
    /// Within how many ms its last byte must be sent.
    pub send_within: Time,
}

impl AttemptPlan {
    /// The end of an attempt that is not sent, and the last of its request if no response is
    /// pending.
    fn not_sent(&self, attempt: u8, pending: Option<&PendingResponse>) -> AttemptEnd {
        AttemptEnd {
            id: self.request,
            attempt,
            server: self.server,
            latency: 0.0,
            last: pending.is_none(),
            outcome: Outcome::Moot,
            report: Vec::new(),
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
        now: Time,
        plan: AttemptPlan,
    ) -> Result<AttemptRequest, AttemptEnd> {
        let Some(in_flight) = state.requests.get_mut(&plan.request) else {
            return Err(plan.not_sent(0, None));
        };
        let attempt = in_flight.attempts_ordered;
        in_flight.attempts_ordered = attempt.saturating_add(1);
        self.counters.calls_ordered.increment();
        // Danger: a second copy. The module asks for none while an attempt is in flight; should it
        // ever, that is seen here, and it is not sent.
        if !in_flight.attempts.is_empty() {
            let id = &in_flight.request.opaque;
            log(&format!("ERROR: a second attempt was ordered while one is in flight: {id}"));
        }
        let may_attempt = in_flight.pending.is_some() && in_flight.attempts.is_empty();
        let endpoint = state.endpoints.get(&plan.server);
        let Some(endpoint) = endpoint.filter(|endpoint| endpoint.is_ready() && may_attempt) else {
            self.counters.calls_moot.increment();
            return Err(plan.not_sent(attempt, in_flight.pending.as_ref()));
        };
        in_flight.attempts.insert(attempt, InFlightAttempt { server: plan.server, sent: now });
        let order = attempt_request(&plan, attempt, in_flight, endpoint);
        let time_left = order.deadline.saturating_duration_since(Instant::now());
        request_log::attempt_ordered(order.id, &order.request.opaque, &order.address, time_left);
        Ok(order)
    }

    /// Whether an attempt may still be sent: it is not too late, its request is open, its backend
    /// takes attempts and is the process that was meant, and its client is there. Danger: asked
    /// before the first byte, and again before each that had to wait. The client comes last: a
    /// process that is held up after it read its clock still sees that the client has gone.
    pub fn should_send(&self, attempt: &AttemptRequest) -> bool {
        self.is_still_meant(attempt) && !attempt.request.client.is_gone()
    }

    fn is_still_meant(&self, attempt: &AttemptRequest) -> bool {
        let state = self.lock();
        if Instant::now() >= attempt.send_by {
            return false;
        }
        let Some(request) = state.requests.get(&attempt.id.request) else { return false };
        let Some(in_flight) = request.attempts.get(&attempt.id.attempt) else { return false };
        request.pending.is_some() && state.is_ready_since(in_flight.server, attempt.server_started)
    }

    /// Whether a backend takes new attempts, and is still the process that started then (Unix ms).
    pub fn accepts_attempts(&self, server: ServerId, started: Time) -> bool {
        self.lock().is_ready_since(server, started)
    }

    /// An attempt brings a value that is too long to be read whole: the response begins here, and
    /// the attempt goes on. False if nobody waits for it any more.
    pub fn attempt_streaming(self: &Arc<Self>, id: AttemptId, length: usize, body: BodyReceiver) -> bool {
        let mut state = self.lock();
        let now = self.clock.now();
        let Some(pending) = state.take_pending(id.request) else { return false };
        if let Some(request) = state.requests.get_mut(&id.request) {
            request.stream_began = Some(now);
        }
        self.counters.answered_served.increment();
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
        request_log::attempt_ended(id, &request.request.opaque, outcome, now - attempt.sent);
        let served = match (outcome, payload) {
            (Outcome::Ok, Some(payload)) => state.take_pending(id.request).map(|pending| (pending, payload)),
            _ => None,
        };
        let Some(request) = state.requests.get(&id.request) else { return };
        let end = AttemptEnd {
            id: id.request,
            attempt: id.attempt,
            server: attempt.server,
            // Of a value that streams only the beginning tells of the backend; the rest is the
            // client's pace.
            latency: request.stream_began.unwrap_or(now) - attempt.sent,
            last: request.pending.is_none(),
            outcome,
            report: Vec::new(),
        };
        // The client need not wait for what the module makes of it.
        if let Some((pending, payload)) = served {
            self.counters.answered_served.increment();
            request_log::request_served(id.request, state.opaque(id.request));
            pending.send(Response::Complete(payload));
        }
        self.handle_event(state, Event::AttemptEnd(end));
    }
}

impl DispatcherState {
    /// Whether a backend takes new attempts, and is still the process that started then (Unix ms).
    fn is_ready_since(&self, server: ServerId, started: Time) -> bool {
        let endpoint = self.endpoints.get(&server);
        endpoint.is_some_and(|endpoint| endpoint.is_ready() && endpoint.started == started)
    }
}

/// What the backend service is told of an attempt, whose times begin now.
fn attempt_request(
    plan: &AttemptPlan,
    attempt: u8,
    in_flight: &InFlightRequest,
    endpoint: &Endpoint,
) -> AttemptRequest {
    let whole_time = response_budget_ms(in_flight.request.budget);
    let timeout = if plan.timeout > 0.0 { plan.timeout } else { whole_time };
    let now = Instant::now();
    AttemptRequest {
        id: AttemptId { request: plan.request, attempt },
        server: plan.server,
        address: Arc::clone(&endpoint.address),
        is_origin: endpoint.is_origin,
        request: Arc::clone(&in_flight.request),
        server_started: endpoint.started,
        deadline: now + timer_duration(timeout),
        send_by: now + timer_duration(plan.send_within),
    }
}
