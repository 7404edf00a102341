//! Histories of short simulations, and edits of them: one event added, removed, moved or repeated.

use super::fleet::{simulate, Fault};
use pinetrail_history_checker::{check, AttemptEnd, History, HistoryEvent, Reason, ResponseOutcome, Time};

/// Asserts that the checker finds no violation.
pub(crate) fn assert_accepted(history: &History) {
    let violations = check(history).expect("the history can be checked");
    assert!(violations.is_empty(), "{} violations, the first: {}", violations.len(), violations[0]);
}

/// Asserts that the checker finds a violation, that all violations have this reason and this
/// request or node as their subject, and that the first one names the events at fault.
pub(crate) fn assert_violation(history: &History, reason: Reason, subject: &str) {
    let violations = check(history).expect("the history can be checked");
    let reasons: Vec<(Reason, &str)> =
        violations.iter().map(|violation| (violation.reason, violation.subject.as_str())).collect();
    assert!(!reasons.is_empty() && reasons.iter().all(|found| *found == (reason, subject)), "{reasons:?}");
    let last = violations[0].events.last().copied();
    assert!(
        last.is_some_and(|event| event < history.events.len()),
        "the violation names the events at fault"
    );
}

/// Returns a short history whose only fault is a drain, with one request that a single attempt
/// served: the indices of the events at which the request was sent, the attempt was received, the
/// attempt ended and the response was received, and the id of the request.
pub(crate) fn history_with_served_request() -> (History, [usize; 4], String) {
    let history = simulate(3, 1200.0, &[(300.0, Fault::Drain(2))]);
    assert_accepted(&history);
    let (id, at) = find_served_request(&history, "safe");
    (history, at, id)
}

/// Finds the last request of a class that a single attempt served; returns its id and the indices
/// of its events, as [`history_with_served_request`] does.
pub(crate) fn find_served_request(history: &History, class: &str) -> (String, [usize; 4]) {
    let events = || history.events.iter().enumerate();
    let of_class = events().filter_map(|(at, (_, event))| match event {
        HistoryEvent::RequestSent { request, class: of, .. } if of == class => Some((at, request)),
        _ => None,
    });
    let mut found = of_class.filter_map(|(requested, id)| {
        let calls: Vec<(usize, u64)> = events()
            .filter_map(|(at, (_, event))| match event {
                HistoryEvent::AttemptReceived { request, attempt, .. } if request == id => Some((at, *attempt)),
                _ => None,
            })
            .collect();
        let [(received, attempt)] = calls[..] else { return None };
        let ended = events().position(
            |(_, (_, event))| matches!(event, HistoryEvent::AttemptEnded { attempt: of, end: AttemptEnd::Served(_) } if *of == attempt),
        )?;
        let answered = events().position(|(_, (_, event))| {
            matches!(event, HistoryEvent::ResponseReceived { request, outcome: ResponseOutcome::Served(_) } if request == id)
        })?;
        Some((id.clone(), [requested, received, ended, answered]))
    });
    found.next_back().expect("a single attempt served a request of the class")
}

/// Returns the history with an event inserted at its place by time.
pub(crate) fn with_event(history: &History, at: Time, event: HistoryEvent) -> History {
    let mut changed = history.clone();
    let index = changed.events.partition_point(|event| event.0 <= at);
    changed.events.insert(index, (at, event));
    changed
}

pub(crate) fn without_event(history: &History, index: usize) -> History {
    let mut changed = history.clone();
    changed.events.remove(index);
    changed
}

/// Returns the history with an event moved to another time.
pub(crate) fn with_event_moved(history: &History, index: usize, to: Time) -> History {
    with_event(&without_event(history, index), to, history.events[index].1.clone())
}

/// Returns the history with a copy of the attempt at an index, under another number and at this
/// node and time. The copy fails.
pub(crate) fn with_attempt(history: &History, received: usize, address: &str, at: Time) -> History {
    let HistoryEvent::AttemptReceived { proxy, request, work, .. } = history.events[received].1.clone()
    else {
        panic!()
    };
    let (address, attempt) = (address.to_owned(), 1 << 40);
    let ended = HistoryEvent::AttemptEnded { attempt, end: AttemptEnd::Failed };
    with_event(
        &with_event(
            history,
            at,
            HistoryEvent::AttemptReceived { proxy, request, attempt, address, first_byte_at: at, work },
        ),
        at + 0.05,
        ended,
    )
}

/// Returns a history in which a request of this class was served, with the response moved to a
/// later time so that there is time for more attempts: the history, the indices of the attempt and
/// the response, and the id of the request.
pub(crate) fn history_with_late_response(class: &str) -> (History, usize, usize, String) {
    let history = simulate(5, 3000.0, &[]);
    let (id, [requested, received, _, answered]) = find_served_request(&history, class);
    let HistoryEvent::RequestSent { budget, .. } = &mut history.events[requested].1.clone() else { panic!() };
    let mut history = history;
    let HistoryEvent::RequestSent { budget: longer, .. } = &mut history.events[requested].1 else { panic!() };
    *longer = budget.max(3000.0);
    let end = history.events[answered].0 + 2000.0;
    let mut history = with_event_moved(&history, answered, end);
    let end = end + 5000.0;
    history
        .events
        .push((end, HistoryEvent::EndpointsListed { proxy: "p0".into(), is_full: false, nodes: Vec::new() }));
    assert_accepted(&history);
    let answered = history.events.iter().position(
        |event| matches!(&event.1, HistoryEvent::ResponseReceived { request, .. } if *request == id),
    );
    (history, received, answered.unwrap(), id)
}

/// Returns the time at which the attempt at an index arrived, and the address of its node.
pub(crate) fn arrival_and_address(history: &History, received: usize) -> (Time, String) {
    let HistoryEvent::AttemptReceived { address, first_byte_at, .. } = history.events[received].1.clone()
    else {
        panic!()
    };
    (first_byte_at, address)
}

/// Finds another node that is, or is not, in the same zone or cell as the node at this address.
pub(crate) fn other_node(address: &str, group_of: fn(u32) -> u32, is_same_group: bool) -> String {
    let number = |address: &str| address[1..].parse::<u32>().unwrap();
    let others = (1..=super::fleet::NODES).filter(|n| *n != number(address));
    others
        .map(|n| format!("n{n}"))
        .find(|n| (group_of(number(n)) == group_of(number(address))) == is_same_group)
        .unwrap()
}
