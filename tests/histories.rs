//! The rules, judged by what can be seen from outside of fleets under faults from seeds. For each rule the smallest
//! change to a history that keeps it is refused, and its neighbour within the limit is not.

mod common;

use common::fleet::{play, script, Fault};
use common::recorded_events::figures;
use pinetrail_history_checker::{
    check, Answer, CheckError, End, Figures, History, HistoryEvent, Node, Process, Reason, State, Time,
};

const DAY: Time = 6000.0;

fn kept(history: &History) {
    let breaches = check(history).expect("it can be judged");
    assert!(breaches.is_empty(), "{} in all, first {}", breaches.len(), breaches[0]);
}

/// The history is refused, for this reason alone, and names the request or node.
fn refused(history: &History, reason: Reason, about: &str) {
    let breaches = check(history).expect("it can be judged");
    let reasons: Vec<(Reason, &str)> =
        breaches.iter().map(|breach| (breach.reason, breach.about.as_str())).collect();
    assert!(!reasons.is_empty() && reasons.iter().all(|found| *found == (reason, about)), "{reasons:?}");
    let last = breaches[0].events.last().copied();
    assert!(last.is_some_and(|event| event < history.events.len()), "it names the events at fault");
}

#[test]
fn fleets_under_faults_from_seeds_keep_the_rules() {
    let mut asked = 0;
    for seed in 0..60 {
        let history = play(seed, DAY, &script(seed, DAY));
        asked += history.events.iter().filter(|event| matches!(event.1, HistoryEvent::Asked { .. })).count();
        let breaches = check(&history).expect("it can be judged");
        assert!(breaches.is_empty(), "seed {seed}: {} in all, first {}", breaches.len(), breaches[0]);
    }
    assert!(asked > 100_000, "{asked}");
}

#[test]
fn equal_seeds_make_equal_histories() {
    assert_eq!(play(7, 2000.0, &script(7, 2000.0)), play(7, 2000.0, &script(7, 2000.0)));
}

/// A short day without faults, and one of its requests that a node served at once: the places in the history of
/// when it was asked, received, closed and answered, and its id.
fn calm() -> (History, [usize; 4], String) {
    let history = play(3, 1200.0, &[(300.0, Fault::Drain(2))]);
    kept(&history);
    let (id, at) = served(&history, "safe");
    (history, at, id)
}

/// A request of a class with one call, which served it.
fn served(history: &History, class: &str) -> (String, [usize; 4]) {
    let events = || history.events.iter().enumerate();
    let of_class = events().filter_map(|(at, (_, seen))| match seen {
        HistoryEvent::Asked { request, class: of, .. } if of == class => Some((at, request)),
        _ => None,
    });
    let mut found = of_class.filter_map(|(asked, id)| {
        let calls: Vec<(usize, u64)> = events()
            .filter_map(|(at, (_, seen))| match seen {
                HistoryEvent::Received { request, call, .. } if request == id => Some((at, *call)),
                _ => None,
            })
            .collect();
        let [(received, call)] = calls[..] else { return None };
        let closed = events().position(
            |(_, (_, seen))| matches!(seen, HistoryEvent::Closed { call: of, end: End::Served(_) } if *of == call),
        )?;
        let answered = events().position(|(_, (_, seen))| {
            matches!(seen, HistoryEvent::Answered { request, answer: Answer::Served(_) } if request == id)
        })?;
        Some((id.clone(), [asked, received, closed, answered]))
    });
    found.next_back().expect("one was served")
}

/// The history with an event more, in its place by time.
fn with(history: &History, at: Time, seen: HistoryEvent) -> History {
    let mut changed = history.clone();
    let place = changed.events.partition_point(|event| event.0 <= at);
    changed.events.insert(place, (at, seen));
    changed
}

fn without(history: &History, place: usize) -> History {
    let mut changed = history.clone();
    changed.events.remove(place);
    changed
}

/// The history with an event moved to another time.
fn moved(history: &History, place: usize, to: Time) -> History {
    with(&without(history, place), to, history.events[place].1.clone())
}

/// The call at a place once more, under another number, to this node and at this time.
fn again(history: &History, received: usize, place: &str, at: Time) -> History {
    let HistoryEvent::Received { proxy, request, work, .. } = history.events[received].1.clone() else {
        panic!()
    };
    let (place, call) = (place.to_owned(), 1 << 40);
    let closed = HistoryEvent::Closed { call, end: End::Failed };
    with(
        &with(history, at, HistoryEvent::Received { proxy, request, call, place, first: at, work }),
        at + 0.05,
        closed,
    )
}

#[test]
fn what_shows_nothing_is_an_error_and_no_pass() {
    let (history, [asked, ..], id) = calm();
    assert_eq!(check(&History::default()), Err(CheckError::Empty));
    let silent = |event: &&(Time, HistoryEvent)| {
        matches!(event.1, HistoryEvent::InForce { .. } | HistoryEvent::Told { .. })
    };
    let events: Vec<_> = history.events.iter().filter(silent).cloned().collect();
    assert_eq!(check(&History { clock_error: 0.0, events }), Err(CheckError::NoRequest));
    let mut backwards = history.clone();
    backwards.events.swap(0, asked);
    assert!(matches!(check(&backwards), Err(CheckError::OutOfOrder(_))));
    let mut cut = without(&history, history.events.len() - 1);
    cut.events.truncate(asked + 1);
    assert!(matches!(check(&cut), Err(CheckError::Unfinished(_))), "{id}");
}

#[test]
fn an_answer_that_is_missing_twice_late_or_made_up_is_refused() {
    let (history, [asked, _, _, answered], id) = calm();
    refused(&without(&history, answered), Reason::Lost, &id);
    let (at, answer) = history.events[answered].clone();
    refused(&with(&history, at, answer.clone()), Reason::Twice, &id);
    let HistoryEvent::Asked { budget, .. } = history.events[asked].1 else { panic!() };
    let due = history.events[asked].0 + budget + figures().answer_slack;
    kept(&moved(&history, answered, due));
    refused(&moved(&history, answered, due + 0.001), Reason::Late, &id);
    let other = HistoryEvent::Answered { request: id.clone(), answer: Answer::Served("of another".into()) };
    refused(&with(&without(&history, answered), at, other), Reason::MadeUp, &id);
    // Who has left is owed nothing; who left after its time was.
    let left = HistoryEvent::Left { request: id.clone() };
    kept(&with(&without(&history, answered), due, left.clone()));
    refused(&with(&without(&history, answered), due + 0.001, left), Reason::Lost, &id);
}

#[test]
fn what_a_process_held_that_ends_by_itself_is_lost_and_what_one_held_that_is_killed_is_not() {
    let (history, [asked, _, _, answered], id) = calm();
    let HistoryEvent::Asked { proxy, .. } = history.events[asked].1.clone() else { panic!() };
    let at = history.events[asked].0;
    for (how, lost) in [(Process::Killed, false), (Process::Left, true)] {
        // Only what it is about: what else the proxy held is left out.
        let about = |seen: &HistoryEvent| match seen {
            HistoryEvent::Asked { request, .. }
            | HistoryEvent::Answered { request, .. }
            | HistoryEvent::Received { request, .. } => *request == id,
            HistoryEvent::Closed { .. } | HistoryEvent::Left { .. } | HistoryEvent::Began { .. } => false,
            _ => true,
        };
        let mut short = without(&history, answered);
        short.events.retain(|event| about(&event.1) && event.0 <= at);
        let ended = with(&short, at, HistoryEvent::Ended { proxy: proxy.clone(), how });
        if lost {
            refused(&ended, Reason::Lost, &id)
        } else {
            kept(&ended)
        }
    }
}

#[test]
fn calls_nobody_asked_for_or_after_the_end_are_refused() {
    let (history, [_, received, _, answered], id) = calm();
    let HistoryEvent::Received { place, .. } = history.events[received].1.clone() else { panic!() };
    let end = history.events[answered].0;
    kept(&again(&history, received, &place, end));
    refused(&again(&history, received, &place, end + 0.001), Reason::AfterTheEnd, &id);
    let mut unasked = history.clone();
    let HistoryEvent::Received { request, .. } = &mut unasked.events[received].1 else { panic!() };
    *request = "nobody".into();
    let breaches = check(&unasked).unwrap();
    assert!(breaches.iter().any(|breach| (breach.reason, &*breach.about) == (Reason::Unasked, "nobody")));
}

/// A history in which a request of this class was served, with its proxy's answer taken later so that there is
/// room for more calls: the history, the places of its call and its answer, its id.
fn roomy(class: &str) -> (History, usize, usize, String) {
    let history = play(5, 3000.0, &[]);
    let (id, [asked, received, _, answered]) = served(&history, class);
    let HistoryEvent::Asked { budget, .. } = &mut history.events[asked].1.clone() else { panic!() };
    let mut history = history;
    let HistoryEvent::Asked { budget: longer, .. } = &mut history.events[asked].1 else { panic!() };
    *longer = budget.max(3000.0);
    let end = history.events[answered].0 + 2000.0;
    let mut history = moved(&history, answered, end);
    let end = end + 5000.0;
    history.events.push((end, HistoryEvent::Told { proxy: "p0".into(), whole: false, nodes: Vec::new() }));
    kept(&history);
    let answered = history
        .events
        .iter()
        .position(|event| matches!(&event.1, HistoryEvent::Answered { request, .. } if *request == id));
    (history, received, answered.unwrap(), id)
}

fn sent_first(history: &History, received: usize) -> (Time, String) {
    let HistoryEvent::Received { place, first, .. } = history.events[received].1.clone() else { panic!() };
    (first, place)
}

/// A node whose place is in the same zone or cell as another's, or is not.
fn neighbour(place: &str, of: fn(u32) -> u32, same: bool) -> String {
    let number = |place: &str| place[1..].parse::<u32>().unwrap();
    let found = (1..=common::fleet::NODES).filter(|n| *n != number(place));
    found.map(|n| format!("n{n}")).find(|n| (of(number(n)) == of(number(place))) == same).unwrap()
}

#[test]
fn effects_repeated_outside_their_group_or_window_are_refused() {
    let window = figures().classes["keyed all"].window;
    for class in ["safe", "keyed all", "keyed zone", "keyed cell", "unsafe"] {
        let (history, received, _, id) = roomy(class);
        let (first, place) = sent_first(&history, received);
        let within = again(&history, received, &place, first + window);
        let beyond = again(&history, received, &place, first + window + 0.001);
        match class {
            "safe" => [within, beyond].iter().for_each(kept),
            "unsafe" => [within, beyond].iter().for_each(|h| refused(h, Reason::Effect, &id)),
            _ => {
                kept(&within);
                refused(&beyond, Reason::Window, &id);
            }
        }
        let group: Option<fn(u32) -> u32> = match class {
            "keyed zone" => Some(|n| n % 2),
            "keyed cell" => Some(|n| n % 3),
            _ => None,
        };
        if let Some(group) = group {
            let elsewhere = |same| again(&history, received, &neighbour(&place, group, same), first + 50.0);
            kept(&elsewhere(true));
            refused(&elsewhere(false), Reason::Scope, &id);
        }
    }
}

#[test]
fn a_refusal_after_what_may_have_run_is_refused_unless_repeats_are_dropped_everywhere() {
    let window = figures().classes["keyed all"].window;
    for (class, in_time, late) in [
        ("safe", true, true),
        ("keyed all", true, false),
        ("keyed zone", false, false),
        ("keyed cell", false, false),
        ("unsafe", false, false),
    ] {
        let (history, received, answered, id) = roomy(class);
        let first = sent_first(&history, received).0;
        for (at, harmless) in [(first + window, in_time), (first + window + 0.001, late)] {
            let refusal = HistoryEvent::Answered { request: id.clone(), answer: Answer::Refused };
            let changed = with(&without(&history, answered), at, refusal);
            if harmless {
                kept(&changed)
            } else {
                refused(&changed, Reason::Refused, &id)
            }
        }
        // What was turned away never ran: then every class may be refused.
        let mut turned = history.clone();
        let HistoryEvent::Received { call, .. } = turned.events[received].1 else { panic!() };
        turned.events.iter_mut().for_each(|event| match &mut event.1 {
            HistoryEvent::Closed { call: of, end } if *of == call => *end = End::TurnedAway,
            HistoryEvent::Answered { request, answer } if *request == id => *answer = Answer::Refused,
            _ => {}
        });
        kept(&turned);
    }
}

#[test]
fn more_calls_than_allowed_or_two_at_once_are_refused() {
    let (mut history, received, _, id) = roomy("safe");
    let (first, place) = sent_first(&history, received);
    for n in 1..figures().attempts {
        kept(&history);
        history = again(&history, received, &place, first + 100.0 * n as Time);
        let last = history.events.iter_mut().filter_map(|event| match &mut event.1 {
            HistoryEvent::Received { call, .. } | HistoryEvent::Closed { call, .. } if *call == 1 << 40 => {
                Some(call)
            }
            _ => None,
        });
        last.for_each(|call| *call = (1 << 41) + n as u64);
    }
    kept(&history);
    refused(&again(&history, received, &place, first + 900.0), Reason::TooMany, &id);
    // Where two at once are not allowed, one more must wait for the end of the one before.
    let (mut history, received, _, id) = roomy("safe");
    history.events.iter_mut().for_each(|event| {
        if let HistoryEvent::InForce { figures, .. } = &mut event.1 {
            figures.second_copies = false;
        }
    });
    let HistoryEvent::Received { call, .. } = history.events[received].1 else { panic!() };
    let is_end =
        |event: &(Time, HistoryEvent)| matches!(event.1, HistoryEvent::Closed { call: of, .. } if of == call);
    let end = history.events.iter().find(|event| is_end(event)).unwrap().0;
    kept(&again(&history, received, &place, end));
    refused(&again(&history, received, &place, end - 0.001), Reason::TwoAtOnce, &id);
}

#[test]
fn what_is_sent_to_who_drains_is_gone_or_was_never_listed_is_refused() {
    let (history, received, _, _) = roomy("safe");
    let (first, place) = sent_first(&history, received);
    let HistoryEvent::Received { proxy, .. } = history.events[received].1.clone() else { panic!() };
    let limit = figures().stop_within;
    let node = history.events.iter().find_map(|event| match &event.1 {
        HistoryEvent::Told { nodes, .. } => nodes.iter().find(|node| node.place == place).cloned(),
        _ => None,
    });
    let node = node.unwrap();
    // Nothing else goes there: the history is kept to the one request and one proxy.
    let mut alone = history.clone();
    let HistoryEvent::Received { request: id, call, .. } = history.events[received].1.clone() else {
        panic!()
    };
    alone.events.retain(|event| match &event.1 {
        HistoryEvent::Asked { request, .. }
        | HistoryEvent::Answered { request, .. }
        | HistoryEvent::Received { request, .. } => *request == id,
        HistoryEvent::Closed { call: of, .. } => *of == call,
        HistoryEvent::Left { .. } | HistoryEvent::Began { .. } => false,
        _ => true,
    });
    kept(&alone);
    for (state, reason) in [(State::Draining, Reason::Draining), (State::Gone, Reason::Gone)] {
        let told = |at| {
            let nodes = vec![Node { state, ..node.clone() }];
            with(&alone, at, HistoryEvent::Told { proxy: proxy.clone(), whole: false, nodes })
        };
        kept(&told(first - limit));
        refused(&told(first - limit - 0.001), reason, &place);
        // To be told so twice gives no more time; to be told that it is back does.
        let twice = with(
            &told(first - limit - 0.001),
            first - 1.0,
            HistoryEvent::Told {
                proxy: proxy.clone(),
                whole: false,
                nodes: vec![Node { state, ..node.clone() }],
            },
        );
        refused(&twice, reason, &place);
        let back = HistoryEvent::Told { proxy: proxy.clone(), whole: false, nodes: vec![node.clone()] };
        kept(&with(&told(first - limit - 0.001), first - 1.0, back));
    }
    let absent = HistoryEvent::Told { proxy: proxy.clone(), whole: true, nodes: Vec::new() };
    refused(&with(&alone, first - limit - 0.001, absent), Reason::Gone, &place);
    let mut never = alone;
    never.events.iter_mut().for_each(|event| {
        if let HistoryEvent::Told { nodes, .. } = &mut event.1 {
            nodes.retain(|node| node.place != place);
        }
    });
    refused(&never, Reason::NeverListed, &place);
}

/// Guards against a budget counted for each proxy alone: the last straw comes from another one.
#[test]
fn a_cold_node_that_is_sent_more_than_it_bears_is_refused() {
    let history = play(11, 5000.0, &[(1000.0, Fault::Restart(2))]);
    kept(&history);
    let Figures { start_capacity, cold, fall_multiple, tip_after, .. } = figures();
    let found = history.events.iter().find_map(|(at, seen)| match seen {
        HistoryEvent::Started { capacity, .. } => Some((*at, *capacity)),
        _ => None,
    });
    let (started, capacity) = found.unwrap();
    let at = started + 1400.0;
    let bears = fall_multiple
        * capacity
        * tip_after
        * (start_capacity + (1.0 - start_capacity) * (at - started) / cold);
    let sent: f64 =
        history.events.iter().filter(|event| event.0 <= at && event.0 >= started).fold(0.0, |sum, event| {
            match &event.1 {
                HistoryEvent::Received { place, work, .. } if place == "n2" => sum + work,
                _ => sum,
            }
        });
    assert!(sent > 0.0 && sent < bears, "{sent} of {bears}");
    let last = |more: Time| {
        let received = history.events.iter().rposition(|event| match &event.1 {
            HistoryEvent::Received { place, .. } => place == "n2" && event.0 <= at,
            _ => false,
        });
        let mut heavier = history.clone();
        let HistoryEvent::Received { work, .. } = &mut heavier.events[received.unwrap()].1 else { panic!() };
        *work += more;
        // What comes after is no work, so that this is the whole of it.
        heavier.events.iter_mut().filter(|event| event.0 > at).for_each(|event| match &mut event.1 {
            HistoryEvent::Received { place, work, .. } if place == "n2" => *work = 0.0,
            _ => {}
        });
        heavier
    };
    let room = {
        // The budget is that of the moment of the last call.
        let received = history.events.iter().rfind(|event| match &event.1 {
            HistoryEvent::Received { place, .. } => place == "n2" && event.0 <= at,
            _ => false,
        });
        let warmth = (received.unwrap().0 - started) / cold;
        fall_multiple * capacity * tip_after * (start_capacity + (1.0 - start_capacity) * warmth) - sent
    };
    kept(&last(room - 0.001));
    refused(&last(room + 0.001), Reason::Overloaded, "n2");
}
