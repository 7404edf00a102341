//! Checks the rule that no new attempt goes to a node that is draining, has left, or was never
//! listed. Read [`check`] first.

use crate::history::{History, HistoryEvent, Limits, Node, NodeState, Time};
use crate::violation::{Reason, Violation};
use std::collections::BTreeMap;

/// A node in a proxy's list, and its state.
struct ListedNode<'a> {
    node: &'a Node,
    state: NodeState,
    /// When the node became ready or not ready, in ms. The drain grace of a node that is not ready
    /// counts from this time.
    since: Time,
    /// The index of the event that made the node ready or not ready.
    event: usize,
}

/// The nodes that were listed to one proxy.
#[derive(Default)]
struct NodeList<'a> {
    /// The listed nodes by their names.
    nodes: BTreeMap<&'a str, ListedNode<'a>>,
    /// The time after the listing of a drain within which the proxy may still send new attempts, in
    /// ms.
    drain_grace: Time,
}

/// The reason for which no new attempt may go to a node.
struct Forbidden {
    reason: Reason,
    /// The event that listed the state of the node; none if the node was never listed.
    event: Option<usize>,
}

/// Checks the state of each node to which a proxy sent an attempt.
pub(crate) fn check(history: &History) -> Vec<Violation> {
    let mut proxies: BTreeMap<&str, NodeList> = BTreeMap::new();
    let mut violations = Vec::new();
    for (event, (at, seen)) in history.events.iter().enumerate() {
        match seen {
            HistoryEvent::ConfigActivated { proxy, limits: Limits { drain_grace, .. } } => {
                proxies.entry(proxy).or_default().drain_grace = *drain_grace;
            }
            HistoryEvent::EndpointsListed { proxy, is_full, nodes } => {
                let list = proxies.entry(proxy).or_default();
                if *is_full {
                    list.mark_absent_as_gone(*at, event, nodes);
                }
                list.update(*at, event, nodes);
            }
            // A new process starts with the list in its configuration only.
            HistoryEvent::ProxyEnded { proxy, .. } => proxies.entry(proxy).or_default().nodes.clear(),
            HistoryEvent::AttemptReceived { proxy, address, first_byte_at, .. } => {
                let list = proxies.entry(proxy).or_default();
                if let Some(forbidden) = list.forbids(address, *first_byte_at, history.clock_error) {
                    violations.push(Violation {
                        reason: forbidden.reason,
                        subject: address.clone(),
                        at: *first_byte_at,
                        events: forbidden.event.into_iter().chain([event]).collect(),
                    });
                }
            }
            _ => {}
        }
    }
    violations
}

impl<'a> NodeList<'a> {
    /// Marks as gone the nodes that are not in a full list.
    fn mark_absent_as_gone(&mut self, at: Time, event: usize, nodes: &[Node]) {
        for (name, listed) in &mut self.nodes {
            let is_absent = !nodes.iter().any(|node| node.name == *name);
            if is_absent && listed.state != NodeState::Gone {
                listed.state = NodeState::Gone;
                listed.since = at;
                listed.event = event;
            }
        }
    }

    fn update(&mut self, at: Time, event: usize, nodes: &'a [Node]) {
        for node in nodes {
            let mut listed = ListedNode { node, state: node.state, since: at, event };
            // Listing a node as not ready a second time does not extend the drain grace.
            if let Some(before) = self.nodes.get(node.name.as_str()) {
                if before.state != NodeState::Ready && node.state != NodeState::Ready {
                    listed.since = before.since;
                    listed.event = before.event;
                }
            }
            self.nodes.insert(&node.name, listed);
        }
    }

    /// Returns the reason for which no new attempt may go to an address at a time; none if new
    /// attempts may go there.
    fn forbids(&self, address: &str, at: Time, clock_error: Time) -> Option<Forbidden> {
        let here: Vec<&ListedNode> =
            self.nodes.values().filter(|listed| listed.node.address == address).collect();
        let latest = |listed: &ListedNode| listed.since + self.drain_grace + clock_error;
        if here.iter().any(|listed| listed.state == NodeState::Ready || at <= latest(listed)) {
            return None;
        }
        let Some(listed) = here.first() else {
            return Some(Forbidden { reason: Reason::NeverListed, event: None });
        };
        let is_gone = listed.state == NodeState::Gone;
        let reason = if is_gone { Reason::Gone } else { Reason::Draining };
        Some(Forbidden { reason, event: Some(listed.event) })
    }
}
