//! Makes one attempt at a backend: connects, writes the request, reads the response, and reports
//! the outcome. Read [`BackendService::run_attempt`] first.

use super::encode::encode_request;
use super::pool::{ConnectError, Connection, ReuseDelay};
use super::response::{parse_response, AttemptResult, ConnectionReuse, ParsedResponse};
use super::response_failure::ResponseFailure;
use super::stream_start::StreamStart;
use super::BackendService;
use crate::interface::Outcome;
use crate::net::attempt_id::AttemptId;
use crate::net::dispatcher::AttemptRequest;
use crate::net::request_log;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Instant;

/// The source of an attempt's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionSource {
    /// The connection was idle in the pool.
    Pool,
    /// The connection was opened for the attempt.
    New,
}

impl BackendService {
    /// Makes an attempt. The connection is returned to the pool or closed before the result is
    /// reported, so that the next attempt of the request begins only when this one has ended.
    pub(super) fn run_attempt(&self, attempt: &AttemptRequest) -> AttemptResult {
        loop {
            let idle = self.pool.take_idle(attempt.backend, &attempt.address);
            let source = if idle.is_some() { ConnectionSource::Pool } else { ConnectionSource::New };
            let connection = match idle {
                Some(connection) => connection,
                None => match self.connect(attempt) {
                    Ok(connection) => connection,
                    Err(outcome) => return outcome.into(),
                },
            };
            // Encoding reads the clock for the remaining time, so it precedes the last check: after
            // a hold-up between the two, the attempt is not written.
            let bytes = encode_request(attempt);
            if !self.dispatcher.permits_write(attempt) {
                self.release(attempt, connection, ConnectionReuse::AfterShortDelay);
                request_log::attempt_not_sent(attempt.id, &attempt.request.opaque);
                return Outcome::Moot.into();
            }
            let write_deadline = attempt.deadline.min(attempt.send_by);
            let permits_write = || self.dispatcher.permits_write(attempt);
            let Err(error) = connection.stream.write_while(&bytes, write_deadline, permits_write) else {
                let is_new = source == ConnectionSource::New;
                request_log::attempt_sent(attempt.id, &attempt.request.opaque, is_new);
                return self.await_response(attempt, connection);
            };
            if let Some(outcome) = self.outcome_after_failed_write(attempt, error.kind(), source) {
                return outcome.into();
            }
        }
    }

    /// Decides the outcome of an attempt whose last byte was not written: not sent, timed out, or
    /// not connected. Returns `None` if the attempt continues on another connection.
    ///
    /// Inputs: the error, the source of the connection, the deadline on the monotonic clock, and
    /// whether a write is still permitted.
    /// Reason: an idle connection may break although the backend works, so it is no evidence of a
    /// fault. Without its last byte the attempt never ran, so the request does not run twice.
    /// Source: docs/races.md.
    fn outcome_after_failed_write(
        &self,
        attempt: &AttemptRequest,
        error: ErrorKind,
        source: ConnectionSource,
    ) -> Option<Outcome> {
        let permits_write = || self.dispatcher.permits_write(attempt);
        match unsent_outcome(error) {
            Outcome::ConnectFailed if source == ConnectionSource::Pool && permits_write() => None,
            _ if Instant::now() < attempt.deadline && !permits_write() => Some(Outcome::Moot),
            outcome => Some(outcome),
        }
    }

    /// Opens a connection for an attempt.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if there is no connection in time.
    fn connect(&self, attempt: &AttemptRequest) -> Result<Connection, Outcome> {
        let remaining = attempt.deadline.min(attempt.send_by).saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(Outcome::Moot);
        }
        let timeout = self.connect_timeout();
        match self.pool.open(&attempt.address, timeout.min(remaining)) {
            Ok(connection) => {
                self.counters.backend_connections.increment();
                Ok(connection)
            }
            // The limit on descriptors is the proxy's own, so the backend is not at fault.
            Err(ConnectError::NoDescriptor) => Err(Outcome::Moot),
            Err(ConnectError::Failed(error)) => match error.kind() {
                // The attempt may no longer be sent, even if the connection is established later.
                ErrorKind::TimedOut if remaining < timeout && attempt.send_by < attempt.deadline => {
                    Err(Outcome::Moot)
                }
                ErrorKind::TimedOut if remaining < timeout => Err(Outcome::Timeout),
                _ => Err(Outcome::ConnectFailed),
            },
        }
    }

    /// Reads the response to an attempt that was written. A response may pause until the attempt's
    /// deadline.
    fn await_response(&self, attempt: &AttemptRequest, connection: Connection) -> AttemptResult {
        let mut bytes = Vec::new();
        let mut stream_start = StreamStart::default();
        loop {
            let deadline = stream_start.due().map_or(attempt.deadline, |due| due.min(attempt.deadline));
            let input = match read_response(&connection, &mut bytes, deadline, attempt.deadline) {
                Ok(input) => input,
                Err(failure) => match stream_start.take_due_value(failure) {
                    Some(value) => {
                        let beginning = stream_start.beginning(attempt);
                        return self.pass_on_value(attempt, connection, bytes, &value, beginning);
                    }
                    None => return self.end_without_response(attempt, failure, bytes.len()),
                },
            };
            match parse_arrived(attempt, &connection, &mut bytes) {
                ParsedResponse::Incomplete if input == InputState::Closed => {
                    return self.end_without_response(attempt, ResponseFailure::Ended, bytes.len());
                }
                ParsedResponse::Incomplete => {}
                ParsedResponse::Malformed => {
                    return self.end_without_response(attempt, ResponseFailure::Malformed, bytes.len());
                }
                ParsedResponse::LongValue(value) if value.has_stream_threshold(attempt, bytes.len()) => {
                    let beginning = stream_start.beginning(attempt);
                    return self.pass_on_value(attempt, connection, bytes, &value, beginning);
                }
                ParsedResponse::LongValue(_) if input == InputState::Closed => {
                    return self.end_without_response(attempt, ResponseFailure::Ended, bytes.len());
                }
                ParsedResponse::LongValue(value) => {
                    stream_start.update(value, bytes.len(), attempt);
                }
                ParsedResponse::UnsizedBody(body) => {
                    return self.collect_unsized_body(attempt, connection, bytes, &body);
                }
                ParsedResponse::Complete { result, reuse } => {
                    if input == InputState::Open {
                        self.release(attempt, connection, reuse);
                    }
                    return result;
                }
            }
        }
    }

    /// Returns a connection to the pool, if it may be reused.
    ///
    /// Invariant: the pool checks with its lock held that the backend is still the same ready
    /// process. If the backend drains or restarts later, its idle connections are closed after that
    /// check.
    pub(super) fn release(&self, attempt: &AttemptRequest, connection: Connection, reuse: ConnectionReuse) {
        let delay = match reuse {
            ConnectionReuse::AfterShortDelay => ReuseDelay::Short,
            ConnectionReuse::AfterLongDelay => ReuseDelay::Long,
            ConnectionReuse::Never => return,
        };
        self.pool.put_idle(attempt.backend, connection, delay, || {
            self.dispatcher.accepts_attempts(attempt.backend, attempt.backend_started)
        });
    }
}

/// Parses the bytes of a response that have arrived. Before a response of the origin counts as
/// complete, the bytes behind it that have arrived are read too, since they may show that its length
/// is wrong.
fn parse_arrived(attempt: &AttemptRequest, connection: &Connection, bytes: &mut Vec<u8>) -> ParsedResponse {
    let parsed = parse_response(attempt, bytes);
    let is_complete = matches!(parsed, ParsedResponse::Complete { .. });
    if is_complete && attempt.is_origin && connection.stream.read_available(bytes) > 0 {
        return parse_response(attempt, bytes);
    }
    parsed
}

/// Whether more bytes of a response may arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputState {
    /// The connection is open.
    Open,
    /// The backend has closed the connection without a reset.
    Closed,
}

/// Reads more of a response until `read_deadline`, and returns whether the connection is still open.
///
/// # Errors
///
/// Returns the reason why the response is not complete.
pub(super) fn read_response(
    connection: &Connection,
    bytes: &mut Vec<u8>,
    read_deadline: Instant,
    attempt_deadline: Instant,
) -> Result<InputState, ResponseFailure> {
    match connection.stream.read(bytes, read_deadline) {
        Ok(0) => Ok(InputState::Closed),
        // A backend that sends continuously must not prolong the attempt.
        Ok(_) if Instant::now() >= attempt_deadline => Err(ResponseFailure::Late),
        Ok(_) => Ok(InputState::Open),
        Err(error) if error.kind() == ErrorKind::TimedOut => Err(ResponseFailure::Late),
        Err(_) => Err(ResponseFailure::Ended),
    }
}

/// Reports the result of an attempt when the reporter is dropped, also if the attempt's coroutine
/// panics.
///
/// Invariant: each attempt is reported exactly once, since the dispatcher counts it as in flight
/// until then.
pub(super) struct OutcomeReporter<'a> {
    service: &'a Arc<BackendService>,
    id: AttemptId,
    /// The result; none until the attempt has ended.
    pub result: Option<AttemptResult>,
}

impl<'a> OutcomeReporter<'a> {
    pub(super) fn new(service: &'a Arc<BackendService>, id: AttemptId) -> OutcomeReporter<'a> {
        OutcomeReporter { service, id, result: None }
    }
}

impl Drop for OutcomeReporter<'_> {
    fn drop(&mut self) {
        let result = self.result.take().unwrap_or_else(|| {
            self.service.counters.panics.increment();
            Outcome::Reset.into()
        });
        self.service.dispatcher.attempt_finished(self.id, result.outcome, result.payload);
    }
}

/// Decides whether an attempt whose last byte was not written counts as a timeout or as a failed
/// connection.
///
/// Inputs: the kind of the error.
/// Reason: a backend that accepts connections but reads nothing is up. If the attempt were reported
/// as a failed connection, the backend would be ejected at once, and the next attempt would not
/// count against the retry budget.
pub(super) fn unsent_outcome(error: ErrorKind) -> Outcome {
    match error {
        ErrorKind::TimedOut => Outcome::Timeout,
        _ => Outcome::ConnectFailed,
    }
}
