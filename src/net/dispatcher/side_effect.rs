//! What the decision module's actions cause outside the dispatcher's state. [`SideEffect`]s are
//! collected with the lock held and applied once it is released.

use super::messages::{BackendCommand, Response};
use super::state::PendingResponse;
use super::Dispatcher;
use crate::interface::Event;
use crate::net::timer;
use std::sync::Arc;
use std::time::Duration;

/// Something to do once the dispatcher's lock is released.
pub(super) enum SideEffect {
    /// Send a response.
    Respond(PendingResponse, Response),
    /// Pass a command to the backend service.
    Command(BackendCommand),
    /// Hand the module a timer event after this delay.
    StartTimer {
        /// How long until then.
        delay: Duration,
        /// What the module knows it by.
        token: u64,
    },
    /// Have discovery watch the list of backends.
    Subscribe,
}

impl Dispatcher {
    /// Applies a side effect. Called with the lock released.
    pub(super) fn apply(self: &Arc<Self>, effect: SideEffect) {
        match effect {
            SideEffect::Respond(pending, response) => pending.send(response),
            SideEffect::Command(command) => self.send_command(command),
            SideEffect::Subscribe => {
                // The receiver is gone only when the program stops.
                let _ = self.subscribe.send(());
            }
            SideEffect::StartTimer { delay, token } => {
                let dispatcher = Arc::clone(self);
                // This coroutine ends by itself, after the delay.
                may::go!(move || {
                    timer::sleep(delay);
                    dispatcher.handle_event(dispatcher.lock(), Event::Timer(token));
                });
            }
        }
    }

    /// Passes a command to the backend service. It never waits, so it may be called with the lock
    /// held.
    pub(super) fn send_command(&self, command: BackendCommand) {
        // The receiver is gone only when the program stops.
        let _ = self.commands.send(command);
    }
}
