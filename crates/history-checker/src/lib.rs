//! Judges histories: timed lists of what could be seen of a fleet from outside, by the rules that every proxy
//! keeps. For tests only; it does no I/O, and shares no code with the decisions that it judges.
//!
//! A [`History`] holds what consumers sent and received, what providers received and how they answered, what
//! discovery told, which figures were in force, and which processes started and ended. Of a proxy's state, actions,
//! counters and log it knows nothing. [`check`] names each [`Violation`] with its [`Reason`], whom it is about, when it
//! happened and the events at fault. A history that shows no request is an error: nothing was looked at.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod draining;
mod history;
mod policies;
mod quota;
mod repetition;
mod request_index;
mod responses;
mod slow_start;
mod violation;

pub use history::{
    Answer, Class, Effect, End, Figures, History, HistoryEvent, Node, Process, Scope, State, Time,
};
pub use policies::{check_policies, PolicyDecision};
pub use quota::check_quota;
pub use violation::{CheckError, Reason, Rule, Violation};

/// Judges a history by all rules. What it breaks, in the order of time; or why it cannot be judged.
pub fn check(history: &History) -> Result<Vec<Violation>, CheckError> {
    let index = request_index::RequestIndex::read(history)?;
    let mut violations = responses::check(history, &index)?;
    violations.extend(repetition::check(history, &index));
    violations.extend(draining::check(history));
    violations.extend(slow_start::check(history));
    violations.extend(quota::check(history));
    violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(violations)
}
