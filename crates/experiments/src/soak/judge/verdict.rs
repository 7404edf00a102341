//! The result of a soak: [`Verdict`], and the rules that its violations name.

use std::time::Duration;

/// A rule of the soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::soak) enum Rule {
    /// A request has no final response, or one that comes so late that it counts as missing.
    Unanswered,
    /// The final response to a request with a long timeout is late.
    Late,
    /// A connection was closed without a response to a request that had reached a backend, or that
    /// was the first on the connection.
    ClosedUnanswered,
    /// A response has a value that no backend returned for this request.
    UnknownValue,
    /// An attempt began after the client had disconnected.
    AfterDisconnect,
    /// An attempt began after the final response.
    AfterResponse,
    /// The budget of an attempt was longer than the time that the client still waited.
    BudgetTooLong,
    /// Two attempts of a request ran at once.
    ConcurrentAttempts,
    /// A request that is not idempotent was repeated although an earlier attempt may have run.
    UnsafeRepeat,
    /// A request with an idempotency key was repeated after the deduplication window although an
    /// earlier attempt may have run.
    RepeatAfterWindow,
    /// A request that is not idempotent was rejected although an attempt may have run.
    RejectedAfterRun,
    /// A backend got an attempt too long after it was listed as draining.
    Draining,
    /// A response that a backend was still sending was cut off, although its time was not over.
    CutOff,
    /// A long value was cut off because its process ended after SIGTERM, or because SIGKILL found it
    /// incomplete although its request was sent late in a drain.
    CutOffAtExit,
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub(in crate::soak) struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// The request's id.
    pub request: String,
    /// All that is known of the request in the order of time, a line each.
    pub timeline: String,
}

/// A late final response to a request with a short timeout that no stop of the proxy explains.
#[derive(Clone, Debug)]
pub(in crate::soak) struct LateResponse {
    /// The request's id.
    pub request: String,
    /// All that is known of the request in the order of time, a line each.
    pub timeline: String,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub(in crate::soak) struct Verdict {
    /// The number of requests that were sent.
    pub requests: usize,
    /// The number of requests that were served.
    pub served: usize,
    /// The number of late final responses to requests with short timeouts.
    pub late_after_short_timeouts: usize,
    /// The late final responses to requests with short timeouts that no stop of the proxy explains.
    pub unexplained_late: Vec<LateResponse>,
    /// The longest time between the arrival of an attempt and its read by a backend of this
    /// program.
    pub longest_read_delay: Duration,
    /// The violations of rules.
    pub violations: Vec<Violation>,
}
