//! Hands events to the decision module and applies the actions that the module returns. Read
//! [`Dispatcher::handle_event`] first; each call uses one [`EventRun`].

use super::attempts::AttemptPlan;
use super::messages::{BackendCommand, Response};
use super::side_effect::SideEffect;
use super::state::DispatcherState;
use super::Dispatcher;
use crate::interface::{Action, Event, GiveUpReason, RequestId};
use crate::net::request_log;
use crate::net::time_limits::timer_duration;
use crate::time::{TimeSpan, Timestamp};
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

/// The handling of one event and of the events that follow from it, while the dispatcher's lock is
/// held.
struct EventRun<'a> {
    dispatcher: &'a Arc<Dispatcher>,
    state: &'a mut DispatcherState,
    now: Timestamp,
    /// The events that the decision module has not received yet.
    events: VecDeque<Event>,
    /// The side effects to apply once the lock is released.
    effects: Vec<SideEffect>,
}

impl Dispatcher {
    /// Hands an event to the decision module and applies the module's actions: changes of the state
    /// at once, side effects after the lock is released.
    pub(super) fn handle_event(self: &Arc<Self>, mut state: MutexGuard<'_, DispatcherState>, event: Event) {
        let mut run = EventRun {
            dispatcher: self,
            now: self.clock.now(),
            state: &mut state,
            events: VecDeque::from([event]),
            effects: Vec::new(),
        };
        run.handle_all();
        let effects = run.effects;
        drop(state);
        for effect in effects {
            self.apply(effect);
        }
    }

    /// Gives a request up: the request is rejected or fails without a response from a backend.
    /// Returns the side effect that sends the response, or `None` if no response is pending.
    fn give_up(
        &self,
        state: &mut DispatcherState,
        id: RequestId,
        response: Response,
        reason: GiveUpReason,
    ) -> Option<SideEffect> {
        let pending = state.take_pending(id)?;
        if matches!(response, Response::Rejected { .. }) {
            request_log::request_rejected(id, state.opaque(id), reason);
            self.counters.requests_rejected.increment();
        } else {
            request_log::request_failed(id, state.opaque(id), reason);
            self.counters.requests_failed.increment();
        }
        self.counters.given_up(reason).increment();
        state.remove_if_finished(id);
        Some(SideEffect::Respond(pending, response))
    }
}

impl EventRun<'_> {
    /// Hands events to the decision module until none is pending.
    fn handle_all(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let request = request_of(&event);
            self.call_module(event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(action);
            }
            if let Some(id) = request {
                self.state.remove_if_finished(id);
            }
        }
    }

    /// Hands an event to the decision module, which appends its actions to `actions`. If the module
    /// panics, the only action is the failure of the event's request.
    fn call_module(&mut self, event: Event, actions: &mut Vec<Action>) {
        let request = request_of(&event);
        let balancer = &mut self.state.balancer;
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(self.now, event, actions)));
        if handled.is_err() {
            // After a panic, the module may never finish the request of this event.
            self.dispatcher.counters.panics.increment();
            actions.clear();
            let reason = GiveUpReason::Panicked;
            actions.extend(request.map(|request| Action::Fail { request, reason }));
        }
    }

    /// Applies the part of an action that is possible while the lock is held, and collects the side
    /// effects.
    fn apply_action(&mut self, action: Action) {
        match action {
            Action::StartAttempt { request, backend, timeout, send_within } => {
                let plan = AttemptPlan { request, backend, timeout, send_within };
                match self.dispatcher.start_attempt(self.state, self.now, plan) {
                    Ok(attempt) => self.effects.push(SideEffect::Command(BackendCommand::Attempt(attempt))),
                    Err(end) => self.events.push_back(Event::AttemptEnd(end)),
                }
            }
            Action::Reject { request, retry_after, reason } => {
                let retry_after = retry_after_advice(retry_after);
                self.give_up(request, Response::Rejected { retry_after }, reason);
            }
            Action::Fail { request, reason } => self.give_up(request, Response::Failed, reason),
            Action::SetTimer { delay, token } => {
                let due = Instant::now() + timer_duration(delay);
                self.effects.push(SideEffect::StartTimer { due, token });
            }
            Action::SetRequestTimer { request, delay, token } => {
                self.start_request_timer(request, Instant::now() + timer_duration(delay), token);
            }
            Action::Subscribe => self.effects.push(SideEffect::Subscribe),
        }
    }

    fn give_up(&mut self, id: RequestId, response: Response, reason: GiveUpReason) {
        self.effects.extend(self.dispatcher.give_up(self.state, id, response, reason));
    }

    /// Starts a timer that is cancelled when its request has its response, so that timers of
    /// finished requests do not accumulate.
    fn start_request_timer(&mut self, id: RequestId, due: Instant, token: u64) {
        let pending = self.state.requests.get_mut(&id).and_then(|request| request.pending.as_mut());
        if let Some(pending) = pending {
            let dispatcher = Arc::clone(self.dispatcher);
            pending.timers.run_at(due, move || {
                dispatcher.handle_event(dispatcher.lock(), Event::Timer(token));
            });
        }
    }
}

/// Returns the retry-after for a client, rounded up to whole ms; `None` if it is not above 0.
fn retry_after_advice(retry_after: TimeSpan) -> Option<Duration> {
    (retry_after > TimeSpan::ZERO).then(|| Duration::from_millis(retry_after.as_ms().ceil() as u64))
}

/// Returns the request that an event is about, if any.
fn request_of(event: &Event) -> Option<RequestId> {
    match event {
        Event::Request(request) => Some(request.id),
        Event::AttemptEnd(end) => Some(end.id),
        Event::ClientGone(id) | Event::StreamBegan(id) => Some(*id),
        Event::EndpointList { .. }
        | Event::Timer(_)
        | Event::Probed { .. }
        | Event::PeerMessage { .. }
        | Event::Quota(_) => None,
    }
}
