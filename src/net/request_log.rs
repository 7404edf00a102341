//! The request log: one structured line for each step of a request, an attempt or a client
//! connection, with the reason for each end. The lines with the same `id` are the timeline of one
//! request. Read [`init`] first.
//!
//! The environment variable `LB_LOG` enables the log with a list of `tracing` targets: `debug` for
//! everything, or `request=debug,attempt=debug,connection=debug`. A separate thread writes the
//! lines from a bounded queue to standard error. The worker never waits for that thread; lines that
//! do not fit into the queue are dropped.

use super::attempt_id::AttemptId;
use super::backend::ResponseFailure;
use crate::interface::{GiveUpReason, Outcome, RequestId};
use std::time::Duration;
use thiserror::Error;
use tracing::debug;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};

/// The environment variable that lists the targets to log.
const VARIABLE: &str = "LB_LOG";
/// The number of lines that may be queued for writing. Further lines are dropped.
const MAX_QUEUED_LINES: usize = 4096;

/// An error that prevents the start of the request log.
#[derive(Debug, Error)]
pub enum RequestLogError {
    /// The environment variable is not a list of targets.
    #[error("{VARIABLE}: {0}")]
    Filter(#[from] tracing_subscriber::filter::ParseError),
    /// A subscriber of `tracing` was already installed.
    #[error("{VARIABLE}: {0}")]
    Init(#[from] TryInitError),
}

/// The running request log. Dropping it, at the end of the process, writes the queued lines.
pub struct RequestLog {
    _writer: WorkerGuard,
}

/// The reason why a client connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed the connection or its sending direction, or the connection broke.
    ClientGone,
    /// The client sent `quit`, or an error ended the connection.
    Finished,
    /// The connection stayed in one phase for too long.
    Overdue,
    /// The connection was idle, and connections of its kind are rarely reused.
    UnlikelyToReturn,
    /// Too many connections were in the same phase.
    OverBudget,
    /// The connection was closed to make room for others.
    Evicted,
    /// The process stops.
    Stopping,
    /// Clients are directed to other proxies.
    Disconnecting,
    /// A streamed value broke off.
    BodyBroken,
}

/// Starts the request log if the environment enables it. If it is disabled, no thread runs, and
/// each line costs one comparison of numbers.
///
/// # Errors
///
/// Returns an error if `LB_LOG` is not a list of targets, or a subscriber of `tracing` was already
/// installed.
pub fn init() -> Result<Option<RequestLog>, RequestLogError> {
    let Some(text) = std::env::var(VARIABLE).ok().filter(|text| !text.is_empty()) else { return Ok(None) };
    let targets: Targets = text.parse()?;
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer);
    tracing_subscriber::registry().with(targets).with(lines).try_init()?;
    Ok(Some(RequestLog { _writer: guard }))
}

/// Logs that a request was accepted. The lines of its attempts have the same `number`.
pub(super) fn request_accepted(number: RequestId, id: &str, class: u8, budget_ms: f64) {
    debug!(target: "request", number = number.0, id, class, budget_ms, "accepted");
}

/// Logs that a request got its final response from a backend.
pub(super) fn request_served(number: RequestId, id: &str) {
    debug!(target: "request", number = number.0, id, "served");
}

/// Logs that the final response of a request, of `length` bytes, began to stream.
pub(super) fn request_streams(number: RequestId, id: &str, length: usize) {
    debug!(target: "request", number = number.0, id, length, "streams");
}

/// Logs that a request was rejected without a response from a backend.
pub(super) fn request_rejected(number: RequestId, id: &str, reason: GiveUpReason) {
    debug!(target: "request", number = number.0, id, rejected = true, ?reason, "given up");
}

/// Logs that a request failed without a response from a backend.
pub(super) fn request_failed(number: RequestId, id: &str, reason: GiveUpReason) {
    debug!(target: "request", number = number.0, id, rejected = false, ?reason, "given up");
}

/// Logs that a request was cancelled because its client disconnected before the final response.
pub(super) fn request_cancelled(number: RequestId, id: &str) {
    debug!(target: "request", number = number.0, id, "cancelled: its client has gone");
}

/// Logs that the dispatcher's guard expired a request whose timer was lost or late.
pub(super) fn request_expired(number: RequestId, id: &str) {
    debug!(target: "request", number = number.0, id, "expired: the guard ended it");
}

/// Logs that a request failed because the process stops.
pub(super) fn request_stopped(number: RequestId, id: &str) {
    debug!(target: "request", number = number.0, id, "failed: the process stops");
}

/// Logs that a request was rejected because its value would not be whole before the process may be
/// killed.
pub(super) fn request_rejected_at_stop(number: RequestId, id: &str) {
    debug!(target: "request", number = number.0, id, "rejected: its value is too late for the stop");
}

/// Logs that an attempt was handed to the backend service.
pub(super) fn attempt_dispatched(attempt: AttemptId, id: &str, address: &str, time_left: Duration) {
    let AttemptId { request, attempt } = attempt;
    debug!(target: "attempt", number = request.0, id, attempt, address, ?time_left, "ordered");
}

/// Logs that an attempt was not sent because its write was not permitted.
pub(super) fn attempt_not_sent(attempt: AttemptId, id: &str) {
    let AttemptId { request, attempt } = attempt;
    let why = "it may not be sent any more";
    debug!(target: "attempt", number = request.0, id, attempt, why, "not sent");
}

/// Logs that an attempt was written completely.
pub(super) fn attempt_sent(attempt: AttemptId, id: &str, new_connection: bool) {
    let AttemptId { request, attempt } = attempt;
    debug!(target: "attempt", number = request.0, id, attempt, new_connection, "sent");
}

/// Logs that an attempt ended.
pub(super) fn attempt_ended(attempt: AttemptId, id: &str, outcome: Outcome, latency_ms: f64) {
    let AttemptId { request, attempt } = attempt;
    debug!(target: "attempt", number = request.0, id, attempt, ?outcome, latency_ms, "ended");
}

/// Logs why an attempt that was written has no complete response, and how many bytes of it were
/// received. Its connection is closed.
pub(super) fn response_incomplete(attempt: AttemptId, id: &str, reason: ResponseFailure, received: usize) {
    let AttemptId { request, attempt } = attempt;
    debug!(target: "attempt", number = request.0, id, attempt, ?reason, received, "response incomplete");
}

/// Logs that a client connection was accepted.
pub(super) fn connection_accepted(connection: u64) {
    debug!(target: "connection", connection, "accepted");
}

/// What a client connection left behind when it was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionRemains {
    /// The number of executed commands whose response was not written.
    pub unanswered_commands: usize,
    /// The number of bytes that were read and not executed.
    pub unexecuted_bytes: usize,
    /// The number of bytes that were discarded after the end of the connection was announced.
    pub discarded_bytes: usize,
}

/// Logs that a client connection was closed.
pub(super) fn connection_closed(connection: u64, reason: CloseReason, remains: ConnectionRemains) {
    let ConnectionRemains { unanswered_commands, unexecuted_bytes, discarded_bytes } = remains;
    debug!(
        target: "connection",
        connection,
        ?reason,
        unanswered = unanswered_commands,
        unexecuted = unexecuted_bytes,
        discarded = discarded_bytes,
        "closed"
    );
}
