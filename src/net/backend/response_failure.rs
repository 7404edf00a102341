//! [`ResponseFailure`]: the reason why an attempt that was written ends without a complete response.

use super::response::AttemptResult;
use super::BackendService;
use crate::interface::Outcome;
use crate::net::dispatcher::AttemptRequest;
use crate::net::request_log;

/// The reason why an attempt that was written ends without a complete response. The connection is
/// closed then. Operators read the variants' names in the request log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) enum ResponseFailure {
    /// The bytes are not a response to this request.
    Malformed,
    /// The response was not complete by the attempt's deadline.
    Late,
    /// A value that streams paused for too long.
    Stalled,
    /// The backend ended the connection within the response, or before it.
    Ended,
    /// The value is longer than the memory for values.
    TooLong,
    /// The memory for values is used up, and another value waits for it already.
    NoMemory,
    /// The request no longer waits for its response.
    NotAwaited,
}

impl ResponseFailure {
    /// Decides the outcome of an attempt whose response is not complete. The request may have run
    /// after each of them.
    ///
    /// Inputs: the reason.
    /// Reason: only a backend at fault counts as such.
    fn outcome(self) -> Outcome {
        match self {
            ResponseFailure::Malformed => Outcome::Error,
            ResponseFailure::Late => Outcome::Timeout,
            ResponseFailure::Stalled | ResponseFailure::Ended => Outcome::Reset,
            ResponseFailure::TooLong | ResponseFailure::NoMemory | ResponseFailure::NotAwaited => {
                Outcome::Cancelled
            }
        }
    }
}

impl BackendService {
    /// Ends an attempt without a complete response, after `received` bytes of it: counts and logs
    /// the reason.
    pub(super) fn end_without_response(
        &self,
        attempt: &AttemptRequest,
        failure: ResponseFailure,
        received: usize,
    ) -> AttemptResult {
        if failure == ResponseFailure::Malformed {
            self.counters.responses_malformed.increment();
        }
        request_log::response_incomplete(attempt.id, &attempt.request.opaque, failure, received);
        failure.outcome().into()
    }
}
