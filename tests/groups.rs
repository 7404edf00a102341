//! Tests of the joint behaviour of hundreds of proxies that do not communicate and have little
//! traffic each.

mod common;

use common::*;
use pinetrail::interface::*;

#[test]
fn a_cold_backend_gets_half_of_its_collapse_load_from_all_proxies_together() {
    // If each proxy sent one request at first, the backend would get hundreds.
    let (mut cold, mut warm) = (0, 0);
    for number in 0..300 {
        let mut harness = BalancerHarness::numbered(number, 8);
        harness.serve_many_keys();
        let started = harness.now;
        harness.event(Event::EndpointList {
            form: ListForm::Delta,
            endpoints: vec![EndpointInfo { started_at: time(started), ..endpoint(3) }],
        });
        for n in 0..20 {
            match harness.serve_read(n + 1, u64::from(number) * 100 + n + 1) {
                3 => cold += 1,
                _ => warm += 1,
            }
        }
    }
    // With start capacity 0.2 and an overload multiple of 3, half of the collapse load is 0.3 of a
    // warm backend's share at first.
    let share = f64::from(cold) / (f64::from(warm) / 7.0);
    assert!((0.15..0.4).contains(&share), "{cold} reads at the cold backend, {warm} at the others");
}

#[test]
fn when_the_whole_fleet_is_cold_each_node_gets_no_more_than_its_fraction() {
    let mut sent_now = 0;
    for number in 0..300 {
        let mut harness = BalancerHarness::numbered(number, 0);
        let started = harness.now;
        let list = (1..=8).map(|id| EndpointInfo { started_at: time(started), ..endpoint(id) }).collect();
        harness.event(Event::EndpointList { form: ListForm::Full, endpoints: list });
        for n in 1..=10 {
            if let Some((id, server)) = sent(&harness.request(read(n, u64::from(number) * 100 + n))) {
                sent_now += 1;
                harness.end(id, 0, server, Outcome::Ok);
            }
        }
    }
    assert!((600..1200).contains(&sent_now), "{sent_now} of 3000 reads sent, 900 expected");
}

#[test]
fn retries_of_all_proxies_together_are_bounded_when_everything_fails() {
    let (mut first_attempts, mut retries) = (0, 0);
    for number in 0..300 {
        let mut harness = BalancerHarness::numbered(number, 10);
        for id in 1..=10 {
            harness.now += 1000.0;
            let mut actions = harness.request(read(id, id));
            first_attempts += sent_attempts(&actions).len();
            for attempt in 0..4 {
                let Some((_, server)) = sent(&actions) else { break };
                actions = harness.end(id, attempt, server, Outcome::Error);
                retries += sent_attempts(&actions).len();
            }
        }
    }
    assert!(
        first_attempts > 1000 && retries <= 300 + 3000 / 5,
        "{first_attempts} first attempts, {retries} retries"
    );
}

#[test]
fn a_restarted_proxy_with_only_its_cached_list_sends_keys_where_it_did() {
    let (mut before, mut after) = (BalancerHarness::numbered(7, 20), BalancerHarness::numbered(7, 0));
    after.event(Event::EndpointList { form: ListForm::Cached, endpoints: (1..=20).map(endpoint).collect() });
    before.serve_many_keys();
    after.serve_many_keys();
    let same = (1..300).filter(|id| before.serve_read(*id, *id) == after.serve_read(*id, *id)).count();
    assert!(same > 290, "{same} of 299 keys went to the same backend");
}

#[test]
fn a_response_overdue_by_half_the_objective_lowers_admission_at_once() {
    // In a burst, slow attempts end seconds later: admission cannot wait for their ends.
    let mut harness = BalancerHarness::numbered(1, 10);
    let mut overdue = vec![];
    for id in 1..=15 {
        let actions = harness.request(read(id, id));
        let overdue_token = |a: &Action| {
            if let Action::SetRequestTimer { delay, token, .. } = a {
                (*delay == span(200.0)).then_some(*token)
            } else {
                None
            }
        };
        overdue.extend(actions.iter().find_map(overdue_token));
    }
    assert_eq!(overdue.len(), 15);
    harness.now += 200.0;
    for token in overdue {
        harness.event(Event::Timer(token));
    }
    let admitted =
        (100..300).filter(|id| final_responses(&harness.request(read(*id, *id))).is_empty()).count();
    assert!(admitted < 40, "{admitted} of 200 admitted");
}

#[test]
fn a_request_of_higher_priority_weight_is_admitted_more_often() {
    let mut harness =
        BalancerHarness::numbered_with(1, 10, |json| json.replacen(r#""Worth":1.0"#, r#""Worth":5.0"#, 1));
    let low_weight_read = |id| Request { class: KEYED_ALL, ..read(id, id) };
    for id in 1..=60 {
        harness.now += 300.0;
        if let Some((id, server)) = sent(&harness.request(read(id, id))) {
            harness.end_after(id, 0, server, Outcome::Ok, [10.0, 390.0, 390.0][id as usize % 3]);
        }
    }
    // The backends no longer respond, so admission depends on the admission probability alone.
    let (mut high, mut low) = (0, 0);
    for id in (1000..1600).step_by(2) {
        high += usize::from(final_responses(&harness.request(read(id, id))).is_empty());
        low += usize::from(final_responses(&harness.request(low_weight_read(id + 1))).is_empty());
    }
    assert!(high > low + 30, "admitted: {high} of priority weight 5, {low} of priority weight 1");
}

#[test]
fn unusual_group_sizes_and_numbers_are_accepted() {
    for (size, number) in [(0, 0), (1, 9), (u32::MAX, u32::MAX), (2, 4_000_000_000)] {
        let with_ids = |json: String| {
            json.replace(r#""GroupSize":200"#, &format!(r#""GroupSize":{size}"#))
                .replace(r#""MyNumber":0"#, &format!(r#""MyNumber":{number}"#))
        };
        for servers in [0, 1, 5] {
            let mut harness = BalancerHarness::numbered_with(0, servers, with_ids);
            let arrivals: Vec<_> = (1..20).map(|id| harness.request(read(id, id))).collect();
            let sent_now = arrivals.iter().filter(|actions| sent(actions).is_some()).count();
            assert_eq!(sent_now > 0, servers > 0, "group size {size}, number {number}, {servers} backends");
        }
    }
}

#[test]
fn admission_bounds_the_fetches_of_all_proxies_at_a_slow_origin() {
    // One fetch at a time of each proxy would be hundreds at the origin, more than any limit
    // allows.
    let mut fetched = [0; 2];
    for (slow, latency) in [(0, 10.0), (1, 399.0)] {
        for number in 0..100 {
            let with_origin_kind = |json: String| json.replace(r#""OriginKind":-1"#, r#""OriginKind":1"#);
            let mut harness = BalancerHarness::numbered_with(number, 8, with_origin_kind);
            harness.event(Event::EndpointList { form: ListForm::Delta, endpoints: vec![endpoint(ORIGIN)] });
            for id in 1..=30 {
                harness.now += 500.0;
                let Some((_, server)) = sent(&harness.request(read(id, id))) else { continue };
                if sent(&harness.end(id, 0, server, Outcome::Miss)) == Some((id, ORIGIN)) {
                    fetched[slow] += 1;
                    harness.end_after(id, 1, ORIGIN, Outcome::Ok, latency);
                }
            }
        }
    }
    assert!(
        fetched[0] == 3000 && fetched[1] < 1500,
        "fetches from a fast and from a slow origin: {fetched:?}"
    );
}
