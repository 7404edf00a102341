//! Tests of the state that a balancer keeps for a node: how long it lasts, and what a new process
//! of the node inherits.

mod common;

use common::*;
use pinetrail::interface::*;
use pinetrail::settings::Settings;

/// Sends reads of different keys until one is queued. Returns the ids of the reads that were sent.
fn send_until_queued(harness: &mut BalancerHarness, from: RequestNumber) -> Vec<RequestNumber> {
    (from..from + 100).take_while(|id| sent(&harness.request(read(*id, *id))).is_some()).collect()
}

/// Replaces the process of node 1 by a new one that is already warm.
fn restart_node(harness: &mut BalancerHarness) {
    harness.event(Event::EndpointList {
        form: ListForm::Delta,
        endpoints: vec![EndpointInfo { started_at: time(harness.now - 20_000.0), ..endpoint(1) }],
    });
}

/// Guards against attempts at an old process that use up the capacity of the new one.
#[test]
fn attempts_at_an_old_process_take_no_capacity_of_the_new_one() {
    let mut harness = BalancerHarness::without_origin(1);
    let before = send_until_queued(&mut harness, 1);
    restart_node(&mut harness);
    let after = send_until_queued(&mut harness, 1000);
    // The request that was queued is sent first.
    assert_eq!(after.len() + 1, before.len());
    for id in &before {
        harness.end(*id, 0, 1, Outcome::Ok);
    }
    assert!(
        sent(&harness.request(read(2000, 2000))).is_none(),
        "the end of an attempt at the old process freed capacity of the new one"
    );
}

/// Guards against a new process that is ejected, counts as an outlier or gets a lower limit because
/// attempts at the old process fail late.
#[test]
fn late_ends_of_an_old_process_do_not_count_against_the_new_one() {
    for outcome in [Outcome::ConnectFailed, Outcome::Reset, Outcome::Error, Outcome::Timeout, Outcome::Full] {
        let mut harness = BalancerHarness::without_origin(1);
        let before = send_until_queued(&mut harness, 1);
        restart_node(&mut harness);
        harness.now += 200.0;
        for id in &before {
            harness.event(Event::ClientGone(RequestId(*id)));
            harness.end_after(*id, 0, 1, outcome, 200.0);
        }
        let after = send_until_queued(&mut harness, 1000);
        assert!(after.len() + 1 >= before.len(), "{outcome:?}: {} of {}", after.len(), before.len());
    }
}

/// Guards against an ejection that grows with each of several connections that fail at the same
/// time.
#[test]
fn connections_that_fail_together_eject_a_node_no_longer_than_a_single_one() {
    let mut harness = BalancerHarness::without_origin(2);
    let ids = send_until_queued(&mut harness, 1);
    for id in &ids {
        harness.event(Event::ClientGone(RequestId(*id)));
    }
    for id in &ids {
        for server in 1..=2 {
            harness.end(*id, 0, server, Outcome::ConnectFailed);
        }
    }
    harness.now += 5001.0;
    assert!(send_until_queued(&mut harness, 1000).len() > 10, "a node was still ejected after 5 s");
}

/// Guards against a proxy that sends no attempts for 4 s after a short network partition, because
/// all nodes are ejected.
#[test]
fn when_most_of_the_fleet_is_ejected_each_node_gets_one_trial_at_a_time() {
    let mut harness = BalancerHarness::without_origin(3);
    let fail = |harness: &mut BalancerHarness, id| {
        let mut actions = harness.request(read(id, id));
        let mut tried = vec![];
        while let Some((_, server)) = sent(&actions) {
            actions = harness.end(id, tried.len() as u8, server, Outcome::ConnectFailed);
            tried.push(server);
        }
        tried.len()
    };
    assert_eq!(fail(&mut harness, 1), 3);
    harness.now += 700.0;
    assert!(send_until_queued(&mut harness, 50).is_empty(), "a trial was sent before the trial interval");
    harness.now += 600.0;
    let trials = send_until_queued(&mut harness, 100);
    assert_eq!(trials.len(), 3, "each node gets one trial");
    for id in &trials {
        for server in 1..=3 {
            harness.end(*id, 0, server, Outcome::Ok);
        }
    }
    assert!(send_until_queued(&mut harness, 200).len() > 20, "a node stayed excluded after its trial");
    // While only one of three nodes is ejected, that node gets no trial.
    let mut harness = BalancerHarness::without_origin(3);
    harness.request(read(1, 1));
    let (_, ejected) = sent(&harness.request(read(2, 2))).unwrap();
    harness.end(2, 0, ejected, Outcome::ConnectFailed);
    assert!((100..120).all(|id| sent(&harness.request(read(id, id))).is_none_or(|sent| sent.1 != ejected)));
}

/// Guards against a node that was removed and returns under the same id, but keeps the ejection of
/// its predecessor.
#[test]
fn a_node_that_returns_after_it_was_gone_counts_as_new_whatever_its_start() {
    for attempt_in_flight in [false, true] {
        let mut harness = BalancerHarness::without_origin(1);
        if attempt_in_flight {
            assert!(sent(&harness.request(read(1, 1))).is_some());
        }
        harness.request(read(2, 2));
        harness.end(2, 0, 1, Outcome::ConnectFailed);
        assert!(sent(&harness.request(read(3, 3))).is_none(), "the node is not ejected");
        harness.event(Event::EndpointList {
            form: ListForm::Delta,
            endpoints: vec![EndpointInfo { state: EndpointState::Gone, ..endpoint(1) }],
        });
        harness.event(Event::EndpointList { form: ListForm::Delta, endpoints: vec![endpoint(1)] });
        assert!(sent(&harness.request(read(4, 4))).is_some(), "attempt in flight: {attempt_in_flight}");
    }
}

/// Guards against a cold node that counts as warm because an outdated list states an earlier start.
#[test]
fn an_older_start_of_a_listed_node_does_not_make_it_warm() {
    let mut harness = BalancerHarness::without_origin(3);
    let cold = |harness: &BalancerHarness, id| EndpointInfo { started_at: time(harness.now), ..endpoint(id) };
    let list: Vec<EndpointInfo> = (1..=3).map(|id| cold(&harness, id)).collect();
    harness.event(Event::EndpointList { form: ListForm::Full, endpoints: list });
    harness.event(Event::EndpointList { form: ListForm::Full, endpoints: (1..=3).map(endpoint).collect() });
    let sent: usize = (1..50).map(|id| sent_attempts(&harness.request(read(id, id))).len()).sum();
    assert!((1..=24).contains(&sent), "{sent} of 49 requests sent, expected about 15");
}

/// Guards against a write that is sent to a cache node and never reaches the origin.
#[test]
fn a_write_goes_to_no_cache_node_when_the_origin_is_absent() {
    let mut harness = BalancerHarness::with_origin(4);
    let write = |id| Request { is_write: true, ..read(id, id) };
    assert_eq!(sent(&harness.request(write(1))), Some((1, ORIGIN)));
    harness.event(Event::EndpointList {
        form: ListForm::Delta,
        endpoints: vec![EndpointInfo { state: EndpointState::Draining, ..endpoint(ORIGIN) }],
    });
    assert!(sent_attempts(&harness.end(1, 0, ORIGIN, Outcome::Full)).is_empty());
    let arrival = harness.request(write(2));
    assert!(sent_attempts(&arrival).is_empty());
    assert_eq!(
        final_responses(&harness.fire_deadline(&arrival)),
        [&Action::Reject {
            request: RequestId(2),
            retry_after: span(250.0),
            reason: GiveUpReason::DeadlineReached
        }]
    );
}

/// Guards against a request that fails although a node in its deduplication scope could take the
/// retry.
#[test]
fn a_retry_goes_to_a_node_of_the_same_dedup_scope() {
    for key in 1..40 {
        let mut harness = BalancerHarness::without_origin(6);
        let request = Request { class: KEYED_ZONE, ..read(1, key) };
        let (_, first) = sent(&harness.request(request)).unwrap();
        let again = sent(&harness.end(1, 0, first, Outcome::Error)).map(|sent| endpoint(sent.1).zone);
        assert_eq!(again, Some(endpoint(first).zone), "key {key}");
    }
}

/// Guards against a request that waited for a fetch and is then sent to the node that holds the
/// value, although an attempt there has failed before.
#[test]
fn a_waiter_is_not_sent_to_a_node_where_it_has_failed() {
    let mut harness = BalancerHarness::with_origin(3);
    for id in 100..110 {
        // These requests deposit enough in the retry budget for a few retries.
        assert_ne!(harness.serve_read(id, id), 0);
    }
    let (_, home) = sent(&harness.request(read(1, 5))).unwrap();
    assert_eq!(sent(&harness.request(read(2, 5))), Some((2, home)));
    let (_, other) = sent(&harness.end(2, 0, home, Outcome::Error)).unwrap();
    assert_ne!(other, home);
    harness.end(1, 0, home, Outcome::Miss);
    assert!(
        sent_attempts(&harness.end(2, 1, other, Outcome::Miss)).is_empty(),
        "the request waits for the fetch"
    );
    let after = sent_attempts(&harness.end(1, 1, ORIGIN, Outcome::Ok));
    assert!(after.iter().all(|to| *to != (2, home)) && !after.is_empty(), "{after:?}");
}

/// Guards against a request that is queued for the origin although it has no attempt left.
#[test]
fn a_request_without_an_attempt_left_is_rejected_at_once() {
    let mut harness = BalancerHarness::with_origin(2);
    let mut settings = Settings::from_json(settings_json(true).as_bytes()).unwrap();
    settings.limits.max_attempts = 1;
    harness.balancer.apply_settings(settings);
    harness.event(Event::EndpointList {
        form: ListForm::Delta,
        endpoints: vec![EndpointInfo { state: EndpointState::Ready, ..endpoint(ORIGIN) }],
    });
    let (_, server) = sent(&harness.request(read(1, 5))).unwrap();
    // These writes use up the capacity of the origin.
    for id in 10..20 {
        harness.request(Request { is_write: true, ..read(id, id) });
    }
    assert_eq!(
        final_responses(&harness.end(1, 0, server, Outcome::Miss)),
        [&Action::Reject {
            request: RequestId(1),
            retry_after: span(250.0),
            reason: GiveUpReason::AttemptsUsedUp
        }]
    );
}

/// Guards against concurrency limits that still follow the group size of earlier settings.
#[test]
fn another_group_size_gives_each_proxy_another_part_of_a_node() {
    let sized = |size: u32| {
        let json = settings_json(false).replace(r#""GroupSize":3"#, &format!(r#""GroupSize":{size}"#));
        Settings::from_json(json.as_bytes()).unwrap()
    };
    let mut harness = BalancerHarness::without_origin(1);
    assert_eq!(send_until_queued(&mut harness, 1).len(), 10);
    harness.balancer.apply_settings(sized(2));
    assert_eq!(send_until_queued(&mut harness, 1000).len(), 6, "16 attempts are in flight in all");
    harness.balancer.apply_settings(sized(30));
    for id in 1..=10 {
        harness.end(id, 0, 1, Outcome::Ok);
    }
    assert!(send_until_queued(&mut harness, 2000).is_empty());
}

/// Returns one of 200 proxies whose only node has been slow for so long that few requests are
/// admitted.
fn slowed_balancer() -> BalancerHarness {
    let mut harness = BalancerHarness::numbered(1, 1);
    for id in 1..200 {
        harness.now += 1000.0;
        if sent(&harness.request(read(id, id))).is_some() {
            harness.end_after(id, 0, 1, Outcome::Ok, 390.0);
        }
    }
    harness
}

/// Guards against attempts that reached no backend but raise the admission probability.
#[test]
fn attempts_that_reach_no_backend_do_not_raise_admission() {
    let mut harness = slowed_balancer();
    let mut admitted = 0;
    for id in 1000..1400 {
        harness.now += 1000.0;
        if sent(&harness.request(read(id, id))).is_some() {
            admitted += 1;
            harness.event(Event::ClientGone(RequestId(id)));
            harness.end_after(id, 0, 1, Outcome::Moot, 0.0);
        }
    }
    assert!((1..60).contains(&admitted), "{admitted} of 400 requests admitted");
}

/// Guards against an admission probability that stays low after the group has shrunk: it is
/// adjusted only while the proxy has a small quota.
#[test]
fn a_group_that_shrinks_admits_every_request_again() {
    let mut harness = slowed_balancer();
    let admitted = |harness: &mut BalancerHarness, from: RequestNumber| {
        let ids = from..from + 20;
        ids.filter(|id| {
            sent(&harness.request(read(*id, *id))).map(|_| harness.end(*id, 0, 1, Outcome::Ok)).is_some()
        })
        .count()
    };
    harness.now += 1000.0;
    assert!(admitted(&mut harness, 1000) < 20);
    harness.balancer.apply_settings(Settings::from_json(settings_json(false).as_bytes()).unwrap());
    assert_eq!(admitted(&mut harness, 2000), 20);
}
