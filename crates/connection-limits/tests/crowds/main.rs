//! Tests the connection table with many scripted clients in virtual time. Without sockets or clocks
//! each run gives the same results.

mod crowd;

use crowd::*;
use pinetrail_connection_limits::*;
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn silent_connections_do_not_displace_honest_clients() {
    let mut crowd = Crowd::new(225, 128);
    let rates = [(Behavior::Silent, 50), (Behavior::OneRequest, 250)];
    crowd.run(millis(3000), &rates);
    crowd.rejected_per_thousand();
    crowd.run(millis(20_000), &rates);
    // If each connection stayed idle for 2 s, there would be 500 idle connections, but only 128
    // connections of honest clients may be open.
    assert!(crowd.rejected_per_thousand() <= 5);
    let silent = crowd.table.counts(crowd.now()).silent;
    assert!(silent <= 50 / 2, "{silent} connections have sent nothing");
}

#[test]
fn at_low_pressure_only_overdue_connections_are_closed() {
    let mut crowd = Crowd::new(1000, 1000);
    crowd.run(millis(20_000), &[(Behavior::Silent, 20), (Behavior::RequestEvery(millis(1900)), 5)]);
    assert_eq!(crowd.closed.keys().copied().collect::<Vec<_>>(), [CloseOrderReason::Overdue]);
    assert_eq!(crowd.longest_held, BTreeMap::from([(Behavior::Silent, millis(2500))]));
    assert_eq!(crowd.closed_before_reuse, 0);
}

#[test]
fn a_byte_now_and_then_does_not_keep_a_connection_open() {
    let mut crowd = Crowd::new(225, 128);
    let rates = [(Behavior::SlowSender, 100), (Behavior::OneRequest, 200)];
    crowd.run(millis(2000), &rates);
    crowd.rejected_per_thousand();
    crowd.run(millis(10_000), &rates);
    assert!(crowd.rejected_per_thousand() <= 10);
    assert!(crowd.longest_held[&Behavior::SlowSender] <= millis(2500));
    let partial = crowd.table.counts(crowd.now()).partial_command;
    assert!(partial <= 100 * 7 / 10, "{partial} connections have a partial command");
}

#[test]
fn clients_with_a_connection_for_each_request_are_served_beside_a_silent_crowd() {
    let mut crowd = Crowd::new(80, 80);
    // 25 connections have an open command at a time. The silent connections alone would be 100 if
    // each stayed open for 2 s.
    crowd.run(millis(1000), &[(Behavior::OneRequestAndCloses, 250), (Behavior::Silent, 50)]);
    crowd.rejected_per_thousand();
    crowd.run(millis(5000), &[(Behavior::OneRequestAndCloses, 250), (Behavior::Silent, 50)]);
    assert_eq!(crowd.rejected_per_thousand(), 0);
    assert_eq!(crowd.closed.keys().filter(|reason| **reason == CloseOrderReason::Evicted).count(), 0);
}

/// Replays a recorded restart: for 1.5 s after the second start, 576 clients per second send a
/// greeting and keep their connection, alongside the silent and the honest clients.
#[test]
fn service_recovers_within_seconds_from_a_crowd_at_the_start() {
    let mut crowd = Crowd::new(225, 128);
    let always = [(Behavior::Silent, 45), (Behavior::OneRequest, 250)];
    let crowded = [(Behavior::Silent, 45), (Behavior::OneRequest, 250), (Behavior::GreetingOnly, 576)];
    crowd.run(millis(1500), &crowded);
    crowd.rejected_per_thousand();
    crowd.run(millis(1500), &crowded);
    assert!(crowd.rejected_per_thousand() <= 20);
    crowd.run(millis(5000), &always);
    assert!(crowd.rejected_per_thousand() <= 2);
}

/// Checks that clients that arrive while backends hold their maximum get the clients' reserve, and
/// that no descriptor is given to both sides.
#[test]
fn clients_keep_their_reserve_while_backends_hold_their_maximum_and_get_more_after() {
    let mut budget = DescriptorBudget::new(360, 0.5, 0.25);
    budget.record_backend_need(Timestamp::ZERO, 500);
    let mut backends = budget.backend_limit(0);
    let mut crowd = Crowd::new(budget.client_limit(Timestamp::ZERO), 180);
    assert_eq!((backends, budget.client_limit(Timestamp::ZERO)), (180, 180));
    let mut served_share = Vec::new();
    for second in 0..30u64 {
        for _ in 0..100 {
            crowd.table.set_capacity(budget.client_limit(crowd.now()));
            crowd.run(millis(10), &[(Behavior::Silent, 50), (Behavior::OneRequest, 250)]);
            assert!(crowd.table.open_connections() + backends <= 360, "more descriptors than the total");
        }
        served_share.push(1000 - crowd.rejected_per_thousand());
        // Requests to backends end, and their idle connections are closed.
        backends = (180 - 4 * second as usize).max(60);
    }
    assert!(served_share[3..].iter().all(|share| *share >= 990), "{served_share:?}");
    assert!(budget.client_limit(crowd.now()) > 260);
}

#[test]
fn late_returning_clients_keep_their_connections_and_never_returning_ones_lose_them() {
    let mut crowd = Crowd::new(225, 200);
    // 60 clients keep their connections. Then, per second, 100 clients connect and send one
    // request, and 50 clients connect and send nothing.
    crowd.run(millis(1000), &[(Behavior::RequestEvery(millis(1900)), 60)]);
    crowd.run(millis(4000), &[]);
    // A few connections may be closed before the life tables have enough evidence.
    assert!(
        crowd.closed_before_reuse <= 6,
        "{} of 60 reused connections were closed at first",
        crowd.closed_before_reuse
    );
    crowd.closed_before_reuse = 0;
    crowd.run(millis(20_000), &[(Behavior::OneRequest, 100), (Behavior::Silent, 50)]);
    assert!(
        crowd.closed_before_reuse <= 3,
        "{} of 60 reused connections were closed later",
        crowd.closed_before_reuse
    );
    assert_eq!(crowd.rejected, 0);
}

#[test]
fn the_table_adapts_to_changed_client_behavior_within_seconds() {
    let mut crowd = Crowd::new(225, 128);
    crowd.run(millis(1000), &[(Behavior::RequestEvery(millis(50)), 40)]);
    crowd.run(millis(4000), &[]);
    assert_eq!(crowd.closed_before_reuse, 0);
    // From now on each of these clients sends only one more request, and keeps its connection.
    for behavior in crowd.behaviors.values_mut() {
        *behavior = Behavior::OneRequest;
    }
    let rates = [(Behavior::OneRequest, 250), (Behavior::Silent, 45)];
    crowd.run(millis(2000), &rates);
    crowd.rejected_per_thousand();
    crowd.run(millis(5000), &rates);
    assert!(crowd.rejected_per_thousand() <= 5);
}

#[test]
fn the_same_events_give_the_same_orders() {
    let run = || {
        let mut crowd = Crowd::new(100, 90);
        crowd.run(
            millis(5000),
            &[(Behavior::Silent, 70), (Behavior::OneRequest, 150), (Behavior::RequestEvery(millis(300)), 20)],
        );
        (crowd.closed.into_iter().collect::<Vec<_>>(), crowd.last_id, crowd.rejected)
    };
    assert_eq!(run(), run());
}

/// The activity that a server stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    Nothing,
    Accepting,
}

/// Guards against closed connections at a planned restart, when their clients could not connect to
/// this server again.
#[test]
fn a_server_that_stops_accepting_closes_no_connection_that_may_be_used_again() {
    let closed_after = |stop: Stop| {
        let mut crowd = Crowd::new(150, 140);
        crowd.run(millis(4000), &[(Behavior::OneRequest, 250), (Behavior::Silent, 50)]);
        if stop == Stop::Accepting {
            crowd.table.stop_accepting();
        }
        let before = crowd.closed.get(&CloseOrderReason::UnlikelyToReturn).map_or(0, Vec::len);
        crowd.run(millis(400), &[]);
        crowd.closed.get(&CloseOrderReason::UnlikelyToReturn).map_or(0, Vec::len) - before
    };
    assert!(closed_after(Stop::Nothing) > 10);
    assert_eq!(closed_after(Stop::Accepting), 0);
}

/// The results of serving the recorded clients. Rejections are per 1000 honest clients.
#[derive(Debug)]
struct Figures {
    descriptors: usize,
    /// The rejections in the first 3 s.
    rejected_at_first: usize,
    /// The rejections in the 20 s after the first 3 s.
    rejected_later: usize,
    /// The number of open connections at the end.
    open_connections: usize,
    /// The maximum idle time after one request, at the end.
    limit_after_one_request: Duration,
}

/// Serves the recorded clients with different numbers of descriptors. docs/connection-limits.md
/// quotes the printed figures.
#[test]
fn the_recorded_crowd_is_served_on_few_descriptors_and_on_many() {
    let rates = [(Behavior::OneRequest, 250), (Behavior::Silent, 45)];
    let figures = [256, 384, 1024].map(|descriptors: usize| {
        let budget = DescriptorBudget::new(descriptors - 24, 0.5, 0.25);
        let mut crowd = Crowd::new(budget.client_limit(Timestamp::ZERO), descriptors / 3);
        crowd.run(millis(3000), &rates);
        let rejected_at_first = crowd.rejected_per_thousand();
        crowd.run(millis(20_000), &rates);
        let counts = crowd.table.counts(crowd.now());
        Figures {
            descriptors,
            rejected_at_first,
            rejected_later: crowd.rejected_per_thousand(),
            open_connections: counts.open_connections,
            limit_after_one_request: counts.idle_limits.after_one_request,
        }
    });
    for run in &figures {
        println!(
            "{} descriptors: rejected of 1000 {} and {}, {} connections, limit {} ms",
            run.descriptors,
            run.rejected_at_first,
            run.rejected_later,
            run.open_connections,
            run.limit_after_one_request.as_millis()
        );
    }
    let is_served = |figures: &Figures| figures.rejected_at_first <= 350 && figures.rejected_later <= 5;
    assert!(figures.iter().all(is_served), "{figures:?}");
}
