//! Shares add up to one at the most, and calls in flight to what all may have together.

use crate::history::{History, HistoryEvent, Time};
use crate::violation::{CheckError, Reason, Violation};
use std::collections::BTreeMap;

/// Rounding of what is said as a decimal number.
const ROUNDING: f64 = 1e-6;

/// What proxies said of their shares, and what nodes had before them at once. It needs no requests, but something must have
/// been seen of one or the other.
pub fn check_quota(history: &History) -> Result<Vec<Violation>, CheckError> {
    let is_seen = |(_, seen): &(Time, HistoryEvent)| {
        matches!(seen, HistoryEvent::Share { .. } | HistoryEvent::Bound { .. })
    };
    if history.events.iter().any(is_seen) {
        Ok(check(history))
    } else {
        Err(CheckError::Empty)
    }
}

pub(crate) fn check(history: &History) -> Vec<Violation> {
    let mut breaches = sums(history);
    breaches.extend(in_flight(history));
    breaches
}

/// Doors are not asked at one moment. What one proxy gives up another may have only once calls that began under it have
/// ended: within that time the most that each said must add up.
fn sums(history: &History) -> Vec<Violation> {
    let mut said: BTreeMap<&str, Vec<(Time, f64, usize)>> = BTreeMap::new();
    let mut breaches = Vec::new();
    for (event, (at, seen)) in history.events.iter().enumerate() {
        let HistoryEvent::Share { proxy, part, calls } = seen else { continue };
        said.entry(proxy).or_default().push((*at, *part, event));
        for all in said.values_mut() {
            all.retain(|(then, ..)| then + calls - history.clock_error > *at);
        }
        let most = said.values().filter_map(|all| all.iter().copied().max_by(|a, b| a.1.total_cmp(&b.1)));
        let most: Vec<(Time, f64, usize)> = most.collect();
        if most.iter().map(|one| one.1).sum::<f64>() > 1.0 + ROUNDING {
            let mut events: Vec<usize> = most.iter().map(|one| one.2).collect();
            events.sort_unstable();
            breaches.push(Violation { reason: Reason::OverTheWhole, about: proxy.clone(), at: *at, events });
        }
    }
    breaches
}

fn in_flight(history: &History) -> Vec<Violation> {
    let mut bounds: BTreeMap<&str, usize> = BTreeMap::new();
    let mut calls: BTreeMap<u64, (&str, usize)> = BTreeMap::new();
    let mut breaches = Vec::new();
    for (event, (at, seen)) in history.events.iter().enumerate() {
        match seen {
            HistoryEvent::Bound { place, calls } => drop(bounds.insert(place, *calls)),
            HistoryEvent::Closed { call, .. } => drop(calls.remove(call)),
            HistoryEvent::Received { call, place, .. } => {
                calls.insert(*call, (place, event));
                let here = calls.values().filter(|(there, _)| *there == place).map(|(_, event)| *event);
                let mut events: Vec<usize> = here.collect();
                if bounds.get(place.as_str()).is_some_and(|bound| events.len() > *bound) {
                    events.sort_unstable();
                    breaches.push(Violation {
                        reason: Reason::TooManyAtOnce,
                        about: place.clone(),
                        at: *at,
                        events,
                    });
                }
            }
            _ => {}
        }
    }
    breaches
}

#[cfg(test)]
mod tests;
