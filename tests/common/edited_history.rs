//! Histories of short simulated days, and edits of them: one event added, removed, moved or
//! repeated.

use super::fleet::{simulate, Fault};
use pinetrail_history_checker::{
    check, AttemptOutcome, History, HistoryEvent, Reason, ResponseOutcome, Time,
};

pub(crate) fn assert_accepted(history: &History) {
    let violations = check(history).expect("it can be judged");
    assert!(violations.is_empty(), "{} in all, first {}", violations.len(), violations[0]);
}

/// The history is refused, for this reason alone, and names the request or node.
pub(crate) fn assert_violation(history: &History, reason: Reason, subject: &str) {
    let violations = check(history).expect("it can be judged");
    let reasons: Vec<(Reason, &str)> =
        violations.iter().map(|violation| (violation.reason, violation.subject.as_str())).collect();
    assert!(!reasons.is_empty() && reasons.iter().all(|found| *found == (reason, subject)), "{reasons:?}");
    let last = violations[0].events.last().copied();
    assert!(last.is_some_and(|event| event < history.events.len()), "it names the events at fault");
}

/// A short day without faults, and one of its requests that a node served at once: the places in
/// the history of when it was asked, received, closed and answered, and its id.
pub(crate) fn history_with_served_request() -> (History, [usize; 4], String) {
    let history = simulate(3, 1200.0, &[(300.0, Fault::Drain(2))]);
    assert_accepted(&history);
    let (id, at) = find_served_request(&history, "safe");
    (history, at, id)
}

/// A request of a class with one call, which served it.
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
            |(_, (_, event))| matches!(event, HistoryEvent::AttemptEnded { attempt: of, outcome: AttemptOutcome::Served(_) } if *of == attempt),
        )?;
        let answered = events().position(|(_, (_, event))| {
            matches!(event, HistoryEvent::ResponseReceived { request, outcome: ResponseOutcome::Served(_) } if request == id)
        })?;
        Some((id.clone(), [requested, received, ended, answered]))
    });
    found.next_back().expect("one was served")
}

/// The history with an event more, in its place by time.
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

/// The history with an event moved to another time.
pub(crate) fn with_event_moved(history: &History, index: usize, to: Time) -> History {
    with_event(&without_event(history, index), to, history.events[index].1.clone())
}

/// The attempt at an index once more, under another number, to this node and at this time.
pub(crate) fn with_attempt(history: &History, received: usize, address: &str, at: Time) -> History {
    let HistoryEvent::AttemptReceived { proxy, request, work, .. } = history.events[received].1.clone()
    else {
        panic!()
    };
    let (address, attempt) = (address.to_owned(), 1 << 40);
    let ended = HistoryEvent::AttemptEnded { attempt, outcome: AttemptOutcome::Failed };
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

/// A history in which a request of this class was served, with its proxy's answer taken later so
/// that there is room for more attempts: the history, the indices of its attempt and its answer,
/// its id.
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
    history.events.push((
        end,
        HistoryEvent::EndpointsListed { proxy: "p0".into(), is_complete: false, nodes: Vec::new() },
    ));
    assert_accepted(&history);
    let answered = history.events.iter().position(
        |event| matches!(&event.1, HistoryEvent::ResponseReceived { request, .. } if *request == id),
    );
    (history, received, answered.unwrap(), id)
}

pub(crate) fn arrival_and_address(history: &History, received: usize) -> (Time, String) {
    let HistoryEvent::AttemptReceived { address, first_byte_at, .. } = history.events[received].1.clone()
    else {
        panic!()
    };
    (first_byte_at, address)
}

/// A node that is in the same zone or cell as another, or is not.
pub(crate) fn other_node(address: &str, group_of: fn(u32) -> u32, is_same_group: bool) -> String {
    let number = |address: &str| address[1..].parse::<u32>().unwrap();
    let others = (1..=super::fleet::NODES).filter(|n| *n != number(address));
    others
        .map(|n| format!("n{n}"))
        .find(|n| (group_of(number(n)) == group_of(number(address))) == is_same_group)
        .unwrap()
}
