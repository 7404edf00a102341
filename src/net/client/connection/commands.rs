//! Executes the commands of a client connection, and queues their responses. Read
//! [`Connection::execute`] first.

use super::submit::Rejection;
use super::{Connection, EncodedResponse, PendingCommand, ResponseSlot, State, REQUEST_OVERHEAD_BYTES};
use crate::net::client::encode::encode_response;
use crate::net::dispatcher::{ClientRequest, Response, ResponseCallback};
use crate::net::log::log_fault;
use crate::net::memory::MemoryReservation;
use crate::net::time_limits::{time_span, timer_duration};
use crate::time::TimeSpan;
use pinetrail_codec::memcache::{Command, RequestCommand};
use pinetrail_codec::MAX_VALUE_BYTES;
use std::fmt::Display;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The result of executing a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Execution {
    /// The command was executed, and its response is pending if it has one.
    Done,
    /// The memory budget has no room for the command now, so the command must be executed again
    /// later.
    NoMemory,
}

impl Connection<'_> {
    /// Executes a command, or leaves it for later while there is no memory for it. `lost_at` is the time
    /// of the earliest SIGKILL, if it would lose an incomplete response to the command.
    pub(super) fn execute(&mut self, command: Command, lost_at: Option<Instant>) -> Execution {
        match command {
            Command::Noop => self.respond_to_noop(),
            Command::Version => {
                self.respond(format!("VERSION pinetrail {}\r\n", env!("CARGO_PKG_VERSION")));
            }
            Command::Stats => self.respond_with_counters(),
            Command::Quit => self.state = State::Finishing,
            Command::Request(command) => return self.execute_request(command, lost_at),
        }
        Execution::Done
    }

    /// Responds to `mn`, the clients' health check of the proxy: with an error while the proxy is
    /// out of service or fenced.
    fn respond_to_noop(&mut self) {
        let is_out_of_service = self.service.disconnecting().is_some() || self.service.dispatcher.is_fenced();
        let text = if is_out_of_service { "SERVER_ERROR out of service\r\n" } else { "MN\r\n" };
        self.respond(text.to_owned());
    }

    fn respond_with_counters(&mut self) {
        let list = self.service.counters.list();
        let lines: String = list.iter().map(|(name, count)| format!("STAT {name} {count}\r\n")).collect();
        self.respond(lines + "END\r\n");
    }

    /// Parses a request, and decides whether the request waits for memory, is rejected for lack of
    /// memory, or is submitted.
    ///
    /// Inputs: the size of the request's value in bytes, the free memory, whether other commands
    /// are pending, and how long the request was unread, a duration.
    /// Reason: pending responses free memory, so only an idle connection is rejected.
    fn execute_request(&mut self, command: RequestCommand, lost_at: Option<Instant>) -> Execution {
        let value_size = command.value.as_ref().map_or(0, Vec::len);
        let memory = self.service.memory.reserve(value_size + MAX_VALUE_BYTES + REQUEST_OVERHEAD_BYTES);
        if memory.is_none() && !self.is_idle() {
            return Execution::NoMemory;
        }
        match (self.parse_by_active_policy(command), memory) {
            (Err(rejection), _) => self.respond_rejected(rejection),
            (Ok(_), None) => {
                self.service.counters.requests_rejected_for_memory.increment();
                self.respond("SERVER_ERROR busy\r\n".to_owned());
            }
            (Ok(mut request), Some(memory)) => {
                request.budget = (request.budget - time_span(self.unread_time)).max(TimeSpan::ZERO);
                request.lost_at = lost_at;
                self.submit_request(request, memory);
            }
        }
        Execution::Done
    }

    /// Submits a request. Its callback stores the response in a slot, and wakes the connection to
    /// write it.
    fn submit_request(&mut self, request: ClientRequest, memory: MemoryReservation) {
        let slot = ResponseSlot::default();
        // The response to a write is never streamed.
        let delivery = request.value.is_none().then(|| Arc::clone(&request.delivery));
        let respond = self.response_callback(&request, Arc::clone(&slot));
        self.service.record_request(self.id);
        let result =
            if self.rejects_requests() { Err(Rejection::Stopping) } else { self.submit(request, respond) };
        match result {
            Ok(id) => {
                self.pending.push_back(PendingCommand {
                    request: Some(id),
                    response: slot,
                    delivery,
                    memory: Some(memory),
                });
            }
            Err(rejection) => self.respond_rejected(rejection),
        }
    }

    /// Returns the callback that encodes a response, stores it in the slot and wakes the
    /// connection.
    ///
    /// Note: a response after the client's deadline is counted and logged as a fault.
    fn response_callback(&self, request: &ClientRequest, slot: ResponseSlot) -> ResponseCallback {
        let handle = Arc::clone(&self.handle);
        let opaque = request.opaque.clone();
        let counters = Arc::clone(&self.service.counters);
        let deadline = Instant::now() + timer_duration(request.budget);
        Box::new(move |response: Response| {
            if let Some(late) = Instant::now().checked_duration_since(deadline) {
                counters.responses_late.increment();
                log_fault(&format!(
                    "the response to request {opaque} is {} ms past the client's deadline",
                    late.as_millis()
                ));
            }
            let bytes = encode_response(&opaque, &response);
            let body = match response {
                Response::Stream { body, .. } => Some(body),
                _ => None,
            };
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(EncodedResponse { bytes, body });
            handle.wake();
        })
    }

    /// Counts a malformed command, and responds with the error.
    pub(super) fn respond_malformed(&mut self, error: impl Display) {
        self.service.counters.commands_malformed.increment();
        self.had_errors = true;
        self.respond(format!("{error}\r\n"));
    }

    fn respond_rejected(&mut self, rejection: Rejection) {
        match rejection {
            Rejection::Malformed(error) => self.respond_malformed(format_args!("CLIENT_ERROR {error}")),
            Rejection::RetryLater { retry_after } => {
                self.respond(format!("SERVER_ERROR busy {}\r\n", retry_after.as_millis()));
            }
            Rejection::Stopping => self.respond("SERVER_ERROR busy\r\n".to_owned()),
            Rejection::ClientDisconnected => {}
        }
    }

    /// Queues a response that is available at once.
    fn respond(&mut self, text: String) {
        let response = EncodedResponse { bytes: text.into_bytes(), body: None };
        self.pending.push_back(PendingCommand {
            request: None,
            response: Arc::new(Mutex::new(Some(response))),
            delivery: None,
            memory: None,
        });
    }
}
