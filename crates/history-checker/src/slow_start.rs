//! Checks the rule that all proxies together send a node that is warming up no more work than its
//! present capacity allows, over any interval of the overload time. Read [`check`] first.

use crate::history::{History, HistoryEvent, Limits, Node, Time};
use crate::violation::{Reason, Violation};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The smallest share of an overload's work that must come from proxies that knew of the node's
/// start, so that the overload counts as a violation; from 0 to 1.
const INFORMED_SHARE: f64 = 2.0 / 3.0;

/// The work of an attempt that was sent to a node.
struct SentWork {
    event: usize,
    at: Time,
    work: f64,
    /// Whether the sender knew that the node had started.
    is_informed: bool,
}

/// A process of a node, and the work that was sent to it within the last overload time.
struct NodeProcess {
    started: Time,
    /// The capacity after the warm-up, in units of work per ms.
    capacity: f64,
    sent: VecDeque<SentWork>,
}

#[derive(Default)]
struct Checker<'a> {
    clock_error: Time,
    /// The limits that became active last, at any proxy.
    limits: Option<&'a Limits>,
    /// Processes by the addresses of their nodes.
    processes: BTreeMap<&'a str, NodeProcess>,
    /// Pairs of a proxy and the address of a node whose last start the proxy knows.
    informed: BTreeSet<(&'a str, &'a str)>,
    violations: Vec<Violation>,
}

/// Checks the work that was sent to each node.
pub(crate) fn check(history: &History) -> Vec<Violation> {
    let mut checker = Checker { clock_error: history.clock_error, ..Checker::default() };
    for (event, (at, seen)) in history.events.iter().enumerate() {
        match seen {
            HistoryEvent::ConfigActivated { limits, .. } => checker.limits = Some(limits),
            HistoryEvent::BackendStarted { address, capacity } => checker.started(*at, address, *capacity),
            HistoryEvent::EndpointsListed { proxy, nodes, .. } => checker.listed(proxy, nodes),
            HistoryEvent::AttemptReceived { proxy, address, work, .. } => {
                let is_informed = checker.informed.contains(&(proxy.as_str(), address.as_str()));
                checker.received(address, SentWork { event, at: *at, work: *work, is_informed });
            }
            _ => {}
        }
    }
    checker.violations
}

impl<'a> Checker<'a> {
    fn started(&mut self, at: Time, address: &'a str, capacity: f64) {
        self.informed.retain(|(_, known)| *known != address);
        let process = NodeProcess { started: at, capacity, sent: VecDeque::new() };
        self.processes.insert(address, process);
    }

    fn listed(&mut self, proxy: &'a str, nodes: &'a [Node]) {
        for node in nodes {
            let process = self.processes.get(node.address.as_str());
            if process.is_some_and(|process| node.started >= process.started - self.clock_error) {
                self.informed.insert((proxy, &node.address));
            }
        }
    }

    fn received(&mut self, address: &str, sent: SentWork) {
        let Some(limits) = self.limits else { return };
        let Some(process) = self.processes.get_mut(address) else { return };
        let at = sent.at;
        process.sent.push_back(sent);
        if let Some(events) = process.overloaded_by(at, limits) {
            process.sent.clear();
            let subject = address.to_owned();
            self.violations.push(Violation { reason: Reason::Overloaded, subject, at, events });
        }
    }
}

impl NodeProcess {
    /// Returns the attempts of the last overload time, if their work exceeds what the present
    /// capacity of the process allows.
    fn overloaded_by(&mut self, now: Time, limits: &Limits) -> Option<Vec<usize>> {
        let span = limits.overload_time;
        while self.sent.front().is_some_and(|sent| sent.at <= now - span) {
            self.sent.pop_front();
        }
        let age = now - self.started;
        if age >= limits.warm_up_time + span {
            return None;
        }
        let warm_fraction = (age / limits.warm_up_time.max(1.0)).clamp(0.0, 1.0);
        let capacity_fraction = limits.start_capacity + (1.0 - limits.start_capacity) * warm_fraction;
        let max_work = limits.overload_multiple * capacity_fraction * self.capacity * span;
        let work: f64 = self.sent.iter().map(|sent| sent.work).sum();
        let informed_work: f64 = self.sent.iter().filter(|sent| sent.is_informed).map(|sent| sent.work).sum();
        let is_overloaded = work > max_work && informed_work >= work * INFORMED_SHARE;
        is_overloaded.then(|| self.sent.iter().map(|sent| sent.event).collect())
    }
}
