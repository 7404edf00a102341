//! One moment for each version: before it nobody admits a request under it, after it nobody does under the one before. From
//! what clients asked and were answered alone: which version decided a request must show in its answer.

use crate::history::Time;
use crate::violation::{CheckError, Reason, Violation};

/// A request whose answer shows the version by which it was decided.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyDecision {
    /// When its last byte was sent.
    pub sent: Time,
    /// When its answer was whole.
    pub answered: Time,
    /// The version.
    pub version: u64,
    /// By which proxy.
    pub proxy: String,
}

/// Whether there is one moment for each version. A request was admitted at some time between its sending and its answer: the moment of a
/// version lies after the sending of each request under the one before, and before the answer of each under it. `clock_error` is how far two
/// readings of the clock may be apart.
pub fn check_policies(decided: &[PolicyDecision], clock_error: Time) -> Result<Vec<Violation>, CheckError> {
    if decided.is_empty() {
        return Err(CheckError::Empty);
    }
    if let Some(at) = decided.iter().position(|one| one.answered < one.sent) {
        return Err(CheckError::OutOfOrder(at));
    }
    let mut breaches = Vec::new();
    for (event, late) in decided.iter().enumerate() {
        let newer = decided.iter().enumerate().filter(|(_, one)| one.version > late.version);
        let first = newer.min_by(|a, b| a.1.answered.total_cmp(&b.1.answered));
        if let Some((other, first)) = first.filter(|(_, first)| first.answered + clock_error < late.sent) {
            breaches.push(Violation {
                reason: Reason::TwoVersions,
                about: format!(
                    "version {} at {}, {} at {}",
                    late.version, late.proxy, first.version, first.proxy
                ),
                at: late.sent,
                events: vec![other, event],
            });
        }
    }
    Ok(breaches)
}

#[cfg(test)]
mod tests;
