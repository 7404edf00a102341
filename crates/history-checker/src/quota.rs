//! Checks the rules that quotas add up to at most one, and that a backend has at most as many
//! attempts in flight as all proxies together may have there. Read [`check_quota`] first.

use crate::history::{History, HistoryEvent, Time};
use crate::violation::{CheckError, Reason, Violation};
use std::collections::BTreeMap;

/// The tolerance for the rounding of quotas that are written as decimal numbers.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Checks the quotas that proxies stated, and the number of attempts that backends had in flight.
/// Unlike [`check`](crate::check), accepts a history without requests.
///
/// # Errors
///
/// Returns [`CheckError::Empty`] if the history has neither a stated quota nor an attempt limit.
pub fn check_quota(history: &History) -> Result<Vec<Violation>, CheckError> {
    let is_about_quota = |(_, seen): &(Time, HistoryEvent)| {
        matches!(seen, HistoryEvent::QuotaStated { .. } | HistoryEvent::AttemptLimitSet { .. })
    };
    if history.events.iter().any(is_about_quota) {
        Ok(check(history))
    } else {
        Err(CheckError::Empty)
    }
}

pub(crate) fn check(history: &History) -> Vec<Violation> {
    let mut violations = check_sums(history);
    violations.extend(check_in_flight(history));
    violations
}

/// A quota that a proxy stated, and the event that states it.
#[derive(Clone, Copy)]
struct StatedQuota {
    at: Time,
    fraction: f64,
    event: usize,
}

/// Checks that quotas never add up to more than the total. Proxies state their quotas at different
/// moments. A quota that one proxy gives up may go to another only after the attempts under it have
/// ended, so the largest quota that each proxy stated within that time counts.
fn check_sums(history: &History) -> Vec<Violation> {
    let mut stated: BTreeMap<&str, Vec<StatedQuota>> = BTreeMap::new();
    let mut violations = Vec::new();
    for (event, (at, seen)) in history.events.iter().enumerate() {
        let HistoryEvent::QuotaStated { proxy, fraction, longest_attempt } = seen else { continue };
        let quota = StatedQuota { at: *at, fraction: *fraction, event };
        stated.entry(proxy).or_default().push(quota);
        for quotas in stated.values_mut() {
            quotas.retain(|quota| quota.at + longest_attempt - history.clock_error > *at);
        }
        let largest: Vec<StatedQuota> = stated.values().filter_map(|quotas| largest_of(quotas)).collect();
        if largest.iter().map(|quota| quota.fraction).sum::<f64>() > 1.0 + ROUNDING_TOLERANCE {
            let mut events: Vec<usize> = largest.iter().map(|quota| quota.event).collect();
            events.sort_unstable();
            let subject = proxy.clone();
            violations.push(Violation { reason: Reason::QuotaSumExceeded, subject, at: *at, events });
        }
    }
    violations
}

fn largest_of(quotas: &[StatedQuota]) -> Option<StatedQuota> {
    quotas.iter().copied().max_by(|a, b| a.fraction.total_cmp(&b.fraction))
}

/// The backend of an attempt that is in flight, and the event of its arrival there.
struct InFlight<'a> {
    address: &'a str,
    event: usize,
}

fn check_in_flight(history: &History) -> Vec<Violation> {
    let mut limits: BTreeMap<&str, usize> = BTreeMap::new();
    let mut in_flight: BTreeMap<u64, InFlight> = BTreeMap::new();
    let mut violations = Vec::new();
    for (event, (at, seen)) in history.events.iter().enumerate() {
        match seen {
            HistoryEvent::AttemptLimitSet { address, limit } => {
                limits.insert(address, *limit);
            }
            HistoryEvent::AttemptEnded { attempt, .. } => {
                in_flight.remove(attempt);
            }
            HistoryEvent::AttemptReceived { attempt, address, .. } => {
                in_flight.insert(*attempt, InFlight { address, event });
                let here = in_flight.values().filter(|attempt| attempt.address == address);
                let mut events: Vec<usize> = here.map(|attempt| attempt.event).collect();
                if limits.get(address.as_str()).is_some_and(|limit| events.len() > *limit) {
                    events.sort_unstable();
                    let subject = address.clone();
                    let reason = Reason::AttemptLimitExceeded;
                    violations.push(Violation { reason, subject, at: *at, events });
                }
            }
            _ => {}
        }
    }
    violations
}

#[cfg(test)]
mod tests;
