//! Checks of the rules on draining and cold nodes: the smallest edit of a history that breaks a
//! rule is reported as a violation, and the edit just within the limit is accepted.

mod common;

use common::edited_history::*;
use common::fleet::{simulate, Fault};
use common::recorded_events::limits;
use pinetrail_history_checker::{HistoryEvent, Limits, Node, NodeState, Reason, Time};

#[test]
fn an_attempt_at_a_node_that_drains_is_gone_or_was_never_listed_is_refused() {
    let (history, received, _, _) = history_with_late_response("safe");
    let (first, address) = arrival_and_address(&history, received);
    let HistoryEvent::AttemptReceived { proxy, .. } = history.events[received].1.clone() else { panic!() };
    let limit = limits().drain_grace;
    let node = history.events.iter().find_map(|event| match &event.1 {
        HistoryEvent::EndpointsListed { nodes, .. } => {
            nodes.iter().find(|node| node.address == address).cloned()
        }
        _ => None,
    });
    let node = node.unwrap();
    // All other requests are removed, so that nothing else goes to the node.
    let mut one_request = history.clone();
    let HistoryEvent::AttemptReceived { request: id, attempt, .. } = history.events[received].1.clone()
    else {
        panic!()
    };
    one_request.events.retain(|event| match &event.1 {
        HistoryEvent::RequestSent { request, .. }
        | HistoryEvent::ResponseReceived { request, .. }
        | HistoryEvent::AttemptReceived { request, .. } => *request == id,
        HistoryEvent::AttemptEnded { attempt: of, .. } => *of == attempt,
        HistoryEvent::ClientDisconnected { .. } | HistoryEvent::BodyStarted { .. } => false,
        _ => true,
    });
    assert_accepted(&one_request);
    for (state, reason) in [(NodeState::Draining, Reason::Draining), (NodeState::Gone, Reason::Gone)] {
        let with_state_listed = |at| {
            let nodes = vec![Node { state, ..node.clone() }];
            with_event(
                &one_request,
                at,
                HistoryEvent::EndpointsListed { proxy: proxy.clone(), is_full: false, nodes },
            )
        };
        assert_accepted(&with_state_listed(first - limit));
        assert_violation(&with_state_listed(first - limit - 0.001), reason, &address);
        // A second list with the same state does not extend the limit; a list in which the node is
        // ready again lifts it.
        let listed_twice = with_event(
            &with_state_listed(first - limit - 0.001),
            first - 1.0,
            HistoryEvent::EndpointsListed {
                proxy: proxy.clone(),
                is_full: false,
                nodes: vec![Node { state, ..node.clone() }],
            },
        );
        assert_violation(&listed_twice, reason, &address);
        let ready_again =
            HistoryEvent::EndpointsListed { proxy: proxy.clone(), is_full: false, nodes: vec![node.clone()] };
        assert_accepted(&with_event(&with_state_listed(first - limit - 0.001), first - 1.0, ready_again));
    }
    let absent = HistoryEvent::EndpointsListed { proxy: proxy.clone(), is_full: true, nodes: Vec::new() };
    assert_violation(&with_event(&one_request, first - limit - 0.001, absent), Reason::Gone, &address);
    let mut never_listed = one_request;
    never_listed.events.iter_mut().for_each(|event| {
        if let HistoryEvent::EndpointsListed { nodes, .. } = &mut event.1 {
            nodes.retain(|node| node.address != address);
        }
    });
    assert_violation(&never_listed, Reason::NeverListed, &address);
}

/// Guards against a work budget that is counted for each proxy alone: the attempt that exceeds the
/// budget comes from another proxy.
#[test]
fn a_cold_node_that_is_sent_more_than_it_can_take_is_refused() {
    let history = simulate(11, 5000.0, &[(1000.0, Fault::Restart(2))]);
    assert_accepted(&history);
    let Limits { start_capacity, warm_up_time, overload_multiple, overload_time, .. } = limits();
    let found = history.events.iter().find_map(|(at, event)| match event {
        HistoryEvent::BackendStarted { capacity, .. } => Some((*at, *capacity)),
        _ => None,
    });
    let (started, capacity) = found.unwrap();
    let at = started + 1400.0;
    let max_work = overload_multiple
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
    assert!(sent > 0.0 && sent < max_work, "work {sent} of at most {max_work}");
    let with_extra_work = |extra_work: Time| {
        let received = history.events.iter().rposition(|event| match &event.1 {
            HistoryEvent::AttemptReceived { address, .. } => address == "n2" && event.0 <= at,
            _ => false,
        });
        let mut heavier = history.clone();
        let HistoryEvent::AttemptReceived { work, .. } = &mut heavier.events[received.unwrap()].1 else {
            panic!()
        };
        *work += extra_work;
        // Later attempts are given no work, so that the total ends with this attempt.
        heavier.events.iter_mut().filter(|event| event.0 > at).for_each(|event| match &mut event.1 {
            HistoryEvent::AttemptReceived { address, work, .. } if address == "n2" => *work = 0.0,
            _ => {}
        });
        heavier
    };
    let remaining_work = {
        // The budget is the one at the time of the last attempt.
        let received = history.events.iter().rfind(|event| match &event.1 {
            HistoryEvent::AttemptReceived { address, .. } => address == "n2" && event.0 <= at,
            _ => false,
        });
        let warm_up_progress = (received.unwrap().0 - started) / warm_up_time;
        overload_multiple
            * capacity
            * overload_time
            * (start_capacity + (1.0 - start_capacity) * warm_up_progress)
            - sent
    };
    assert_accepted(&with_extra_work(remaining_work - 0.001));
    assert_violation(&with_extra_work(remaining_work + 0.001), Reason::Overloaded, "n2");
}
