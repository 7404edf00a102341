//! Histories of short simulated days, and edits of them: one event added, removed, moved or
//! repeated.

use super::fleet::{play, Fault};
use pinetrail_history_checker::{
    check, AttemptOutcome, History, HistoryEvent, Reason, ResponseOutcome, Time,
};

pub(crate) fn kept(history: &History) {
    let breaches = check(history).expect("it can be judged");
    assert!(breaches.is_empty(), "{} in all, first {}", breaches.len(), breaches[0]);
}

/// The history is refused, for this reason alone, and names the request or node.
pub(crate) fn refused(history: &History, reason: Reason, about: &str) {
    let breaches = check(history).expect("it can be judged");
    let reasons: Vec<(Reason, &str)> =
        breaches.iter().map(|breach| (breach.reason, breach.subject.as_str())).collect();
    assert!(!reasons.is_empty() && reasons.iter().all(|found| *found == (reason, about)), "{reasons:?}");
    let last = breaches[0].events.last().copied();
    assert!(last.is_some_and(|event| event < history.events.len()), "it names the events at fault");
}

/// A short day without faults, and one of its requests that a node served at once: the places in
/// the history of when it was asked, received, closed and answered, and its id.
pub(crate) fn calm() -> (History, [usize; 4], String) {
    let history = play(3, 1200.0, &[(300.0, Fault::Drain(2))]);
    kept(&history);
    let (id, at) = served(&history, "safe");
    (history, at, id)
}

/// A request of a class with one call, which served it.
pub(crate) fn served(history: &History, class: &str) -> (String, [usize; 4]) {
    let events = || history.events.iter().enumerate();
    let of_class = events().filter_map(|(at, (_, seen))| match seen {
        HistoryEvent::RequestSent { request, class: of, .. } if of == class => Some((at, request)),
        _ => None,
    });
    let mut found = of_class.filter_map(|(asked, id)| {
        let calls: Vec<(usize, u64)> = events()
            .filter_map(|(at, (_, seen))| match seen {
                HistoryEvent::AttemptReceived { request, attempt, .. } if request == id => Some((at, *attempt)),
                _ => None,
            })
            .collect();
        let [(received, attempt)] = calls[..] else { return None };
        let closed = events().position(
            |(_, (_, seen))| matches!(seen, HistoryEvent::AttemptEnded { attempt: of, outcome: AttemptOutcome::Served(_) } if *of == attempt),
        )?;
        let answered = events().position(|(_, (_, seen))| {
            matches!(seen, HistoryEvent::ResponseReceived { request, outcome: ResponseOutcome::Served(_) } if request == id)
        })?;
        Some((id.clone(), [asked, received, closed, answered]))
    });
    found.next_back().expect("one was served")
}

/// The history with an event more, in its place by time.
pub(crate) fn with(history: &History, at: Time, seen: HistoryEvent) -> History {
    let mut changed = history.clone();
    let index = changed.events.partition_point(|event| event.0 <= at);
    changed.events.insert(index, (at, seen));
    changed
}

pub(crate) fn without(history: &History, index: usize) -> History {
    let mut changed = history.clone();
    changed.events.remove(index);
    changed
}

/// The history with an event moved to another time.
pub(crate) fn moved(history: &History, index: usize, to: Time) -> History {
    with(&without(history, index), to, history.events[index].1.clone())
}

/// The attempt at an index once more, under another number, to this node and at this time.
pub(crate) fn again(history: &History, received: usize, address: &str, at: Time) -> History {
    let HistoryEvent::AttemptReceived { proxy, request, work, .. } = history.events[received].1.clone()
    else {
        panic!()
    };
    let (address, attempt) = (address.to_owned(), 1 << 40);
    let closed = HistoryEvent::AttemptEnded { attempt, outcome: AttemptOutcome::Failed };
    with(
        &with(
            history,
            at,
            HistoryEvent::AttemptReceived { proxy, request, attempt, address, first_byte_at: at, work },
        ),
        at + 0.05,
        closed,
    )
}

/// A history in which a request of this class was served, with its proxy's answer taken later so
/// that there is room for more attempts: the history, the indices of its attempt and its answer,
/// its id.
pub(crate) fn roomy(class: &str) -> (History, usize, usize, String) {
    let history = play(5, 3000.0, &[]);
    let (id, [asked, received, _, answered]) = served(&history, class);
    let HistoryEvent::RequestSent { budget, .. } = &mut history.events[asked].1.clone() else { panic!() };
    let mut history = history;
    let HistoryEvent::RequestSent { budget: longer, .. } = &mut history.events[asked].1 else { panic!() };
    *longer = budget.max(3000.0);
    let end = history.events[answered].0 + 2000.0;
    let mut history = moved(&history, answered, end);
    let end = end + 5000.0;
    history.events.push((
        end,
        HistoryEvent::EndpointsListed { proxy: "p0".into(), is_complete: false, nodes: Vec::new() },
    ));
    kept(&history);
    let answered = history.events.iter().position(
        |event| matches!(&event.1, HistoryEvent::ResponseReceived { request, .. } if *request == id),
    );
    (history, received, answered.unwrap(), id)
}

pub(crate) fn sent_first(history: &History, received: usize) -> (Time, String) {
    let HistoryEvent::AttemptReceived { address, first_byte_at, .. } = history.events[received].1.clone()
    else {
        panic!()
    };
    (first_byte_at, address)
}

/// A node that is in the same zone or cell as another, or is not.
pub(crate) fn neighbour(address: &str, of: fn(u32) -> u32, same: bool) -> String {
    let number = |address: &str| address[1..].parse::<u32>().unwrap();
    let found = (1..=super::fleet::NODES).filter(|n| *n != number(address));
    found.map(|n| format!("n{n}")).find(|n| (of(number(n)) == of(number(address))) == same).unwrap()
}
