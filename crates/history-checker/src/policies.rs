//! Checks the rule that each policy version becomes active at one moment: no proxy admits a request
//! under the version before that moment, or under the previous version after it. Read
//! [`check_policies`] first.
//!
//! The check needs only what clients sent and received, provided that each response shows which
//! version decided the request.

use crate::history::Time;
use crate::violation::{CheckError, Reason, Violation};

/// A request whose response shows the policy version that decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyDecision {
    /// When the last byte of the request was sent, in ms.
    pub sent: Time,
    /// When the response was complete, in ms.
    pub answered: Time,
    /// The policy version that decided the request.
    pub version: u64,
    /// The name of the proxy that decided the request.
    pub proxy: String,
}

/// Checks that there is one moment at which each version can have become active.
///
/// A request was admitted at some time between its sending and its response. Therefore the moment
/// of a version lies after the sending of each request under the previous version, and before the
/// response to each request under the version itself. `clock_error` is the largest error between
/// two readings of the clock, in ms.
///
/// # Errors
///
/// Returns [`CheckError::Empty`] if there are no decisions, and [`CheckError::OutOfOrder`] if a
/// request was answered before it was sent.
pub fn check_policies(decisions: &[PolicyDecision], clock_error: Time) -> Result<Vec<Violation>, CheckError> {
    if decisions.is_empty() {
        return Err(CheckError::Empty);
    }
    if let Some(index) = decisions.iter().position(|one| one.answered < one.sent) {
        return Err(CheckError::OutOfOrder(index));
    }
    let mut violations = Vec::new();
    for (event, decision) in decisions.iter().enumerate() {
        let newer = decisions.iter().enumerate().filter(|(_, one)| one.version > decision.version);
        let first = newer.min_by(|a, b| a.1.answered.total_cmp(&b.1.answered));
        let Some((first_event, first)) = first else { continue };
        if first.answered + clock_error < decision.sent {
            violations.push(Violation {
                reason: Reason::VersionOverlap,
                subject: format!(
                    "version {} at {}, {} at {}",
                    decision.version, decision.proxy, first.version, first.proxy
                ),
                at: decision.sent,
                events: vec![first_event, event],
            });
        }
    }
    Ok(violations)
}

#[cfg(test)]
mod tests;
