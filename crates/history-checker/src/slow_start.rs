//! A cold node is sent no more than it bears, by all proxies together, over any span of the stated length.

use crate::history::{Figures, History, HistoryEvent, Time};
use crate::violation::{Reason, Violation};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Of what a node is sent beyond its budget, so much must come from proxies that were told of its start.
const TOLD_SHARE: f64 = 2.0 / 3.0;

/// A process of a node, and what it was sent within the last span.
struct Process {
    started: Time,
    capacity: f64,
    /// Event, time, work, and whether the sender knew of the start.
    sent: VecDeque<(usize, Time, f64, bool)>,
}

pub(crate) fn check(history: &History) -> Vec<Violation> {
    let mut figures: Option<&Figures> = None;
    let mut processes: BTreeMap<&str, Process> = BTreeMap::new();
    let mut knows: BTreeSet<(&str, &str)> = BTreeSet::new();
    let mut breaches = Vec::new();
    for (event, (at, seen)) in history.events.iter().enumerate() {
        match seen {
            HistoryEvent::InForce { figures: newer, .. } => figures = Some(newer),
            HistoryEvent::Started { place, capacity } => {
                knows.retain(|(_, known)| known != place);
                let process = Process { started: *at, capacity: *capacity, sent: VecDeque::new() };
                processes.insert(place, process);
            }
            HistoryEvent::Told { proxy, nodes, .. } => {
                let new = nodes.iter().filter(|node| {
                    processes
                        .get(node.place.as_str())
                        .is_some_and(|of| node.started >= of.started - history.clock_error)
                });
                knows.extend(new.map(|node| (proxy.as_str(), node.place.as_str())));
            }
            HistoryEvent::Received { proxy, place, work, .. } => {
                let (Some(figures), Some(process)) = (figures, processes.get_mut(place.as_str())) else {
                    continue;
                };
                let told = knows.contains(&(proxy.as_str(), place.as_str()));
                process.sent.push_back((event, *at, *work, told));
                if let Some(events) = process.overloaded(*at, figures) {
                    breaches.push(Violation {
                        reason: Reason::Overloaded,
                        about: place.clone(),
                        at: *at,
                        events,
                    });
                    process.sent.clear();
                }
            }
            _ => {}
        }
    }
    breaches
}

impl Process {
    /// The events of the last span, if together they are more than the process bears.
    fn overloaded(&mut self, now: Time, figures: &Figures) -> Option<Vec<usize>> {
        let span = figures.tip_after;
        while self.sent.front().is_some_and(|sent| sent.1 <= now - span) {
            self.sent.pop_front();
        }
        if now - self.started >= figures.cold + span {
            return None;
        }
        let work =
            |told: bool| self.sent.iter().filter(|sent| sent.3 || !told).map(|sent| sent.2).sum::<f64>();
        let warmth = ((now - self.started) / figures.cold.max(1.0)).clamp(0.0, 1.0);
        let present = figures.start_capacity + (1.0 - figures.start_capacity) * warmth;
        let bears = figures.fall_multiple * present * self.capacity * span;
        let is_over = work(false) > bears && work(true) >= work(false) * TOLD_SHARE;
        is_over.then(|| self.sent.iter().map(|sent| sent.0).collect())
    }
}
