//! The rule that each policy version becomes active at one moment: no proxy admits a request under
//! it before that moment, or under the previous version after it. See [`check_policies`].
//!
//! It needs only what clients sent and received: the response must show which version decided the
//! request.

use crate::history::Time;
use crate::violation::{CheckError, Reason, Violation};

/// A request whose response shows the policy version that decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyDecision {
    /// When its last byte was sent.
    pub sent: Time,
    /// When its response was complete.
    pub answered: Time,
    /// The version.
    pub version: u64,
    /// The proxy that decided.
    pub proxy: String,
}

/// Checks that there is one moment for each version.
///
/// A request was admitted at some time between its sending and its response: the moment of a
/// version lies after the sending of each request under the one before, and before the response of
/// each under it. `clock_error` is how far two readings of the clock may be apart, in ms.
///
/// # Errors
///
/// There are no decisions, or one was answered before it was sent.
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
