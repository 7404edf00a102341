//! Makes the attempts that the dispatcher asks for, one coroutine each, and reports their outcomes.
//! The service neither selects a backend nor sends an attempt twice. Read [`BackendService`] first,
//! then `attempt`.
//!
//! `pool` holds idle connections, `encode` encodes requests in the backend's protocol, `response`
//! parses its responses, `long_value` passes on values that are too long for that,
//! `collected_value` collects those with requests behind them, and
//! `unsized_body` bodies whose length is known only at their end. `surplus` tells a second copy of a
//! response from the rest of one whose length is wrong. `stream_start` decides when a long
//! value begins to stream, and `response_failure` has the reasons why a response is not complete.

mod attempt;
mod collected_value;
mod encode;
mod long_value;
mod pool;
mod response;
mod response_failure;
mod stream_start;
mod surplus;
#[cfg(test)]
mod tests;
mod unsized_body;

use super::counters::Counters;
use super::deadline_stream::sleep;
use super::descriptors::Descriptors;
use super::dispatcher::{BackendCommand, Dispatcher};
use super::memory::MemoryBudget;
use attempt::OutcomeReporter;
use may::sync::mpsc::Receiver;
use pool::Pool;
pub(in crate::net) use response_failure::ResponseFailure;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The interval at which stale idle connections are closed.
const CLOSE_STALE_INTERVAL: Duration = Duration::from_secs(1);

/// The parameters of a new [`BackendService`].
pub struct BackendServiceParameters {
    /// The receiver of the outcomes of attempts.
    pub dispatcher: Arc<Dispatcher>,
    /// The counters of the process.
    pub counters: Arc<Counters>,
    /// The commands of the dispatcher.
    pub commands: Receiver<BackendCommand>,
    /// The descriptors that backend connections share with client connections.
    pub descriptors: Arc<Descriptors>,
    /// The memory budget of commands and responses.
    pub memory: Arc<MemoryBudget>,
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// The time after which backends close idle connections.
    pub idle_timeout: Duration,
}

/// The connections of one proxy to its backends, and the attempts made on them.
pub struct BackendService {
    dispatcher: Arc<Dispatcher>,
    counters: Arc<Counters>,
    pool: Pool,
    memory: Arc<MemoryBudget>,
    /// Whether a body that is collected without a known length waits for memory.
    body_waits_for_memory: AtomicBool,
    /// The timeout for establishing a connection. The lock guards only this value.
    connect_timeout: Mutex<Duration>,
}

impl BackendService {
    /// Starts the service, which holds as many connections as the descriptors allow. The coroutine
    /// that applies commands ends when their sender is dropped; the one that closes stale
    /// connections runs until the process ends.
    pub fn start(parameters: BackendServiceParameters) -> Arc<BackendService> {
        let commands = parameters.commands;
        let service = Arc::new(BackendService {
            dispatcher: parameters.dispatcher,
            counters: parameters.counters,
            pool: Pool::new(parameters.descriptors, parameters.idle_timeout),
            memory: parameters.memory,
            body_waits_for_memory: AtomicBool::new(false),
            connect_timeout: Mutex::new(parameters.connect_timeout),
        });
        let closer = Arc::clone(&service);
        may::go!(move || loop {
            sleep(CLOSE_STALE_INTERVAL);
            closer.pool.close_stale();
        });
        let runner = Arc::clone(&service);
        may::go!(move || {
            for command in &commands {
                runner.apply(command);
            }
        });
        service
    }

    /// Returns the timeout for establishing a connection.
    pub fn connect_timeout(&self) -> Duration {
        *self.connect_timeout.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the timeout for establishing a connection, and the time after which backends close idle
    /// ones.
    pub fn set_timeouts(&self, connect_timeout: Duration, idle_timeout: Duration) {
        *self.connect_timeout.lock().unwrap_or_else(PoisonError::into_inner) = connect_timeout;
        self.pool.set_idle_timeout(idle_timeout);
    }

    /// Closes all idle connections to backends.
    pub fn close_idle_connections(&self) {
        self.pool.close_all_idle();
    }

    fn apply(self: &Arc<Self>, command: BackendCommand) {
        match command {
            BackendCommand::Attempt(attempt) => {
                let service = Arc::clone(self);
                // The coroutine ends by the attempt's deadline, or at the end of a streamed value.
                may::go!(move || {
                    let mut reporter = OutcomeReporter::new(&service, attempt.id);
                    reporter.result = Some(service.run_attempt(&attempt));
                });
            }
            BackendCommand::CloseIdleConnections(backend) => self.pool.close_idle(backend),
        }
    }
}
