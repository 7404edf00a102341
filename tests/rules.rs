//! Tests of the four rules of the data path on one balancer: a single final response, safe repeats,
//! no attempts at draining backends, and a bounded load on cold backends.

mod common;

use common::*;
use pinetrail::interface::*;

fn never_executed(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss)
}

#[test]
fn one_final_response_under_every_order_of_outcome_deadline_and_disconnect() {
    // Every order of three steps: 0 is the attempt's outcome, 1 the deadline, 2 the disconnect.
    for outcome in ALL_OUTCOMES {
        for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            let mut harness = BalancerHarness::without_origin(4);
            let arrival = harness.request(read(1, 5));
            let (_, server) = sent(&arrival).unwrap();
            let (mut responses, mut is_over) = (0, false);
            for step in order {
                let actions = match step {
                    0 => harness.end(1, 0, server, outcome),
                    1 => harness.fire_deadline(&arrival),
                    _ => harness.event(Event::ClientGone(RequestId(1))),
                };
                if is_over {
                    assert!(
                        sent_attempts(&actions).is_empty() && final_responses(&actions).is_empty(),
                        "{outcome:?} {order:?}"
                    );
                }
                responses += final_responses(&actions).len()
                    + usize::from(step == 0 && !is_over && outcome == Outcome::Ok);
                is_over |= responses > 0 || step == 2;
            }
            assert!(responses <= 1, "{outcome:?} {order:?}");
            let disconnected_first = order[0] == 2;
            let retried = order[0] == 0 && order[1] == 2;
            assert!(responses == 1 || disconnected_first || retried, "{outcome:?} {order:?}: {responses}");
        }
    }
}

#[test]
fn the_deadline_ends_a_queued_request_once() {
    let mut harness = BalancerHarness::with_origin(0);
    let arrival = harness.request(read(1, 5));
    assert!(sent_attempts(&arrival).is_empty());
    assert_eq!(final_responses(&harness.fire_deadline(&arrival)).len(), 1);
    assert!(harness.fire_deadline(&arrival).is_empty());
}

#[test]
fn retries_respect_idempotency_after_every_outcome_inside_and_past_the_dedup_window() {
    for class in [SAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL, UNSAFE] {
        for outcome in ALL_OUTCOMES.into_iter().filter(|o| *o != Outcome::Ok) {
            for late in [false, true] {
                let mut harness = BalancerHarness::without_origin(12);
                let arrival = harness.request(Request { class, ..read(1, 5) });
                let (_, first) = sent(&arrival).unwrap();
                harness.now += if late { 350.0 } else { 5.0 };
                let actions = harness.end(1, 0, first, outcome);
                let context = format!("{class} {outcome:?} late {late}: {actions:?}");
                let is_safe = never_executed(outcome) || class == SAFE;
                for (_, server) in sent_attempts(&actions) {
                    let (a, b) = (endpoint(first), endpoint(server));
                    let deduplicated = match class {
                        KEYED_ALL => true,
                        KEYED_ZONE => a.zone == b.zone,
                        KEYED_CELL => a.cell == b.cell,
                        _ => false,
                    };
                    assert!(is_safe || (deduplicated && !late), "{context}");
                }
                let is_rejected = actions.iter().any(|a| matches!(a, Action::Reject { .. }));
                assert!(!is_rejected || is_safe || (class == KEYED_ALL && !late), "{context}");
                if is_safe {
                    assert_eq!(sent_attempts(&actions).len(), 1, "{context}");
                }
                if class == UNSAFE && !is_safe {
                    assert_eq!(final_responses(&actions), vec![&unsafe_to_repeat(1)], "{context}");
                }
            }
        }
    }
}

#[test]
fn an_attempt_in_flight_counts_as_possibly_run() {
    for (class, is_rejected) in [(SAFE, true), (KEYED_ALL, false), (KEYED_ZONE, false), (UNSAFE, false)] {
        let mut harness = BalancerHarness::without_origin(4);
        let arrival = harness.request(Request { class, ..read(1, 5) });
        let end = harness.fire_deadline(&arrival);
        // The deadline at 800 ms is after the deduplication window of 300 ms: only idempotent
        // requests may be rejected.
        assert_eq!(matches!(final_responses(&end)[0], Action::Reject { .. }), is_rejected, "{class}");
    }
}

#[test]
fn writes_go_straight_to_the_origin() {
    let mut harness = BalancerHarness::with_origin(4);
    let arrival = harness.request(Request { class: UNSAFE, is_write: true, ..read(1, 5) });
    assert_eq!(sent(&arrival), Some((1, ORIGIN)));
}

#[test]
fn attempts_stay_within_the_limit() {
    let mut harness = BalancerHarness::without_origin(9);
    for id in 100..110 {
        // These requests deposit enough in the retry budget for a few retries.
        assert_ne!(harness.serve_read(id, id), 0);
    }
    let (mut actions, mut attempts) = (harness.request(read(1, 5)), 0);
    while let Some((_, server)) = sent(&actions) {
        actions = harness.end(1, attempts, server, Outcome::Full);
        attempts += 1;
    }
    assert_eq!(attempts, 4);
    assert_eq!(final_responses(&actions).len(), 1);
}

fn assert_avoids(harness: &mut BalancerHarness, avoided: BackendNumber) {
    for key in 1..200 {
        assert_ne!(harness.serve_read(10_000 + key, key), avoided);
    }
}

#[test]
fn a_drain_in_a_delta_list_stops_new_attempts_at_once() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut harness = BalancerHarness::without_origin(4);
        for key in 1..200 {
            assert_ne!(harness.serve_read(key, key), 0);
        }
        harness.event(Event::EndpointList {
            form: ListForm::Delta,
            endpoints: vec![EndpointInfo { state, ..endpoint(2) }],
        });
        assert_avoids(&mut harness, 2);
    }
}

#[test]
fn absence_from_a_complete_list_means_gone() {
    for form in [ListForm::Full, ListForm::Cached] {
        let mut harness = BalancerHarness::without_origin(4);
        for key in 1..200 {
            assert_ne!(harness.serve_read(key, key), 0);
        }
        harness.event(Event::EndpointList { form, endpoints: [1, 3, 4].map(endpoint).to_vec() });
        assert_avoids(&mut harness, 2);
    }
}

#[test]
fn a_restarted_proxy_respects_the_drains_of_its_cached_list_and_subscribes() {
    let mut harness = BalancerHarness::without_origin(0);
    let mut list: Vec<EndpointInfo> = (1..=4).map(endpoint).collect();
    list[1].state = EndpointState::Draining;
    let actions = harness.event(Event::EndpointList { form: ListForm::Cached, endpoints: list });
    assert_eq!(actions, vec![Action::Subscribe]);
    assert_avoids(&mut harness, 2);
    harness.event(Event::EndpointList {
        form: ListForm::Delta,
        endpoints: vec![EndpointInfo { state: EndpointState::Draining, ..endpoint(3) }],
    });
    assert_avoids(&mut harness, 3);
}

#[test]
fn queued_requests_do_not_go_to_a_backend_that_drains_meanwhile() {
    let mut harness = BalancerHarness::with_origin(2);
    let (_, server) = sent(&harness.request(read(1, 5))).unwrap();
    harness.end(1, 0, server, Outcome::Miss);
    assert!(sent_attempts(&harness.request(read(2, 5))).is_empty(), "the request waits for the fetch");
    harness.event(Event::EndpointList {
        form: ListForm::Delta,
        endpoints: vec![EndpointInfo { state: EndpointState::Draining, ..endpoint(server) }],
    });
    let actions = harness.end(1, 1, ORIGIN, Outcome::Ok);
    assert!(sent_attempts(&actions).iter().all(|(_, to)| *to != server), "{actions:?}");
}

/// Sends steady traffic for 1.5 s, where attempts at backend 9 end with `outcome`. Returns the work
/// sent to backend 9 and the mean work sent to each of the four others, in ms.
fn send_steady_traffic(harness: &mut BalancerHarness, outcome: Outcome) -> (f64, f64) {
    let (mut cold, mut warm) = (0.0, 0.0);
    let base = harness.now as u64 * 1000;
    for step in 0..150u64 {
        harness.now += 10.0;
        for n in 0..4 {
            let id = base + step * 4 + n;
            let mut actions = harness.request(read(id, id));
            for attempt in 0..3 {
                let Some((_, server)) = sent(&actions) else { break };
                if server == 9 {
                    cold += 10.0;
                    actions = harness.end(id, attempt, server, outcome);
                } else {
                    warm += 10.0;
                    harness.end(id, attempt, server, Outcome::Ok);
                    break;
                }
            }
        }
    }
    (cold, warm / 4.0)
}

#[test]
fn a_cold_backend_gets_no_more_than_its_budget() {
    // A new backend, a restart of a known backend, and a new backend whose rejections are retried.
    for (known, outcome) in [(false, Outcome::Ok), (true, Outcome::Ok), (false, Outcome::Full)] {
        let mut harness = BalancerHarness::without_origin(4);
        if known {
            harness.event(Event::EndpointList { form: ListForm::Delta, endpoints: vec![endpoint(9)] });
        }
        send_steady_traffic(&mut harness, Outcome::Ok);
        let started = harness.now;
        harness.event(Event::EndpointList {
            form: ListForm::Delta,
            endpoints: vec![EndpointInfo { started_at: time(started), ..endpoint(9) }],
        });
        let (cold, warm) = send_steady_traffic(&mut harness, outcome);
        // The capacity rises from 0.2 to 0.33 within the time, and the overload multiple is 3. The
        // cold backend gets at most half of the load that makes it collapse, even if the warm
        // backends are at full capacity.
        assert!(
            cold > 0.0 && cold <= warm * 0.5 * 3.0 * 0.34,
            "known {known} {outcome:?}: {cold} ms of work at the cold backend, {warm} ms at a warm one"
        );
    }
}

#[test]
fn several_proxies_together_keep_the_budget_of_a_cold_backend() {
    // Four proxies do not communicate; each has its own part of the traffic and its own state.
    let (mut cold, mut warm) = (0.0, 0.0);
    for _ in 0..4 {
        let mut harness = BalancerHarness::without_origin(4);
        send_steady_traffic(&mut harness, Outcome::Ok);
        let started = harness.now;
        harness.event(Event::EndpointList {
            form: ListForm::Delta,
            endpoints: vec![EndpointInfo { started_at: time(started), ..endpoint(9) }],
        });
        let (to_cold, to_warm) = send_steady_traffic(&mut harness, Outcome::Ok);
        cold += to_cold;
        warm += to_warm;
    }
    assert!(
        cold > 0.0 && cold <= warm * 0.5 * 3.0 * 0.34,
        "{cold} ms of work at the cold backends, {warm} ms at warm ones"
    );
}

#[test]
fn a_cold_backend_gets_little_from_a_proxy_that_knows_no_load_yet() {
    let mut harness = BalancerHarness::without_origin(0);
    let started = harness.now;
    let cold = |id| EndpointInfo { started_at: time(started), ..endpoint(id) };
    harness.event(Event::EndpointList { form: ListForm::Full, endpoints: (1..=3).map(cold).collect() });
    let burst: usize = (1..50).map(|id| sent_attempts(&harness.request(read(id, id))).len()).sum();
    // The fraction of keys that are sent is half of the overload multiple 3 times the start
    // capacity 0.2. All other requests are queued.
    assert!((1..=24).contains(&burst), "{burst} of 49 requests sent, expected about 15");
}

#[test]
fn misses_at_cold_nodes_stay_a_small_part_of_what_the_origin_gets() {
    let mut harness = BalancerHarness::with_origin(8);
    let started = harness.now;
    harness.event(Event::EndpointList {
        form: ListForm::Delta,
        endpoints: vec![EndpointInfo { started_at: time(started), ..endpoint(9) }],
    });
    let (mut from_cold, mut all) = (0, 0);
    for id in 1..600 {
        harness.now += 2.5;
        let Some((_, server)) = sent(&harness.request(read(id, id))) else { continue };
        let fetch = harness.end(id, 0, server, Outcome::Miss);
        all += 1;
        from_cold += usize::from(server == 9);
        for (id, to) in sent_attempts(&fetch) {
            harness.end(id, 1, to, Outcome::Ok);
        }
    }
    assert!(all > 100 && from_cold * 10 < all, "{from_cold} of {all} misses came from the cold node");
}

#[test]
fn attempts_in_flight_at_the_origin_are_bounded() {
    let mut harness = BalancerHarness::with_origin(8);
    let mut at_origin = 0;
    for id in 1..500 {
        let Some((_, server)) = sent(&harness.request(read(id, id))) else { continue };
        at_origin += harness.end(id, 0, server, Outcome::Miss).iter().filter(|a| is_origin_send(a)).count();
    }
    assert!((1..=8).contains(&at_origin), "{at_origin} attempts in flight at the origin");
}

fn is_origin_send(action: &Action) -> bool {
    matches!(action, Action::StartAttempt { backend: BackendId(ORIGIN), .. })
}
