//! The rules on draining and cold nodes: the smallest change to a history that breaks one is
//! refused, and its neighbour within the limit is not.

mod common;

use common::edited_history::*;
use common::fleet::{play, Fault};
use common::recorded_events::figures;
use pinetrail_history_checker::{HistoryEvent, Limits, Node, NodeState, Reason, Time};

#[test]
fn what_is_sent_to_who_drains_is_gone_or_was_never_listed_is_refused() {
    let (history, received, _, _) = roomy("safe");
    let (first, address) = sent_first(&history, received);
    let HistoryEvent::AttemptReceived { proxy, .. } = history.events[received].1.clone() else { panic!() };
    let limit = figures().drain_grace;
    let node = history.events.iter().find_map(|event| match &event.1 {
        HistoryEvent::EndpointsListed { nodes, .. } => {
            nodes.iter().find(|node| node.address == address).cloned()
        }
        _ => None,
    });
    let node = node.unwrap();
    // Nothing else goes there: the history is kept to the one request and one proxy.
    let mut alone = history.clone();
    let HistoryEvent::AttemptReceived { request: id, attempt, .. } = history.events[received].1.clone()
    else {
        panic!()
    };
    alone.events.retain(|event| match &event.1 {
        HistoryEvent::RequestSent { request, .. }
        | HistoryEvent::ResponseReceived { request, .. }
        | HistoryEvent::AttemptReceived { request, .. } => *request == id,
        HistoryEvent::AttemptEnded { attempt: of, .. } => *of == attempt,
        HistoryEvent::ClientDisconnected { .. } | HistoryEvent::BodyStarted { .. } => false,
        _ => true,
    });
    kept(&alone);
    for (state, reason) in [(NodeState::Draining, Reason::Draining), (NodeState::Gone, Reason::Gone)] {
        let told = |at| {
            let nodes = vec![Node { state, ..node.clone() }];
            with(
                &alone,
                at,
                HistoryEvent::EndpointsListed { proxy: proxy.clone(), is_complete: false, nodes },
            )
        };
        kept(&told(first - limit));
        refused(&told(first - limit - 0.001), reason, &address);
        // To be told so twice gives no more time; to be told that it is back does.
        let twice = with(
            &told(first - limit - 0.001),
            first - 1.0,
            HistoryEvent::EndpointsListed {
                proxy: proxy.clone(),
                is_complete: false,
                nodes: vec![Node { state, ..node.clone() }],
            },
        );
        refused(&twice, reason, &address);
        let back = HistoryEvent::EndpointsListed {
            proxy: proxy.clone(),
            is_complete: false,
            nodes: vec![node.clone()],
        };
        kept(&with(&told(first - limit - 0.001), first - 1.0, back));
    }
    let absent = HistoryEvent::EndpointsListed { proxy: proxy.clone(), is_complete: true, nodes: Vec::new() };
    refused(&with(&alone, first - limit - 0.001, absent), Reason::Gone, &address);
    let mut never = alone;
    never.events.iter_mut().for_each(|event| {
        if let HistoryEvent::EndpointsListed { nodes, .. } = &mut event.1 {
            nodes.retain(|node| node.address != address);
        }
    });
    refused(&never, Reason::NeverListed, &address);
}

/// Guards against a budget counted for each proxy alone: the last straw comes from another one.
#[test]
fn a_cold_node_that_is_sent_more_than_it_bears_is_refused() {
    let history = play(11, 5000.0, &[(1000.0, Fault::Restart(2))]);
    kept(&history);
    let Limits { start_capacity, warm_up_time, overload_multiple, overload_time, .. } = figures();
    let found = history.events.iter().find_map(|(at, seen)| match seen {
        HistoryEvent::BackendStarted { capacity, .. } => Some((*at, *capacity)),
        _ => None,
    });
    let (started, capacity) = found.unwrap();
    let at = started + 1400.0;
    let bears = overload_multiple
        * capacity
        * overload_time
        * (start_capacity + (1.0 - start_capacity) * (at - started) / warm_up_time);
    let sent: f64 =
        history.events.iter().filter(|event| event.0 <= at && event.0 >= started).fold(0.0, |sum, event| {
            match &event.1 {
                HistoryEvent::AttemptReceived { address, work, .. } if address == "n2" => sum + work,
                _ => sum,
            }
        });
    assert!(sent > 0.0 && sent < bears, "{sent} of {bears}");
    let last = |more: Time| {
        let received = history.events.iter().rposition(|event| match &event.1 {
            HistoryEvent::AttemptReceived { address, .. } => address == "n2" && event.0 <= at,
            _ => false,
        });
        let mut heavier = history.clone();
        let HistoryEvent::AttemptReceived { work, .. } = &mut heavier.events[received.unwrap()].1 else {
            panic!()
        };
        *work += more;
        // What comes after is no work, so that this is the whole of it.
        heavier.events.iter_mut().filter(|event| event.0 > at).for_each(|event| match &mut event.1 {
            HistoryEvent::AttemptReceived { address, work, .. } if address == "n2" => *work = 0.0,
            _ => {}
        });
        heavier
    };
    let room = {
        // The budget is that of the moment of the last attempt.
        let received = history.events.iter().rfind(|event| match &event.1 {
            HistoryEvent::AttemptReceived { address, .. } => address == "n2" && event.0 <= at,
            _ => false,
        });
        let warmth = (received.unwrap().0 - started) / warm_up_time;
        overload_multiple * capacity * overload_time * (start_capacity + (1.0 - start_capacity) * warmth)
            - sent
    };
    kept(&last(room - 0.001));
    refused(&last(room + 0.001), Reason::Overloaded, "n2");
}
