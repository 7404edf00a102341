//! Checks the rule that each request has exactly one final response, in time, with a value that a
//! backend gave. Read [`check`] first.

use crate::history::{AttemptEnd, History, ResponseOutcome, Time};
use crate::request_index::{Request, RequestIndex, Response};
use crate::violation::{CheckError, Reason, Violation};

/// Checks the responses of all requests.
///
/// # Errors
///
/// Returns [`CheckError::Unfinished`] if the history ends before the response to a request is due.
pub(crate) fn check(history: &History, index: &RequestIndex) -> Result<Vec<Violation>, CheckError> {
    let mut violations = Vec::new();
    for (id, request) in &index.requests {
        let mut checker = RequestChecker { id, request, history, violations: &mut violations };
        checker.check()?;
    }
    for stray in &index.stray_attempts {
        violations.push(Violation {
            reason: Reason::AttemptWithoutRequest,
            subject: stray.request.to_owned(),
            at: stray.received.at,
            events: vec![stray.received.event],
        });
    }
    Ok(violations)
}

struct RequestChecker<'a> {
    id: &'a str,
    request: &'a Request<'a>,
    history: &'a History,
    violations: &'a mut Vec<Violation>,
}

impl RequestChecker<'_> {
    fn check(&mut self) -> Result<(), CheckError> {
        match self.request.responses.as_slice() {
            [] => self.check_missing(),
            [first, repeated @ ..] => {
                self.check_first(first);
                self.check_afterwards(first, repeated);
                Ok(())
            }
        }
    }

    /// Returns the latest time at which a response is still in time.
    fn due(&self) -> Time {
        let Request { sent, budget, limits, .. } = self.request;
        sent.at + budget + limits.response_slack + self.history.clock_error
    }

    /// Checks whether a response was due to a request that has none.
    fn check_missing(&mut self) -> Result<(), CheckError> {
        let due = self.due();
        let is_excused = self.request.excused.is_some_and(|at| at <= due);
        if self.request.body_began.is_some() || is_excused {
            return Ok(());
        }
        let sent = self.request.sent.event;
        if let Some(exited) = self.request.proxy_exited {
            self.report(Reason::MissingResponse, exited.at, vec![sent, exited.event]);
            return Ok(());
        }
        let end = self.history.events.last().map_or(0.0, |event| event.0);
        if end <= due {
            return Err(CheckError::Unfinished(self.id.to_owned()));
        }
        self.report(Reason::MissingResponse, due, vec![sent]);
        Ok(())
    }

    fn check_first(&mut self, response: &Response) {
        let received = response.received;
        let events = vec![self.request.sent.event, received.event];
        // A request has no deadline once the body of its response has begun.
        if self.request.body_began.unwrap_or(received.at) > self.due() {
            self.report(Reason::LateResponse, received.at, events.clone());
        }
        if !is_from_backend(self.request, response.outcome) {
            self.report(Reason::FabricatedResponse, received.at, events);
        }
    }

    /// Checks that neither another response nor a new attempt follows the final response.
    fn check_afterwards(&mut self, first: &Response, repeated: &[Response]) {
        let first = first.received;
        for Response { received, .. } in repeated {
            self.report(Reason::DuplicateResponse, received.at, vec![first.event, received.event]);
        }
        let request = self.request;
        let end = first.at + self.history.clock_error;
        for attempt in request.attempts.iter().filter(|attempt| attempt.began_at > end) {
            let events = vec![first.event, attempt.event];
            self.report(Reason::AttemptAfterResponse, attempt.began_at, events);
        }
    }

    fn report(&mut self, reason: Reason, at: Time, events: Vec<usize>) {
        self.violations.push(Violation { reason, subject: self.id.to_owned(), at, events });
    }
}

/// Whether a served value came from a backend in response to an attempt of this request.
fn is_from_backend(request: &Request, outcome: &ResponseOutcome) -> bool {
    let ResponseOutcome::Served(value) = outcome else { return true };
    request.attempts.iter().any(|attempt| {
        let end = attempt.end.as_ref().map(|end| end.end);
        matches!(end, Some(AttemptEnd::Served(given)) if given == value)
    })
}
