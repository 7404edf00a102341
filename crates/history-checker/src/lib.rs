//! Checks histories of a fleet, recorded from outside, against the rules that every proxy keeps.
//! For tests only. The crate does no I/O, and shares no code with the decisions that it checks.
//!
//! Read [`History`] first, then [`check`]. A history contains what clients sent and received, what
//! backends received and how they responded, what discovery listed, which limits were active, and
//! which processes started and ended. A history does not contain a proxy's state, decisions,
//! counters or log. [`check`] returns each [`Violation`] with its [`Reason`], its subject, its time
//! and the events at fault. A history without a request is an error, because nothing was checked.
//!
//! Each rule has a module: `responses`, `repetition`, `draining`, `slow_start`, `quota` and
//! `policies`. The first two work on the index of requests in `request_index`.

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
    AttemptEnd, Class, DeduplicationScope, History, HistoryEvent, Idempotency, Limits, Node, NodeState,
    ProxyEnd, ResponseOutcome, Time,
};
pub use policies::{check_policies, PolicyDecision};
pub use quota::check_quota;
pub use violation::{CheckError, Reason, Rule, Violation};

/// Checks a history against all rules. Returns the violations in the order of time.
///
/// # Errors
///
/// Returns the reason for which the history cannot be checked.
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
