//! What a history may break, and why it may not be judged.

use crate::history::Time;
use std::fmt;

/// One of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request that is taken gets exactly one final answer in time.
    OneAnswer,
    /// No effect happens twice, nor is that risked by a refusal; calls are limited.
    NoRepeat,
    /// Nothing new goes to a node that drains, is gone, or was never listed.
    Drains,
    /// A cold node gets no more than it bears.
    Cold,
    /// What all use together is no more than there is.
    Shares,
    /// Each version of a policy is in force from one moment on everywhere.
    OneMoment,
}

/// Why a rule is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A request never had its answer.
    Lost,
    /// It had it too late.
    Late,
    /// It had more than one.
    Twice,
    /// No provider gave the value or receipt for this request.
    MadeUp,
    /// A call was made after the final answer.
    AfterTheEnd,
    /// A call was made that nobody asked for.
    Unasked,
    /// A call was made though an earlier one may have run, and the effect forbids that.
    Effect,
    /// The same, where only some providers drop repeats, and this is none of them.
    Scope,
    /// The same, after the time for which they do.
    Window,
    /// A refusal told the consumer to ask again, though a call may have run.
    Refused,
    /// Two calls of a request were out at once.
    TwoAtOnce,
    /// A request had more calls than are allowed.
    TooMany,
    /// Something new went to a node that drains.
    Draining,
    /// To one that is gone.
    Gone,
    /// To one that the proxy was never told of.
    NeverListed,
    /// A cold node was sent more than it bears.
    Overloaded,
    /// Shares added up to more than one.
    OverTheWhole,
    /// A provider had more calls before it at once than all may have there.
    TooManyAtOnce,
    /// A request was decided by a version after another one was by a later version.
    TwoVersions,
}

impl Reason {
    /// The rule that it belongs to.
    pub fn rule(self) -> Rule {
        use Reason::*;
        match self {
            Lost | Late | Twice | MadeUp | AfterTheEnd | Unasked => Rule::OneAnswer,
            Effect | Scope | Window | Refused | TwoAtOnce | TooMany => Rule::NoRepeat,
            Draining | Gone | NeverListed => Rule::Drains,
            Overloaded => Rule::Cold,
            OverTheWhole | TooManyAtOnce => Rule::Shares,
            TwoVersions => Rule::OneMoment,
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Why.
    pub reason: Reason,
    /// The request or the node that it is about.
    pub about: String,
    /// When.
    pub at: Time,
    /// The events at fault, by their place in the history.
    pub events: Vec<usize>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Violation { reason, about, at, events } = self;
        write!(f, "{:?}, {reason:?}: {about} at {at:.1} ms, events {events:?}", reason.rule())
    }
}

/// Why a history cannot be judged.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckError {
    /// Nothing was seen.
    Empty,
    /// No request was asked.
    NoRequest,
    /// An event comes before the one in front of it.
    OutOfOrder(usize),
    /// An event is about a proxy, class, request or call that was not seen before.
    Unknown(usize),
    /// An id is given twice.
    Again(usize),
    /// It ends before a request's time is over.
    Unfinished(String),
}
