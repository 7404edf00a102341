//! [`SideEffect`]: an effect of the decision module's actions outside the dispatcher's state. Side
//! effects are collected while the dispatcher's lock is held, and applied once it is released.

use super::messages::{BackendCommand, Response};
use super::state::PendingResponse;
use super::Dispatcher;
use crate::interface::Event;
use crate::net::timer;
use std::sync::Arc;
use std::time::Instant;

/// An effect to apply once the dispatcher's lock is released.
pub(super) enum SideEffect {
    /// Send a response.
    Respond(PendingResponse, Response),
    /// Pass a command to the backend service.
    Command(BackendCommand),
    /// Hand a timer event to the decision module at `due`.
    StartTimer {
        /// The time at which the timer fires.
        due: Instant,
        /// The decision module's token for the timer.
        token: u64,
    },
    /// Make discovery watch the endpoint list.
    Subscribe,
}

impl Dispatcher {
    /// Applies a side effect. The caller does not hold the dispatcher's lock.
    pub(super) fn apply(self: &Arc<Self>, effect: SideEffect) {
        match effect {
            SideEffect::Respond(pending, response) => pending.send(response),
            SideEffect::Command(command) => self.send_command(command),
            SideEffect::Subscribe => {
                // The receiver is dropped only when the process stops.
                let _ = self.subscriptions.send(());
            }
            SideEffect::StartTimer { due, token } => {
                let dispatcher = Arc::clone(self);
                timer::run_at(due, move || {
                    dispatcher.handle_event(dispatcher.lock(), Event::Timer(token));
                });
            }
        }
    }

    /// Passes a command to the backend service. Never waits, so the caller may hold the
    /// dispatcher's lock.
    pub(super) fn send_command(&self, command: BackendCommand) {
        // The receiver is dropped only when the process stops.
        let _ = self.commands.send(command);
    }
}
