//! Nothing new to a node that drains, is gone, or was never listed.

use crate::history::{Figures, History, HistoryEvent, Node, State, Time};
use crate::violation::{Reason, Violation};
use std::collections::BTreeMap;

/// What one proxy was told, by the names of nodes: where each is, its state, and since when.
#[derive(Default)]
struct Told<'a> {
    nodes: BTreeMap<&'a str, (&'a Node, State, Time, usize)>,
    stop_within: Time,
}

pub(crate) fn check(history: &History) -> Vec<Violation> {
    let mut proxies: BTreeMap<&str, Told> = BTreeMap::new();
    let mut breaches = Vec::new();
    for (event, (at, seen)) in history.events.iter().enumerate() {
        match seen {
            HistoryEvent::InForce { proxy, figures: Figures { stop_within, .. } } => {
                proxies.entry(proxy).or_default().stop_within = *stop_within;
            }
            HistoryEvent::Told { proxy, whole, nodes } => {
                proxies.entry(proxy).or_default().tell(*at, event, *whole, nodes);
            }
            // A process that starts anew knows its list alone.
            HistoryEvent::Ended { proxy, .. } => proxies.entry(proxy).or_default().nodes.clear(),
            HistoryEvent::Received { proxy, place, first, .. } => {
                let told = proxies.entry(proxy).or_default();
                if let Some((reason, why)) = told.forbids(place, *first, history.clock_error) {
                    let events = why.into_iter().chain([event]).collect();
                    breaches.push(Violation { reason, about: place.clone(), at: *first, events });
                }
            }
            _ => {}
        }
    }
    breaches
}

impl<'a> Told<'a> {
    fn tell(&mut self, at: Time, event: usize, whole: bool, nodes: &'a [Node]) {
        if whole {
            let absent = |name: &str| !nodes.iter().any(|node| node.name == name);
            let gone = self.nodes.iter_mut().filter(|(name, _)| absent(name)).map(|(_, told)| told);
            gone.filter(|told| told.1 != State::Gone)
                .for_each(|told| (told.1, told.2, told.3) = (State::Gone, at, event));
        }
        for node in nodes {
            let (since, why) = match self.nodes.get(node.name.as_str()) {
                // Who may not be sent to is not given more time by being told so again.
                Some((_, state, since, why)) if *state != State::Ready && node.state != State::Ready => {
                    (*since, *why)
                }
                _ => (at, event),
            };
            self.nodes.insert(&node.name, (node, node.state, since, why));
        }
    }

    /// Why nothing new may go to a place at a time, and the event that said so.
    fn forbids(&self, place: &str, at: Time, clock_error: Time) -> Option<(Reason, Option<usize>)> {
        let here: Vec<_> = self.nodes.values().filter(|told| told.0.place == place).collect();
        if here.iter().any(|told| told.1 == State::Ready || at <= told.2 + self.stop_within + clock_error) {
            return None;
        }
        match here.first() {
            None => Some((Reason::NeverListed, None)),
            Some((_, State::Gone, _, why)) => Some((Reason::Gone, Some(*why))),
            Some((.., why)) => Some((Reason::Draining, Some(*why))),
        }
    }
}
