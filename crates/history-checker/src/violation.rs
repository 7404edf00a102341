//! The results of a check: violations of the rules ([`Violation`]), or the reason for which a
//! history cannot be checked ([`CheckError`]).

use crate::history::Time;
use std::fmt;
use thiserror::Error;

/// A rule that every proxy keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request that a proxy accepts has exactly one final response, in time.
    OneResponse,
    /// No effect happens twice, no rejection invites a retry that could repeat an effect, and the
    /// attempts of a request are limited.
    NoRepeatedEffect,
    /// No new attempt goes to a node that is draining, has left, or was never listed.
    Draining,
    /// A node that is warming up gets no more work than its present capacity allows.
    SlowStart,
    /// The quotas of all proxies never add up to more than the total.
    Quota,
    /// Each policy version becomes active at one moment everywhere.
    PolicyActivation,
}

/// The kind of a violation, from which the violated rule follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A request never had its response.
    MissingResponse,
    /// The response to a request came after its deadline.
    LateResponse,
    /// A request had more than one response.
    DuplicateResponse,
    /// A response has a value or receipt that no backend gave for the request.
    FabricatedResponse,
    /// An attempt was made after the final response.
    AttemptAfterResponse,
    /// An attempt was made for which there was no request.
    AttemptWithoutRequest,
    /// An attempt of a request that may run only once was made though an earlier attempt may have
    /// run.
    RepeatedEffect,
    /// An attempt with an idempotency key went to a backend outside the group that drops repeats,
    /// though an earlier attempt may have run.
    OutsideScope,
    /// An attempt with an idempotency key was made after the deduplication window of an earlier
    /// attempt that may have run.
    OutsideWindow,
    /// A request was rejected, which promises that a retry is harmless, though an attempt may have
    /// run and a retry could repeat its effect.
    UnsafeRejection,
    /// Two attempts of a request were in flight at once.
    ConcurrentAttempts,
    /// A request had more attempts than the configuration allows.
    TooManyAttempts,
    /// A new attempt went to a node that is draining.
    Draining,
    /// A new attempt went to a node that has left.
    Gone,
    /// An attempt went to a node that was never listed to the proxy.
    NeverListed,
    /// A node that is warming up was sent more work than its present capacity allows.
    Overloaded,
    /// The quotas of all proxies added up to more than the total.
    QuotaSumExceeded,
    /// A backend had more attempts in flight than all proxies together may have there.
    AttemptLimitExceeded,
    /// A request was decided by a policy version after another request was decided by a later
    /// version.
    VersionOverlap,
}

impl Reason {
    /// Returns the rule that is violated.
    pub fn rule(self) -> Rule {
        use Reason::*;
        match self {
            MissingResponse
            | LateResponse
            | DuplicateResponse
            | FabricatedResponse
            | AttemptAfterResponse
            | AttemptWithoutRequest => Rule::OneResponse,
            RepeatedEffect | OutsideScope | OutsideWindow | UnsafeRejection | ConcurrentAttempts
            | TooManyAttempts => Rule::NoRepeatedEffect,
            Draining | Gone | NeverListed => Rule::Draining,
            Overloaded => Rule::SlowStart,
            QuotaSumExceeded | AttemptLimitExceeded => Rule::Quota,
            VersionOverlap => Rule::PolicyActivation,
        }
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The kind of the violation.
    pub reason: Reason,
    /// The request, the node's address, the proxy or the policy versions at fault.
    pub subject: String,
    /// When the rule was violated, in ms.
    pub at: Time,
    /// The indices of the events at fault in the history.
    pub events: Vec<usize>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Violation { reason, subject, at, events } = self;
        write!(f, "{:?}, {reason:?}: {subject} at {at:.1} ms, events {events:?}", reason.rule())
    }
}

/// The reason for which a history cannot be checked. Events are given by their indices.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CheckError {
    /// The history has no event, or none that the check needs.
    #[error("the history has no event to check")]
    Empty,
    /// The history has events, but no client sent a request.
    #[error("the history has no request")]
    NoRequest,
    /// An event is earlier than the event before it, or a policy decision was answered before its
    /// request was sent.
    #[error("event {0} is earlier than the event before it, or answered before its request was sent")]
    OutOfOrder(usize),
    /// An event names a proxy, class, request or attempt that no earlier event introduced.
    #[error("event {0} names a proxy, class, request or attempt that no earlier event introduced")]
    UnknownSubject(usize),
    /// An event uses the id of an earlier request or attempt.
    #[error("event {0} uses the id of an earlier request or attempt")]
    DuplicateId(usize),
    /// The history ends before the response to this request is due.
    #[error("the history ends before the response to request {0} is due")]
    Unfinished(String),
}
