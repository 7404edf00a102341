//! Hands events to the decision module and does what it asks for. Read [`Dispatcher::handle_event`]
//! first; [`Step`] is what one call of it works on.

use super::attempts::AttemptPlan;
use super::messages::{BackendCommand, Response};
use super::side_effect::SideEffect;
use super::state::DispatcherState;
use super::Dispatcher;
use crate::interface::{Action, Event, GiveUpReason, RequestId, Time};
use crate::net::request_log;
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

/// No timer is longer than this: more than the module may ask for.
const MAX_TIMER_MS: f64 = 4_260_000.0;

/// What one event leads to, with the dispatcher locked.
struct Step<'a> {
    dispatcher: &'a Arc<Dispatcher>,
    state: &'a mut DispatcherState,
    now: Time,
    /// Events that the module is still to be told of.
    events: VecDeque<Event>,
    /// What is to be done once the lock is released.
    effects: Vec<SideEffect>,
}

impl Dispatcher {
    /// Hands the module an event and does what it asks for: changes of the state at once, side
    /// effects once the lock is released.
    pub(super) fn handle_event(self: &Arc<Self>, mut state: MutexGuard<'_, DispatcherState>, event: Event) {
        let mut step = Step {
            dispatcher: self,
            now: self.clock.now(),
            state: &mut state,
            events: VecDeque::from([event]),
            effects: Vec::new(),
        };
        step.run();
        let effects = step.effects;
        drop(state);
        for effect in effects {
            self.apply(effect);
        }
    }

    /// Ends a request with a response that no backend gave. The response is owed to the client.
    fn finish(
        &self,
        state: &mut DispatcherState,
        id: RequestId,
        response: Response,
        reason: GiveUpReason,
    ) -> Option<SideEffect> {
        let pending = state.take_pending(id)?;
        let is_rejected = matches!(response, Response::Rejected { .. });
        request_log::request_given_up(id, state.opaque(id), is_rejected, reason);
        self.counters.given_up(reason).increment();
        state.forget_if_over(id);
        match response {
            Response::Rejected { .. } => self.counters.answered_rejected.increment(),
            _ => self.counters.answered_failed.increment(),
        }
        Some(SideEffect::Respond(pending, response))
    }
}

impl Step<'_> {
    /// Tells the module of events until none is left.
    fn run(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let request = request_of(&event);
            self.decide(event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
            if let Some(id) = request {
                self.state.forget_if_over(id);
            }
        }
    }

    /// Lets the module append what it wants done about an event.
    fn decide(&mut self, event: Event, actions: &mut Vec<Action>) {
        let request = request_of(&event);
        let balancer = &mut self.state.balancer;
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(self.now, event, actions)));
        if handled.is_err() {
            // The module panicked over this event: nothing more can be expected for its request.
            self.dispatcher.counters.panics.increment();
            actions.clear();
            let reason = GiveUpReason::Panicked;
            actions.extend(request.map(|request| Action::Fail { request, reason }));
        }
    }

    /// Does what the module wants, as far as that is possible with the lock held.
    fn perform(&mut self, action: Action) {
        match action {
            Action::StartAttempt { request: id, backend: server, timeout: limit, send_by: within } => {
                let plan = AttemptPlan { request: id, server, timeout: limit, send_within: within };
                match self.dispatcher.start_attempt(self.state, self.now, plan) {
                    Ok(attempt) => self.effects.push(SideEffect::Command(BackendCommand::Attempt(attempt))),
                    Err(end) => self.events.push_back(Event::AttemptEnd(end)),
                }
            }
            Action::Reject { request: id, retry_after: wait, reason } => {
                let retry_after = (wait > 0.0).then(|| Duration::from_millis(wait.ceil() as u64));
                self.finish(id, Response::Rejected { retry_after }, reason);
            }
            Action::Fail { request: id, reason } => self.finish(id, Response::Failed, reason),
            Action::SetTimer { delay, token } => {
                self.effects.push(SideEffect::StartTimer { delay: timer_duration(delay), token });
            }
            Action::SetRequestTimer { request: id, delay, token } => {
                self.start_request_timer(id, timer_duration(delay), token);
            }
            Action::Subscribe => self.effects.push(SideEffect::Subscribe),
        }
    }

    fn finish(&mut self, id: RequestId, response: Response, reason: GiveUpReason) {
        self.effects.extend(self.dispatcher.finish(self.state, id, response, reason));
    }

    /// Starts a timer that ends with its request: otherwise those of finished requests would pile
    /// up.
    fn start_request_timer(&self, id: RequestId, delay: Duration, token: u64) {
        let pending = self.state.requests.get(&id).and_then(|request| request.pending.as_ref());
        if let Some(pending) = pending {
            let dispatcher = Arc::clone(self.dispatcher);
            pending.timers.spawn(move |timer| {
                if timer.sleep(delay) {
                    dispatcher.handle_event(dispatcher.lock(), Event::Timer(token));
                }
            });
        }
    }
}

/// The module's time in ms as a duration of at most [`MAX_TIMER_MS`].
pub(super) fn timer_duration(time: Time) -> Duration {
    Duration::from_secs_f64(time.clamp(0.0, MAX_TIMER_MS) / 1000.0)
}

/// The request that an event is about.
fn request_of(event: &Event) -> Option<RequestId> {
    match event {
        Event::Request(request) => Some(request.id),
        Event::AttemptEnd(end) => Some(end.id),
        Event::ClientGone(id) | Event::StreamBegan(id) => Some(*id),
        Event::Members { .. }
        | Event::Timer(_)
        | Event::Probed { .. }
        | Event::Peer { .. }
        | Event::Quota(_) => None,
    }
}
