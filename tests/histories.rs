//! The rules, judged by what can be seen from outside of fleets under faults from seeds. For each
//! rule the smallest change to a history that keeps it is refused, and its neighbour within the
//! limit is not.

mod common;

use common::edited_history::*;
use common::fleet::{play, script};
use common::recorded_events::figures;
use pinetrail_history_checker::{
    check, AttemptOutcome, CheckError, History, HistoryEvent, ProxyEnd, Reason, ResponseOutcome, Time,
};

const DAY: Time = 6000.0;

#[test]
fn fleets_under_faults_from_seeds_keep_the_rules() {
    let mut asked = 0;
    for seed in 0..60 {
        let history = play(seed, DAY, &script(seed, DAY));
        asked +=
            history.events.iter().filter(|event| matches!(event.1, HistoryEvent::RequestSent { .. })).count();
        let breaches = check(&history).expect("it can be judged");
        assert!(breaches.is_empty(), "seed {seed}: {} in all, first {}", breaches.len(), breaches[0]);
    }
    assert!(asked > 100_000, "{asked}");
}

#[test]
fn equal_seeds_make_equal_histories() {
    assert_eq!(play(7, 2000.0, &script(7, 2000.0)), play(7, 2000.0, &script(7, 2000.0)));
}

#[test]
fn what_shows_nothing_is_an_error_and_no_pass() {
    let (history, [asked, ..], id) = calm();
    assert_eq!(check(&History::default()), Err(CheckError::Empty));
    let silent = |event: &&(Time, HistoryEvent)| {
        matches!(event.1, HistoryEvent::ConfigActivated { .. } | HistoryEvent::EndpointsListed { .. })
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
    refused(&without(&history, answered), Reason::MissingResponse, &id);
    let (at, answer) = history.events[answered].clone();
    refused(&with(&history, at, answer.clone()), Reason::DuplicateResponse, &id);
    let HistoryEvent::RequestSent { budget, .. } = history.events[asked].1 else { panic!() };
    let due = history.events[asked].0 + budget + figures().response_slack;
    kept(&moved(&history, answered, due));
    refused(&moved(&history, answered, due + 0.001), Reason::LateResponse, &id);
    let other = HistoryEvent::ResponseReceived {
        request: id.clone(),
        outcome: ResponseOutcome::Served("of another".into()),
    };
    refused(&with(&without(&history, answered), at, other), Reason::FabricatedResponse, &id);
    // Who has left is owed nothing; who left after its time was.
    let left = HistoryEvent::ClientDisconnected { request: id.clone() };
    kept(&with(&without(&history, answered), due, left.clone()));
    refused(&with(&without(&history, answered), due + 0.001, left), Reason::MissingResponse, &id);
}

#[test]
fn what_a_process_held_that_ends_by_itself_is_lost_and_what_one_held_that_is_killed_is_not() {
    let (history, [asked, _, _, answered], id) = calm();
    let HistoryEvent::RequestSent { proxy, .. } = history.events[asked].1.clone() else { panic!() };
    let at = history.events[asked].0;
    for (how, lost) in [(ProxyEnd::Killed, false), (ProxyEnd::Exited, true)] {
        // Only what it is about: what else the proxy held is left out.
        let about = |seen: &HistoryEvent| match seen {
            HistoryEvent::RequestSent { request, .. }
            | HistoryEvent::ResponseReceived { request, .. }
            | HistoryEvent::AttemptReceived { request, .. } => *request == id,
            HistoryEvent::AttemptEnded { .. }
            | HistoryEvent::ClientDisconnected { .. }
            | HistoryEvent::BodyStarted { .. } => false,
            _ => true,
        };
        let mut short = without(&history, answered);
        short.events.retain(|event| about(&event.1) && event.0 <= at);
        let ended = with(&short, at, HistoryEvent::ProxyEnded { proxy: proxy.clone(), how });
        if lost {
            refused(&ended, Reason::MissingResponse, &id)
        } else {
            kept(&ended)
        }
    }
}

#[test]
fn calls_nobody_asked_for_or_after_the_end_are_refused() {
    let (history, [_, received, _, answered], id) = calm();
    let HistoryEvent::AttemptReceived { address, .. } = history.events[received].1.clone() else { panic!() };
    let end = history.events[answered].0;
    kept(&again(&history, received, &address, end));
    refused(&again(&history, received, &address, end + 0.001), Reason::AttemptAfterResponse, &id);
    let mut unasked = history.clone();
    let HistoryEvent::AttemptReceived { request, .. } = &mut unasked.events[received].1 else { panic!() };
    *request = "nobody".into();
    let breaches = check(&unasked).unwrap();
    assert!(breaches
        .iter()
        .any(|breach| (breach.reason, &*breach.subject) == (Reason::AttemptWithoutRequest, "nobody")));
}

#[test]
fn effects_repeated_outside_their_group_or_window_are_refused() {
    let window = figures().classes["keyed all"].window;
    for class in ["safe", "keyed all", "keyed zone", "keyed cell", "unsafe"] {
        let (history, received, _, id) = roomy(class);
        let (first, address) = sent_first(&history, received);
        let within = again(&history, received, &address, first + window);
        let beyond = again(&history, received, &address, first + window + 0.001);
        match class {
            "safe" => [within, beyond].iter().for_each(kept),
            "unsafe" => [within, beyond].iter().for_each(|h| refused(h, Reason::RepeatedEffect, &id)),
            _ => {
                kept(&within);
                refused(&beyond, Reason::OutsideWindow, &id);
            }
        }
        let group: Option<fn(u32) -> u32> = match class {
            "keyed zone" => Some(|n| n % 2),
            "keyed cell" => Some(|n| n % 3),
            _ => None,
        };
        if let Some(group) = group {
            let elsewhere = |same| again(&history, received, &neighbour(&address, group, same), first + 50.0);
            kept(&elsewhere(true));
            refused(&elsewhere(false), Reason::OutsideScope, &id);
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
            let refusal =
                HistoryEvent::ResponseReceived { request: id.clone(), outcome: ResponseOutcome::Rejected };
            let changed = with(&without(&history, answered), at, refusal);
            if harmless {
                kept(&changed)
            } else {
                refused(&changed, Reason::UnsafeRejection, &id)
            }
        }
        // What was turned away never ran: then every class may be refused.
        let mut turned = history.clone();
        let HistoryEvent::AttemptReceived { attempt, .. } = turned.events[received].1 else { panic!() };
        turned.events.iter_mut().for_each(|event| match &mut event.1 {
            HistoryEvent::AttemptEnded { attempt: of, outcome: end } if *of == attempt => {
                *end = AttemptOutcome::Rejected
            }
            HistoryEvent::ResponseReceived { request, outcome: answer } if *request == id => {
                *answer = ResponseOutcome::Rejected
            }
            _ => {}
        });
        kept(&turned);
    }
}

#[test]
fn more_calls_than_allowed_or_two_at_once_are_refused() {
    let (mut history, received, _, id) = roomy("safe");
    let (first, address) = sent_first(&history, received);
    for n in 1..figures().max_attempts {
        kept(&history);
        history = again(&history, received, &address, first + 100.0 * n as Time);
        let last = history.events.iter_mut().filter_map(|event| match &mut event.1 {
            HistoryEvent::AttemptReceived { attempt, .. } | HistoryEvent::AttemptEnded { attempt, .. }
                if *attempt == 1 << 40 =>
            {
                Some(attempt)
            }
            _ => None,
        });
        last.for_each(|attempt| *attempt = (1 << 41) + n as u64);
    }
    kept(&history);
    refused(&again(&history, received, &address, first + 900.0), Reason::TooManyAttempts, &id);
    // Where two at once are not allowed, one more must wait for the end of the one before.
    let (mut history, received, _, id) = roomy("safe");
    history.events.iter_mut().for_each(|event| {
        if let HistoryEvent::ConfigActivated { limits, .. } = &mut event.1 {
            limits.allows_hedging = false;
        }
    });
    let HistoryEvent::AttemptReceived { attempt, .. } = history.events[received].1 else { panic!() };
    let is_end = |event: &(Time, HistoryEvent)| matches!(event.1, HistoryEvent::AttemptEnded { attempt: of, .. } if of == attempt);
    let end = history.events.iter().find(|event| is_end(event)).unwrap().0;
    kept(&again(&history, received, &address, end));
    refused(&again(&history, received, &address, end - 0.001), Reason::ConcurrentAttempts, &id);
}
