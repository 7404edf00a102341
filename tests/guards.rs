//! Tests of the conditions under which the decision module sends, retries or rejects a request.
//! Each condition here is one whose absence no other test would notice. `docs/release-review.md`
//! has the table.

mod common;

use common::*;
use pinetrail::interface::*;

/// Guards against an attempt for a client that has given up: after a process was suspended, its
/// timers fire later than the other events that were waiting.
#[test]
fn nothing_is_sent_after_the_deadline_though_its_timer_has_not_fired() {
    let mut harness = BalancerHarness::without_origin(4);
    let (_, server) = sent(&harness.request(read(1, 5))).unwrap();
    harness.now += 801.0;
    let late = harness.end(1, 0, server, Outcome::Full);
    assert!(sent_attempts(&late).is_empty() && final_responses(&late).len() == 1, "{late:?}");
}

/// Guards against two attempts at once after the reported end of an attempt that never existed or
/// had already ended.
#[test]
fn an_end_of_an_unknown_attempt_starts_none_beside_the_one_in_flight() {
    let mut harness = BalancerHarness::without_origin(4);
    let (_, first) = sent(&harness.request(read(1, 5))).unwrap();
    for attempt in [1, 7, 255] {
        assert!(harness.end(1, attempt, first, Outcome::Full).is_empty(), "attempt {attempt} never existed");
    }
    let (_, second) = sent(&harness.end(1, 0, first, Outcome::Full)).unwrap();
    for outcome in [Outcome::Full, Outcome::Error, Outcome::Miss] {
        assert!(harness.end(1, 0, first, outcome).is_empty(), "the attempt had already ended");
    }
    assert!(!harness.end(1, 1, second, Outcome::Full).is_empty(), "the end of the attempt in flight counts");
}

/// Guards against two attempts at once when the end of an attempt is reported again while its
/// request waits for a fetch.
#[test]
fn a_repeated_end_of_a_waiting_request_changes_nothing() {
    let mut harness = BalancerHarness::with_origin(3);
    let (_, home) = sent(&harness.request(read(1, 5))).unwrap();
    assert_eq!(sent(&harness.request(read(2, 5))), Some((2, home)));
    assert_eq!(sent(&harness.end(1, 0, home, Outcome::Miss)), Some((1, ORIGIN)));
    for _ in 0..3 {
        assert!(sent_attempts(&harness.end(2, 0, home, Outcome::Miss)).is_empty());
    }
    assert_eq!(sent_attempts(&harness.end(1, 1, ORIGIN, Outcome::Ok)), [(2, home)]);
}

/// Guards against a retry that arrives just after the deduplication window: an attempt that is sent
/// in the last tick of the window arrives after it.
#[test]
fn the_dedup_window_ends_a_tick_early() {
    for (elapsed, is_retried) in [(298.0, true), (299.5, false)] {
        let mut harness = BalancerHarness::without_origin(4);
        let request = Request { class: KEYED_ALL, ..read(1, 5) };
        let (_, first) = sent(&harness.request(request)).unwrap();
        harness.now += elapsed;
        let end = harness.end(1, 0, first, Outcome::Error);
        assert_eq!(!sent_attempts(&end).is_empty(), is_retried, "after {elapsed} ms: {end:?}");
        let failure = unsafe_to_repeat(1);
        assert_eq!(final_responses(&end), if is_retried { vec![] } else { vec![&failure] });
    }
}

/// Guards against a request that runs twice because it is sent to the origin after an attempt at a
/// cache node: the origin belongs to no deduplication scope but its own.
#[test]
fn a_miss_after_an_attempt_that_may_have_run_goes_to_the_origin_only_within_the_dedup_scope() {
    let mut seen = [false; 2];
    for key in 1..60 {
        let mut harness = BalancerHarness::with_origin(6);
        let request = Request { class: KEYED_ZONE, ..read(1, key) };
        let (_, first) = sent(&harness.request(request)).unwrap();
        let (_, second) = sent(&harness.end(1, 0, first, Outcome::Reset)).unwrap();
        let after = harness.end(1, 1, second, Outcome::Miss);
        let is_same_zone = endpoint(first).zone == endpoint(ORIGIN).zone;
        assert_eq!(sent(&after), is_same_zone.then_some((1, ORIGIN)), "key {key}: {after:?}");
        assert!(is_same_zone || final_responses(&after) == [&unsafe_to_repeat(1)]);
        seen[usize::from(is_same_zone)] = true;
    }
    assert_eq!(seen, [true; 2], "the origin was inside the scope for some keys and outside for others");
}

/// Guards against a node that stays ejected after it has recovered.
#[test]
fn an_outlier_gets_trials_and_serves_again_once_it_answers() {
    let mut harness = BalancerHarness::without_origin(6);
    let mut is_failing = true;
    let mut attempts = 0;
    for id in 1..8000 {
        harness.now += 1.0;
        is_failing &= id < 2000;
        let Some((_, server)) = sent(&harness.request(read(id, id))) else { continue };
        let fails = server == 3 && is_failing;
        attempts += usize::from(server == 3 && !is_failing);
        for (id, server) in
            sent_attempts(&harness.end(id, 0, server, if fails { Outcome::Error } else { Outcome::Ok }))
        {
            harness.end(id, 1, server, Outcome::Ok);
        }
    }
    assert!(attempts > 200, "{attempts} of about 1000 attempts after the recovery");
}

/// Guards against a waiting request that avoids the node that now holds the value: the earlier miss
/// of the request there was no failure of the node.
#[test]
fn a_waiter_that_missed_at_a_node_finds_the_value_there() {
    let mut harness = BalancerHarness::with_origin(3);
    let (_, home) = sent(&harness.request(read(1, 5))).unwrap();
    assert_eq!(sent(&harness.request(read(2, 5))), Some((2, home)));
    assert_eq!(sent(&harness.end(1, 0, home, Outcome::Miss)), Some((1, ORIGIN)));
    assert!(
        sent_attempts(&harness.end(2, 0, home, Outcome::Miss)).is_empty(),
        "the request waits for the fetch"
    );
    assert_eq!(sent_attempts(&harness.end(1, 1, ORIGIN, Outcome::Ok)), [(2, home)]);
}

/// Guards against a rapid series of attempts at a node that rejects quickly: a node at a limit of
/// one gets no attempts for some time after a decrease.
#[test]
fn a_node_at_a_limit_of_one_rests_after_a_decrease() {
    // One of 200 proxies has a limit of one at each node.
    let mut harness = BalancerHarness::numbered(1, 1);
    let (_, server) = sent(&harness.request(read(1, 1))).unwrap();
    harness.event(Event::ClientGone(RequestId(1)));
    harness.end(1, 0, server, Outcome::Full);
    harness.now += 50.0;
    assert!(sent_attempts(&harness.request(read(2, 2))).is_empty());
    harness.now += 51.0;
    assert!(!sent_attempts(&harness.event(Event::Timer(4 << 60))).is_empty(), "the queued request is sent");
}

/// Guards against a request that waits for capacity although it may no longer be retried.
#[test]
fn a_queued_request_past_its_dedup_window_fails_though_no_node_has_capacity() {
    let mut harness = BalancerHarness::without_origin(1);
    let request = Request { class: KEYED_ALL, ..read(1, 5) };
    let (_, server) = sent(&harness.request(request)).unwrap();
    for id in 100..120 {
        harness.request(read(id, id));
    }
    harness.now += 200.0;
    // An attempt this slow decreases the limit: there is no capacity for another one.
    let end = harness.end_after(1, 0, server, Outcome::Error, 200.0);
    assert!(end.iter().all(|action| matches!(action, Action::SetTimer { .. })), "queued: {end:?}");
    harness.now += 110.0;
    // The deduplication window has passed: the next dispatch of the queue fails the request.
    assert!(final_responses(&harness.event(Event::Timer(4 << 60))).contains(&&unsafe_to_repeat(1)));
}

/// Guards against a retry budget that is spent on requests that may not be retried.
#[test]
fn a_request_that_is_not_idempotent_costs_no_retry_budget() {
    let mut harness = BalancerHarness::without_origin(6);
    for id in 1..40 {
        let (_, server) = sent(&harness.request(Request { class: UNSAFE, ..read(id, id) })).unwrap();
        assert_eq!(final_responses(&harness.end(id, 0, server, Outcome::Error)), [&unsafe_to_repeat(id)]);
        harness.now += 300.0;
    }
    for id in 100..105 {
        let (_, server) = sent(&harness.request(read(id, id))).unwrap();
        assert_eq!(sent_attempts(&harness.end(id, 0, server, Outcome::Error)).len(), 1, "{id}");
    }
}
