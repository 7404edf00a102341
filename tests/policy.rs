//! Tests of the choice of a node by HyLARD, and of the exceptions to it. The paper's M is a load
//! gap of 4.

mod common;

use common::*;
use pinetrail::interface::*;

#[test]
fn a_small_key_keeps_to_its_set_while_loads_are_close() {
    let mut harness = BalancerHarness::without_origin(6);
    let home = harness.serve_read(1, 5);
    for id in 2..20 {
        assert_eq!(harness.serve_read(id, 5), home);
    }
}

#[test]
fn a_set_grows_on_a_load_gap_of_four_and_then_uses_its_least_loaded_member() {
    let mut harness = BalancerHarness::without_origin(6);
    let mut hosts = vec![];
    for id in 1..=5 {
        hosts.push(sent(&harness.request(read(id, 5))).unwrap().1);
    }
    assert_eq!(hosts[..4], [hosts[0]; 4], "three requests in flight are no gap of four");
    assert_ne!(hosts[4], hosts[0], "four requests in flight are a gap of four");
    // The home has four requests in flight and the second member one, which is less than M apart:
    // the next request goes to the home, and the one after it to the second member.
    assert_eq!(sent(&harness.request(read(6, 5))).unwrap().1, hosts[0]);
    assert_eq!(sent(&harness.request(read(7, 5))).unwrap().1, hosts[4], "the set's least loaded member");
}

/// Grows the set of a key to two members; returns the home and the second member.
fn grow_set(harness: &mut BalancerHarness, key: KeyNumber) -> (BackendNumber, BackendNumber) {
    let hosts: Vec<BackendNumber> =
        (1..=5).map(|n| sent(&harness.request(read(key * 10 + n, key))).unwrap().1).collect();
    for (host, n) in hosts.iter().zip(1..) {
        harness.end(key * 10 + n, 0, *host, Outcome::Ok);
    }
    assert_ne!(hosts[0], hosts[4]);
    (hosts[0], hosts[4])
}

/// Returns whether the set of a key still has its second member. If so, one request in flight at
/// the second member keeps the fifth of five requests at the home, because the load of the least
/// loaded member is less than M above the lowest load in the fleet.
fn is_second_in_set(
    harness: &mut BalancerHarness,
    key: KeyNumber,
    (home, second): (BackendNumber, BackendNumber),
    from: u64,
) -> bool {
    let other = (1..).find(|n| harness.serve_read(from + n, from + n) == second).unwrap();
    let taken = sent(&harness.request(read(from, from + other))).unwrap().1;
    assert_eq!(taken, second);
    let hosts: Vec<BackendNumber> =
        (1..=5).map(|n| sent(&harness.request(read(from + 500_000 + n, key))).unwrap().1).collect();
    for (host, n) in hosts.iter().zip(1..) {
        harness.end(from + 500_000 + n, 0, *host, Outcome::Ok);
    }
    harness.end(from, 0, second, Outcome::Ok);
    assert_eq!(hosts[..4], [home; 4]);
    hosts[4] == home
}

#[test]
fn a_set_that_is_unchanged_for_a_minute_drops_a_member() {
    let mut harness = BalancerHarness::without_origin(6);
    harness.serve_many_keys();
    let set = grow_set(&mut harness, 5);
    assert!(is_second_in_set(&mut harness, 5, set, 1_000_000));
    harness.now += 60_001.0;
    assert_eq!(harness.serve_read(900, 5), set.0);
    assert!(!is_second_in_set(&mut harness, 5, set, 2_000_000));
}

#[test]
fn a_large_key_stays_on_one_backend_whatever_its_load() {
    let mut harness = BalancerHarness::without_origin(6);
    for id in 1..100 {
        assert_ne!(harness.serve_read(id, id), 0);
    }
    let large = |id| Request { work_hint: Some(span(500.0)), ..read(id, 7777) };
    let home = sent(&harness.request(large(1000))).unwrap().1;
    for id in 1001..1006 {
        assert_eq!(sent(&harness.request(large(id))).unwrap().1, home);
    }
}

#[test]
fn a_hot_large_key_overflows_while_its_backend_is_full_and_returns_after() {
    let mut harness = BalancerHarness::without_origin(6);
    for id in 1..100 {
        assert_ne!(harness.serve_read(id, id), 0);
    }
    let large = |id| Request { work_hint: Some(span(500.0)), ..read(id, 7777) };
    let home = sent(&harness.request(large(1000))).unwrap().1;
    let hosts: Vec<BackendNumber> =
        (1001..1030).map(|id| sent(&harness.request(large(id))).map_or(0, |s| s.1)).collect();
    assert!(hosts.iter().any(|host| *host != home && *host != 0), "{hosts:?}");
    harness.end(1000, 0, home, Outcome::Ok);
    assert_eq!(sent(&harness.request(large(2000))).unwrap().1, home);
}

#[test]
fn a_key_without_a_valid_hint_counts_as_small() {
    for hint in [None, Some(f64::NAN), Some(-1.0), Some(0.0), Some(f64::INFINITY)] {
        let mut harness = BalancerHarness::without_origin(6);
        let odd = |id| Request { work_hint: hint.map(span), ..read(id, 5) };
        let hosts: Vec<BackendNumber> =
            (1..=5).map(|id| sent(&harness.request(odd(id))).unwrap().1).collect();
        assert_ne!(hosts[0], hosts[4], "{hint:?}: a small key's set grows");
    }
}

#[test]
fn proxies_agree_on_the_home_of_a_key_without_communication() {
    let (mut one, mut other) = (BalancerHarness::without_origin(8), BalancerHarness::without_origin(8));
    other.request(read(9999, 4242));
    let same = (1..200).filter(|key| one.serve_read(*key, *key) == other.serve_read(*key, *key)).count();
    assert!(same > 190, "{same} of 199 keys have the same home");
}

#[test]
fn a_larger_backend_is_home_to_more_keys() {
    let mut harness = BalancerHarness::without_origin(4);
    harness.event(Event::EndpointList {
        form: ListForm::Delta,
        endpoints: vec![EndpointInfo { weight: 3.0, ..endpoint(1) }],
    });
    let at_first = (1..600).filter(|key| harness.serve_read(*key, *key) == 1).count();
    assert!((240..360).contains(&at_first), "{at_first} of 600 keys at the larger backend, half expected");
}

/// Guards against a limit that is decreased for each long fetch and stays far below what the origin
/// can take.
#[test]
fn the_limit_of_the_origin_grows_until_a_quarter_of_its_responses_is_slow() {
    let concurrent_fetches = |slow_every: u64| {
        let mut harness = BalancerHarness::with_origin(4);
        let (mut in_flight, mut fetched) = (0, 0);
        for round in 1..200 {
            harness.now += 1000.0;
            let mut out = vec![];
            for id in round * 100..round * 100 + 30 {
                let Some((_, server)) = sent(&harness.request(read(id, id))) else { continue };
                let has_missed = !sent_attempts(&harness.end(id, 0, server, Outcome::Miss)).is_empty();
                if has_missed {
                    out.push(id);
                } else {
                    harness.event(Event::ClientGone(RequestId(id)));
                }
            }
            in_flight = out.len();
            for id in out {
                fetched += 1;
                let latency = if fetched % slow_every == 0 { 290.0 } else { 20.0 };
                harness.end_after(id, 1, ORIGIN, Outcome::Ok, latency);
            }
        }
        in_flight
    };
    let (rarely_slow, often_slow) = (concurrent_fetches(10), concurrent_fetches(2));
    assert!(
        rarely_slow > 2 * often_slow && often_slow >= 1,
        "{rarely_slow} fetches at once if few are slow, {often_slow} if many are"
    );
}

#[test]
fn misses_of_one_key_share_a_fetch_and_find_the_value_where_it_missed() {
    let mut harness = BalancerHarness::with_origin(4);
    let (_, server) = sent(&harness.request(read(1, 5))).unwrap();
    assert_eq!(sent(&harness.end(1, 0, server, Outcome::Miss)), Some((1, ORIGIN)));
    for id in 2..5 {
        assert!(sent_attempts(&harness.request(read(id, 5))).is_empty());
    }
    let actions = harness.end(1, 1, ORIGIN, Outcome::Ok);
    assert_eq!(sent_attempts(&actions).first(), Some(&(2, server)));
    assert!(sent_attempts(&actions).iter().all(|(_, to)| *to == server));
    assert_eq!(sent_attempts(&actions).len(), 3);
}

#[test]
fn when_the_client_of_a_fetch_leader_leaves_a_waiter_takes_over() {
    let mut harness = BalancerHarness::with_origin(4);
    let (_, server) = sent(&harness.request(read(1, 5))).unwrap();
    harness.end(1, 0, server, Outcome::Miss);
    harness.request(read(2, 5));
    assert_eq!(sent(&harness.event(Event::ClientGone(RequestId(1)))), Some((2, server)));
}

#[test]
fn sets_do_not_grow_while_the_origin_has_no_capacity() {
    let mut harness = BalancerHarness::with_origin(6);
    let home = harness.serve_read(1, 5);
    for id in 100..200 {
        if let Some((_, server)) = sent(&harness.request(read(id, id))) {
            harness.end(id, 0, server, Outcome::Miss);
        }
    }
    let hosts: Vec<BackendNumber> = (2..6).map(|id| sent(&harness.request(read(id, 5))).unwrap().1).collect();
    assert!(hosts.iter().all(|host| *host == home), "{hosts:?}");
}

#[test]
fn a_backend_with_quick_errors_is_ejected_but_for_trials() {
    let mut harness = BalancerHarness::without_origin(6);
    let mut taken = 0;
    for id in 1..1000 {
        harness.now += 1.0;
        let Some((_, server)) = sent(&harness.request(read(id, id))) else { continue };
        let outcome = if server == 3 { Outcome::Error } else { Outcome::Ok };
        taken += usize::from(server == 3);
        for (id, server) in sent_attempts(&harness.end(id, 0, server, outcome)) {
            harness.end(id, 1, server, Outcome::Ok);
        }
    }
    assert!((4..=12).contains(&taken), "{taken} of 1000 requests in a second went to the failing backend");
}

#[test]
fn no_node_is_ejected_while_most_of_the_fleet_fails() {
    let mut harness = BalancerHarness::without_origin(4);
    for id in 1..200 {
        harness.now += 50.0;
        let mut actions = harness.request(read(id, id));
        for attempt in 0..4 {
            let Some((_, server)) = sent(&actions) else { break };
            actions = harness.end(id, attempt, server, Outcome::Timeout);
        }
    }
    harness.now += 1000.0;
    let hosts: std::collections::BTreeSet<BackendNumber> =
        (1000..1100).filter_map(|id| sent(&harness.request(read(id, id)))).map(|(_, to)| to).collect();
    assert!(hosts.len() >= 3, "{hosts:?}");
}

#[test]
fn retries_stop_when_everything_fails() {
    let mut harness = BalancerHarness::without_origin(6);
    let (mut first_attempts, mut retries) = (0, 0);
    for id in 1..500 {
        let mut actions = harness.request(read(id, id));
        first_attempts += sent_attempts(&actions).len();
        for attempt in 0..4 {
            let Some((_, server)) = sent(&actions) else { break };
            actions = harness.end(id, attempt, server, Outcome::Error);
            retries += sent_attempts(&actions).len();
        }
        harness.now += 20.0;
    }
    assert!(
        first_attempts > 100 && retries <= 10 + 500 / 5,
        "{first_attempts} first attempts, {retries} retries"
    );
}

#[test]
fn a_failing_discovery_is_polled_with_backoff_and_the_old_list_stays() {
    let mut harness = BalancerHarness::without_origin(3);
    let mut waits = vec![];
    for _ in 0..6 {
        let actions = harness.event(Event::EndpointList { form: ListForm::Failed, endpoints: vec![] });
        let [Action::SetTimer { delay: wait, token }] = actions[..] else { panic!("{actions:?}") };
        waits.push(wait.as_ms());
        harness.now += wait.as_ms();
        assert_eq!(harness.event(Event::Timer(token)), vec![Action::Subscribe]);
    }
    assert!(waits[5] > waits[0] && waits[5] <= 12_000.0, "{waits:?}");
    assert!(sent(&harness.request(read(1, 5))).is_some());
}

#[test]
fn unusual_but_legal_events_are_handled() {
    let mut harness = BalancerHarness::with_origin(3);
    assert!(harness.end(99, 3, 77, Outcome::Ok).is_empty());
    assert!(harness.event(Event::Timer(u64::MAX)).is_empty());
    assert!(harness.event(Event::ClientGone(RequestId(4))).is_empty());
    harness.event(Event::Probed { backend: BackendId(5), answered: false, load_report: vec![f32::NAN] });
    harness.event(Event::PeerMessage { from: 9, payload: vec![1] });
    assert!(final_responses(&harness.request(Request { class: 250, ..read(1, 1) })).len() == 1);
    for (id, budget) in [(2, f64::NAN), (3, -5.0), (4, 0.0)] {
        let actions = harness.request(Request { budget: span(budget), ..read(id, 0) });
        assert_eq!(
            final_responses(&actions).len()
                + final_responses(&harness.event(Event::Timer(1 << 60 | id))).len(),
            1
        );
    }
    let odd = EndpointInfo { weight: f32::NAN, started_at: time(f64::NAN), ..endpoint(2) };
    harness.event(Event::EndpointList { form: ListForm::Delta, endpoints: vec![odd] });
    assert!(sent(&harness.request(read(5, 0))).is_some());
    harness.event(Event::EndpointList { form: ListForm::Full, endpoints: vec![] });
    let arrival = harness.request(read(6, 5));
    assert!(sent_attempts(&arrival).is_empty());
    assert_eq!(final_responses(&harness.fire_deadline(&arrival)).len(), 1);
}

#[test]
fn the_key_table_is_bounded_and_forgets_the_least_recently_used() {
    let mut harness = BalancerHarness::without_origin(4);
    let (used, unused) = (400_001, 400_002);
    harness.serve_many_keys();
    let sets = (grow_set(&mut harness, used), grow_set(&mut harness, unused));
    for key in 1..=66_000 {
        harness.now += 0.1;
        harness.serve_read(key, key);
        if key % 1000 == 0 {
            harness.serve_read(300_000 + key, used);
        }
    }
    assert!(is_second_in_set(&mut harness, used, sets.0, 5_000_000));
    assert!(!is_second_in_set(&mut harness, unused, sets.1, 7_000_000));
}

#[test]
fn many_quiet_proxies_spread_a_hot_key_but_each_keeps_to_its_backend() {
    // Each of 200 proxies has one request at a time, so that none ever sees a load gap of M.
    let mut by_server = std::collections::BTreeMap::new();
    let mut cold_homes = std::collections::BTreeSet::new();
    for number in 0..200 {
        let mut harness = BalancerHarness::numbered(number, 10);
        // Every second request is for the hot key.
        let hosts: Vec<BackendNumber> = (0..40)
            .map(|n| {
                harness.serve_read(1_000 + n, 1_000 + n);
                harness.serve_read(2_000 + n, 7)
            })
            .collect();
        let last = hosts[39];
        assert!(hosts[20..].iter().filter(|host| **host == last).count() >= 18, "{hosts:?}");
        *by_server.entry(last).or_insert(0) += 1;
        // All proxies agree on the home of a key that is read once among many others.
        harness.serve_many_keys();
        cold_homes.insert(harness.serve_read(9_000, 9_999_999));
    }
    assert!(
        by_server.len() >= 7,
        "half of all requests are the fair load of five backends of ten: {by_server:?}"
    );
    assert!(by_server.values().all(|n| *n <= 50), "{by_server:?}");
    assert_eq!(cold_homes.len(), 1, "{cold_homes:?}");
}

#[test]
fn a_backend_that_refuses_connections_is_ejected_longer_each_time() {
    let mut harness = BalancerHarness::without_origin(6);
    let mut attempt_times = vec![];
    for id in 1..6000 {
        harness.now += 10.0;
        let Some((_, server)) = sent(&harness.request(read(id, id))) else { continue };
        let outcome = if server == 3 { Outcome::ConnectFailed } else { Outcome::Ok };
        if server == 3 {
            attempt_times.push(harness.now);
        }
        for (id, server) in sent_attempts(&harness.end(id, 0, server, outcome)) {
            assert_ne!(server, 3);
            harness.end(id, 1, server, Outcome::Ok);
        }
    }
    assert!((2..=5).contains(&attempt_times.len()), "{attempt_times:?}");
    assert!(attempt_times[1] - attempt_times[0] >= 3000.0);
}

#[test]
fn when_backends_are_slow_for_a_proxy_s_only_request_it_admits_fewer_and_recovers() {
    // Each of hundreds of proxies has one request in flight: its limits cannot decrease further.
    let mut harness = BalancerHarness::numbered(0, 4);
    let count_sent = |harness: &mut BalancerHarness, from: RequestNumber, latency: Milliseconds| {
        let mut sent_now = 0;
        for id in from..from + 300 {
            harness.now += 200.0;
            let Some((_, server)) = sent(&harness.request(read(id, id))) else { continue };
            sent_now += 1;
            harness.end_after(id, 0, server, Outcome::Ok, latency);
        }
        sent_now
    };
    assert_eq!(count_sent(&mut harness, 1, 10.0), 300);
    let slow = count_sent(&mut harness, 1_000, 390.0);
    assert!((5..60).contains(&slow), "{slow} of 300 requests sent");
    count_sent(&mut harness, 2_000, 10.0);
    assert!(count_sent(&mut harness, 3_000, 10.0) > 290);
}

/// Guards against a limit that is decreased for an overload that this proxy did not cause: a node
/// that stalls rejects all requests that waited at it, however few they are.
#[test]
fn a_node_that_rejects_one_of_few_requests_keeps_its_keys() {
    let mut harness = BalancerHarness::without_origin(6);
    harness.serve_many_keys();
    let home = harness.serve_read(1, 5);
    for id in 10..20 {
        harness.now += 200.0;
        assert_eq!(sent(&harness.request(read(id, 5))).unwrap().1, home);
        let retry = sent(&harness.end_after(id, 0, home, Outcome::Full, 98.0)).unwrap().1;
        assert_ne!(retry, home);
        harness.end(id, 1, retry, Outcome::Ok);
    }
    // Two requests at a time still go to the node; after ten decreases the limit would allow one.
    let hosts = [30, 31].map(|id| sent(&harness.request(read(id, 5))).unwrap().1);
    assert_eq!(hosts, [home; 2]);
}
