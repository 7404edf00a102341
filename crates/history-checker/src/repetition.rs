//! Checks the rule that no effect happens twice: which attempts and which rejections a request may
//! have after its earlier attempts. Read [`check`] first.

use crate::history::{DeduplicationScope, History, HistoryEvent, Idempotency, Node, ResponseOutcome, Time};
use crate::request_index::{Attempt, Request, RequestIndex};
use crate::violation::{Reason, Violation};
use std::collections::BTreeMap;

/// Checks the attempts and rejections of all requests.
pub(crate) fn check(history: &History, index: &RequestIndex) -> Vec<Violation> {
    let nodes = nodes_by_address(history);
    let mut violations = Vec::new();
    for (id, request) in &index.requests {
        let mut checker = RequestChecker {
            id,
            request,
            clock_error: history.clock_error,
            nodes: &nodes,
            violations: &mut violations,
        };
        checker.check_attempts();
        checker.check_rejections();
    }
    violations
}

struct RequestChecker<'a> {
    id: &'a str,
    request: &'a Request<'a>,
    clock_error: Time,
    nodes: &'a BTreeMap<&'a str, &'a Node>,
    violations: &'a mut Vec<Violation>,
}

impl RequestChecker<'_> {
    fn check_attempts(&mut self) {
        let request = self.request;
        for (number, attempt) in request.attempts.iter().enumerate() {
            let earlier = &request.attempts[..number];
            if number >= request.limits.max_attempts {
                let events = vec![request.sent.event, attempt.event];
                self.report(Reason::TooManyAttempts, attempt.began_at, events);
            }
            if !request.limits.allows_hedging {
                self.check_in_flight(earlier, attempt);
            }
            self.check_repeat(earlier, attempt);
        }
    }

    /// Checks that no earlier attempt is in flight.
    fn check_in_flight(&mut self, earlier: &[Attempt], attempt: &Attempt) {
        let latest_end = attempt.began_at + self.clock_error;
        let is_in_flight = |other: &&Attempt| other.end.as_ref().is_none_or(|end| end.at > latest_end);
        if let Some(other) = earlier.iter().find(is_in_flight) {
            let events = vec![other.event, attempt.event];
            self.report(Reason::ConcurrentAttempts, attempt.began_at, events);
        }
    }

    /// Checks that an attempt does not repeat the effect of any earlier attempt that may have run.
    /// With an idempotency key, the attempt must be within the deduplication scope and window of
    /// each of them.
    fn check_repeat(&mut self, earlier: &[Attempt], attempt: &Attempt) {
        let known_at = attempt.began_at + self.clock_error;
        for ran in earlier.iter().filter(|earlier| earlier.may_have_run(known_at)) {
            if let Some(reason) = self.repeat_violation(ran, attempt) {
                self.report(reason, attempt.began_at, vec![ran.event, attempt.event]);
                return;
            }
        }
    }

    /// Checks the promise of a rejection that a retry does no harm.
    fn check_rejections(&mut self) {
        let request = self.request;
        for response in &request.responses {
            if *response.outcome != ResponseOutcome::Rejected {
                continue;
            }
            let at = response.received.at;
            let may_have_run = |attempt: &&Attempt| attempt.began_at <= at && attempt.may_have_run(at);
            let mut ran = request.attempts.iter().filter(may_have_run);
            if let Some(harmful) = ran.find(|ran| !self.may_reject_after(ran, at)) {
                let events = vec![harmful.event, response.received.event];
                self.report(Reason::UnsafeRejection, at, events);
            }
        }
    }

    fn may_reject_after(&self, ran: &Attempt, at: Time) -> bool {
        let class = &self.request.class;
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Keyed => {
                let is_in_window = at - ran.began_at <= class.window + self.clock_error;
                class.scope == DeduplicationScope::All && is_in_window
            }
        }
    }

    /// Returns the reason for which an attempt could repeat the effect of an earlier attempt that
    /// may have run; none if the effect cannot be repeated.
    fn repeat_violation(&self, ran: &Attempt, attempt: &Attempt) -> Option<Reason> {
        let class = &self.request.class;
        let elapsed = attempt.began_at - ran.began_at;
        match class.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NotIdempotent => Some(Reason::RepeatedEffect),
            Idempotency::Keyed if !self.share_a_group(ran, attempt) => Some(Reason::OutsideScope),
            Idempotency::Keyed if elapsed > class.window + self.clock_error => Some(Reason::OutsideWindow),
            Idempotency::Keyed => None,
        }
    }

    /// Whether the backends of two attempts are in one deduplication scope, in which each drops the
    /// repeats of requests that the other has run.
    fn share_a_group(&self, a: &Attempt, b: &Attempt) -> bool {
        let scope = self.request.class.scope;
        if scope == DeduplicationScope::All {
            return true;
        }
        let (Some(a), Some(b)) = (self.nodes.get(a.address), self.nodes.get(b.address)) else {
            return false;
        };
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => a.zone == b.zone,
            DeduplicationScope::Cell => a.cell == b.cell,
        }
    }

    fn report(&mut self, reason: Reason, at: Time, events: Vec<usize>) {
        self.violations.push(Violation { reason, subject: self.id.to_owned(), at, events });
    }
}

/// Returns the nodes by their addresses, each as it was listed last.
fn nodes_by_address(history: &History) -> BTreeMap<&str, &Node> {
    let lists = history.events.iter().filter_map(|(_, seen)| match seen {
        HistoryEvent::EndpointsListed { nodes, .. } => Some(nodes),
        _ => None,
    });
    lists.flatten().map(|node| (node.address.as_str(), node)).collect()
}
