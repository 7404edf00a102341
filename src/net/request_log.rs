//! The request log: one structured line for each step of a request, an attempt and a client
//! connection, with the reason of each end. The lines with one `id` are a request's timeline. Read
//! [`init`] first.
//!
//! The environment variable `LB_LOG` enables it with `tracing`'s targets: `debug` for everything,
//! or `request=debug,attempt=debug,connection=debug`. A thread writes the lines to standard error
//! from a bounded queue. The worker never waits for it, and lines beyond the queue are dropped.

use super::attempt_id::AttemptId;
use crate::interface::{GiveUpReason, Outcome, RequestId};
use std::time::Duration;
use thiserror::Error;
use tracing::debug;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};

/// The environment variable with the targets to log.
const VARIABLE: &str = "LB_LOG";
/// The number of lines that may wait to be written. Further lines are dropped.
const MAX_QUEUED_LINES: usize = 4096;

/// Why the request log cannot start.
#[derive(Debug, Error)]
pub enum RequestLogError {
    /// The variable is not a list of targets.
    #[error("{VARIABLE}: {0}")]
    Filter(#[from] tracing_subscriber::filter::ParseError),
    /// Another log was started before.
    #[error("{VARIABLE}: {0}")]
    Init(#[from] TryInitError),
}

/// The running log. It writes the queued lines when it is dropped, at the end of the process.
pub struct RequestLog {
    _writer: WorkerGuard,
}

/// Why a client connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, or its sending direction, or it broke.
    ClientGone,
    /// The client sent `quit`, or an error ended it.
    Finished,
    /// It was in one phase for too long.
    Overdue,
    /// It was idle, and connections of its kind are rarely reused.
    UnlikelyToReturn,
    /// Too many connections were in its phase.
    OverBudget,
    /// It was closed to make room for others.
    Evicted,
    /// The process stops.
    Stopping,
    /// Clients are directed to other proxies.
    Disconnecting,
    /// A streamed value broke off.
    BodyBroken,
}

/// Starts the log if the environment enables it. Otherwise there is no thread, and a line costs the
/// comparison of one number.
///
/// # Errors
///
/// If the variable is not a list of targets.
pub fn init() -> Result<Option<RequestLog>, RequestLogError> {
    let Some(text) = std::env::var(VARIABLE).ok().filter(|text| !text.is_empty()) else { return Ok(None) };
    let targets: Targets = text.parse()?;
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer);
    tracing_subscriber::registry().with(targets).with(lines).try_init()?;
    Ok(Some(RequestLog { _writer: guard }))
}

/// A request was accepted. Lines of its attempts have the same `number`.
pub(super) fn request_accepted(number: RequestId, id: &str, class: u8, budget_ms: f64) {
    debug!(target: "request", number = number.0, id, class, budget_ms, "accepted");
}

/// A request got its final response from a backend.
pub(super) fn request_served(number: RequestId, id: &str) {
    debug!(target: "request", number = number.0, id, "served");
}

/// The final response of a request began to stream.
pub(super) fn request_streams(number: RequestId, id: &str, length: usize) {
    debug!(target: "request", number = number.0, id, length, "streams");
}

/// A request was rejected without a response of a backend.
pub(super) fn request_rejected(number: RequestId, id: &str, reason: GiveUpReason) {
    debug!(target: "request", number = number.0, id, rejected = true, ?reason, "given up");
}

/// A request failed without a response of a backend.
pub(super) fn request_failed(number: RequestId, id: &str, reason: GiveUpReason) {
    debug!(target: "request", number = number.0, id, rejected = false, ?reason, "given up");
}

/// A client disconnected before the final response.
pub(super) fn request_cancelled(number: RequestId, id: &str) {
    debug!(target: "request", number = number.0, id, "cancelled: its client has gone");
}

/// The guard expired a request.
pub(super) fn request_expired(number: RequestId, id: &str) {
    debug!(target: "request", number = number.0, id, "expired: the guard ended it");
}

/// A request failed because the process stops.
pub(super) fn request_stopped(number: RequestId, id: &str) {
    debug!(target: "request", number = number.0, id, "failed: the process stops");
}

/// An attempt was handed to the backend service.
pub(super) fn attempt_dispatched(attempt: AttemptId, id: &str, address: &str, time_left: Duration) {
    let AttemptId { request, attempt } = attempt;
    debug!(target: "attempt", number = request.0, id, attempt, address, ?time_left, "ordered");
}

/// An attempt was not sent, since its write was not permitted.
pub(super) fn attempt_not_sent(attempt: AttemptId, id: &str) {
    let AttemptId { request, attempt } = attempt;
    let why = "it may not be sent any more";
    debug!(target: "attempt", number = request.0, id, attempt, why, "not sent");
}

/// An attempt was written completely.
pub(super) fn attempt_sent(attempt: AttemptId, id: &str, new_connection: bool) {
    let AttemptId { request, attempt } = attempt;
    debug!(target: "attempt", number = request.0, id, attempt, new_connection, "sent");
}

/// An attempt has ended.
pub(super) fn attempt_ended(attempt: AttemptId, id: &str, outcome: Outcome, latency_ms: f64) {
    let AttemptId { request, attempt } = attempt;
    debug!(target: "attempt", number = request.0, id, attempt, ?outcome, latency_ms, "ended");
}

/// A client connection was accepted.
pub(super) fn connection_accepted(connection: u64) {
    debug!(target: "connection", connection, "accepted");
}

/// A client connection was closed, with the number of commands without a written response, and the
/// number of bytes that were discarded after its end was announced.
pub(super) fn connection_closed(connection: u64, reason: CloseReason, unanswered: usize, discarded: usize) {
    debug!(target: "connection", connection, ?reason, unanswered, discarded, "closed");
}
