//! Violations of the rules ([`Violation`]), and why a history cannot be checked ([`CheckError`]).

use crate::history::Time;
use std::fmt;
use thiserror::Error;

/// One of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request that a proxy accepts has exactly one final response, in time.
    OneResponse,
    /// No effect happens twice, nor does a rejection risk that; attempts are limited.
    NoRepeatedEffect,
    /// No new attempt goes to a node that is draining, has left, or was never listed.
    Draining,
    /// A node that is warming up gets no more work than it can take.
    SlowStart,
    /// The quotas of all proxies never add up to more than the total.
    Quota,
    /// Each policy version becomes active at one moment everywhere.
    PolicyActivation,
}

/// How a rule is violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A request never had its response.
    MissingResponse,
    /// Its response came too late.
    LateResponse,
    /// It had more than one response.
    DuplicateResponse,
    /// No backend gave the value or receipt for this request.
    FabricatedResponse,
    /// An attempt was made after the final response.
    AttemptAfterResponse,
    /// An attempt was made for which there was no request.
    AttemptWithoutRequest,
    /// An attempt was made though an earlier one may have run, and the effect forbids that.
    RepeatedEffect,
    /// The same, at a backend outside the group that drops repeats.
    OutsideScope,
    /// The same, after the deduplication window.
    OutsideWindow,
    /// The request was rejected, which promises that a retry is harmless, though an attempt may
    /// have run.
    UnsafeRejection,
    /// Two attempts of a request were in flight at once.
    ConcurrentAttempts,
    /// A request had more attempts than are allowed.
    TooManyAttempts,
    /// A new attempt went to a node that is draining.
    Draining,
    /// A new attempt went to a node that has left.
    Gone,
    /// An attempt went to a node that was never listed to the proxy.
    NeverListed,
    /// A node that is warming up was sent more work than it can take.
    Overloaded,
    /// Quotas added up to more than one.
    QuotaSumExceeded,
    /// A backend had more attempts at once than all proxies together may make.
    AttemptLimitExceeded,
    /// A request was decided by a version after another one was decided by a later version.
    VersionOverlap,
}

impl Reason {
    /// The rule that it violates.
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
    /// How the rule is violated.
    pub reason: Reason,
    /// The request, the node's address, the proxy or the versions that it is about.
    pub subject: String,
    /// When it happened, in ms.
    pub at: Time,
    /// The events at fault, by their indices in the history.
    pub events: Vec<usize>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Violation { reason, subject, at, events } = self;
        write!(f, "{:?}, {reason:?}: {subject} at {at:.1} ms, events {events:?}", reason.rule())
    }
}

/// Why a history cannot be checked. Events are given by their indices.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CheckError {
    /// The history has no event.
    #[error("the history is empty")]
    Empty,
    /// No client sent a request.
    #[error("the history has no request")]
    NoRequest,
    /// An event is earlier than the one before it.
    #[error("event {0} is earlier than the one before it")]
    OutOfOrder(usize),
    /// An event is about a proxy, class, request or attempt that was not seen before.
    #[error("event {0} is about something that was not seen before")]
    UnknownSubject(usize),
    /// An event uses an id again.
    #[error("event {0} uses an id again")]
    DuplicateId(usize),
    /// The history ends before the response of this request is due.
    #[error("the history ends before the response of request {0} is due")]
    Unfinished(String),
}
