//! Checks of the rules on the visible events of simulated fleets under seeded faults. For each
//! rule, the smallest edit of a history that breaks the rule is reported as a violation, and the
//! edit just within the limit is accepted.

mod common;

use common::edited_history::*;
use common::fleet::{random_script, simulate};
use common::recorded_events::limits;
use pinetrail_history_checker::{
    check, AttemptEnd, CheckError, History, HistoryEvent, ProxyEnd, Reason, ResponseOutcome, Time,
};

const DURATION_MS: Time = 6000.0;

#[test]
fn fleets_under_faults_from_seeds_keep_the_rules() {
    let mut requests = 0;
    for seed in 0..60 {
        let history = simulate(seed, DURATION_MS, &random_script(seed, DURATION_MS));
        requests +=
            history.events.iter().filter(|event| matches!(event.1, HistoryEvent::RequestSent { .. })).count();
        let violations = check(&history).expect("the history can be checked");
        assert!(
            violations.is_empty(),
            "seed {seed}: {} violations, the first: {}",
            violations.len(),
            violations[0]
        );
    }
    assert!(requests > 100_000, "{requests} requests");
}

#[test]
fn equal_seeds_make_equal_histories() {
    assert_eq!(
        simulate(7, 2000.0, &random_script(7, 2000.0)),
        simulate(7, 2000.0, &random_script(7, 2000.0))
    );
}

#[test]
fn a_history_that_shows_nothing_is_an_error() {
    let (history, [requested, ..], id) = history_with_served_request();
    assert_eq!(check(&History::default()), Err(CheckError::Empty));
    let is_from_proxy = |event: &&(Time, HistoryEvent)| {
        matches!(event.1, HistoryEvent::ConfigActivated { .. } | HistoryEvent::EndpointsListed { .. })
    };
    let events: Vec<_> = history.events.iter().filter(is_from_proxy).cloned().collect();
    assert_eq!(check(&History { clock_error: 0.0, events }), Err(CheckError::NoRequest));
    let mut out_of_order = history.clone();
    out_of_order.events.swap(0, requested);
    assert!(matches!(check(&out_of_order), Err(CheckError::OutOfOrder(_))));
    let mut unfinished = without_event(&history, history.events.len() - 1);
    unfinished.events.truncate(requested + 1);
    assert!(
        matches!(check(&unfinished), Err(CheckError::Unfinished(_))),
        "the recording ends before the deadline of {id}"
    );
}

#[test]
fn an_answer_that_is_missing_twice_late_or_made_up_is_refused() {
    let (history, [requested, _, _, answered], id) = history_with_served_request();
    assert_violation(&without_event(&history, answered), Reason::MissingResponse, &id);
    let (at, answer) = history.events[answered].clone();
    assert_violation(&with_event(&history, at, answer.clone()), Reason::DuplicateResponse, &id);
    let HistoryEvent::RequestSent { budget, .. } = history.events[requested].1 else { panic!() };
    let deadline = history.events[requested].0 + budget + limits().response_slack;
    assert_accepted(&with_event_moved(&history, answered, deadline));
    assert_violation(&with_event_moved(&history, answered, deadline + 0.001), Reason::LateResponse, &id);
    let other = HistoryEvent::ResponseReceived {
        request: id.clone(),
        outcome: ResponseOutcome::Served("of another".into()),
    };
    assert_violation(
        &with_event(&without_event(&history, answered), at, other),
        Reason::FabricatedResponse,
        &id,
    );
    // A client that disconnects before the deadline is owed no response; one that does so later is.
    let disconnect = HistoryEvent::ClientDisconnected { request: id.clone() };
    assert_accepted(&with_event(&without_event(&history, answered), deadline, disconnect.clone()));
    assert_violation(
        &with_event(&without_event(&history, answered), deadline + 0.001, disconnect),
        Reason::MissingResponse,
        &id,
    );
}

#[test]
fn open_requests_of_a_process_that_exits_are_lost_and_of_one_that_is_killed_are_not() {
    let (history, [requested, _, _, answered], id) = history_with_served_request();
    let HistoryEvent::RequestSent { proxy, .. } = history.events[requested].1.clone() else { panic!() };
    let at = history.events[requested].0;
    for (how, is_lost) in [(ProxyEnd::Killed, false), (ProxyEnd::Exited, true)] {
        // The other requests that the proxy held are left out.
        let is_relevant = |event: &HistoryEvent| match event {
            HistoryEvent::RequestSent { request, .. }
            | HistoryEvent::ResponseReceived { request, .. }
            | HistoryEvent::AttemptReceived { request, .. } => *request == id,
            HistoryEvent::AttemptEnded { .. }
            | HistoryEvent::ClientDisconnected { .. }
            | HistoryEvent::BodyStarted { .. } => false,
            _ => true,
        };
        let mut shortened = without_event(&history, answered);
        shortened.events.retain(|event| is_relevant(&event.1) && event.0 <= at);
        let ended = with_event(&shortened, at, HistoryEvent::ProxyEnded { proxy: proxy.clone(), how });
        if is_lost {
            assert_violation(&ended, Reason::MissingResponse, &id)
        } else {
            assert_accepted(&ended)
        }
    }
}

#[test]
fn attempts_without_a_request_or_after_its_response_are_refused() {
    let (history, [_, received, _, answered], id) = history_with_served_request();
    let HistoryEvent::AttemptReceived { address, .. } = history.events[received].1.clone() else { panic!() };
    let end = history.events[answered].0;
    assert_accepted(&with_attempt(&history, received, &address, end));
    assert_violation(
        &with_attempt(&history, received, &address, end + 0.001),
        Reason::AttemptAfterResponse,
        &id,
    );
    let mut unasked = history.clone();
    let HistoryEvent::AttemptReceived { request, .. } = &mut unasked.events[received].1 else { panic!() };
    *request = "nobody".into();
    let violations = check(&unasked).unwrap();
    assert!(violations.iter().any(
        |violation| (violation.reason, &*violation.subject) == (Reason::AttemptWithoutRequest, "nobody")
    ));
}

#[test]
fn effects_repeated_outside_their_group_or_window_are_refused() {
    let window = limits().classes["keyed all"].window;
    for class in ["safe", "keyed all", "keyed zone", "keyed cell", "unsafe"] {
        let (history, received, _, id) = history_with_late_response(class);
        let (first, address) = arrival_and_address(&history, received);
        let within = with_attempt(&history, received, &address, first + window);
        let after = with_attempt(&history, received, &address, first + window + 0.001);
        match class {
            "safe" => [within, after].iter().for_each(assert_accepted),
            "unsafe" => [within, after].iter().for_each(|h| assert_violation(h, Reason::RepeatedEffect, &id)),
            _ => {
                assert_accepted(&within);
                assert_violation(&after, Reason::OutsideWindow, &id);
            }
        }
        let group: Option<fn(u32) -> u32> = match class {
            "keyed zone" => Some(|n| n % 2),
            "keyed cell" => Some(|n| n % 3),
            _ => None,
        };
        if let Some(group) = group {
            let at_other_node =
                |same| with_attempt(&history, received, &other_node(&address, group, same), first + 50.0);
            assert_accepted(&at_other_node(true));
            assert_violation(&at_other_node(false), Reason::OutsideScope, &id);
        }
    }
}

#[test]
fn a_refusal_after_what_may_have_run_is_refused_unless_repeats_are_dropped_everywhere() {
    let window = limits().classes["keyed all"].window;
    for (class, in_time, late) in [
        ("safe", true, true),
        ("keyed all", true, false),
        ("keyed zone", false, false),
        ("keyed cell", false, false),
        ("unsafe", false, false),
    ] {
        let (history, received, answered, id) = history_with_late_response(class);
        let first = arrival_and_address(&history, received).0;
        for (at, is_harmless) in [(first + window, in_time), (first + window + 0.001, late)] {
            let rejection =
                HistoryEvent::ResponseReceived { request: id.clone(), outcome: ResponseOutcome::Rejected };
            let changed = with_event(&without_event(&history, answered), at, rejection);
            if is_harmless {
                assert_accepted(&changed)
            } else {
                assert_violation(&changed, Reason::UnsafeRejection, &id)
            }
        }
        // A rejected attempt never ran: then a request of any class may be rejected.
        let mut rejected = history.clone();
        let HistoryEvent::AttemptReceived { attempt, .. } = rejected.events[received].1 else { panic!() };
        rejected.events.iter_mut().for_each(|event| match &mut event.1 {
            HistoryEvent::AttemptEnded { attempt: of, end } if *of == attempt => *end = AttemptEnd::Rejected,
            HistoryEvent::ResponseReceived { request, outcome: answer } if *request == id => {
                *answer = ResponseOutcome::Rejected
            }
            _ => {}
        });
        assert_accepted(&rejected);
    }
}

#[test]
fn more_attempts_than_allowed_or_two_at_once_are_refused() {
    let (mut history, received, _, id) = history_with_late_response("safe");
    let (first, address) = arrival_and_address(&history, received);
    for n in 1..limits().max_attempts {
        assert_accepted(&history);
        history = with_attempt(&history, received, &address, first + 100.0 * n as Time);
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
    assert_accepted(&history);
    assert_violation(
        &with_attempt(&history, received, &address, first + 900.0),
        Reason::TooManyAttempts,
        &id,
    );
    // Where two attempts at once are not allowed, the next one must wait for the end of the one
    // before.
    let (mut history, received, _, id) = history_with_late_response("safe");
    history.events.iter_mut().for_each(|event| {
        if let HistoryEvent::ConfigActivated { limits, .. } = &mut event.1 {
            limits.allows_hedging = false;
        }
    });
    let HistoryEvent::AttemptReceived { attempt, .. } = history.events[received].1 else { panic!() };
    let is_end = |event: &(Time, HistoryEvent)| matches!(event.1,HistoryEvent::AttemptEnded{attempt:of,..}if of==attempt);
    let end = history.events.iter().find(|event| is_end(event)).unwrap().0;
    assert_accepted(&with_attempt(&history, received, &address, end));
    assert_violation(
        &with_attempt(&history, received, &address, end - 0.001),
        Reason::ConcurrentAttempts,
        &id,
    );
}
