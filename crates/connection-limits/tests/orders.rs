//! Which connections are to be closed, when, and in which order; and the estimates behind it.

use pinetrail_connection_limits::{
    CloseOrder, ConnectionId, ConnectionTable, DescriptorBudget, GrowthEstimator, Limits, Phase, Reason,
    ReuseEstimator, EDGES,
};

fn ids_and_reasons(orders: Vec<CloseOrder>) -> Vec<(ConnectionId, Reason)> {
    orders.into_iter().map(|order| (order.id, order.reason)).collect()
}

fn table_of(capacity: usize) -> ConnectionTable {
    // No sample: each connection is treated like all of its kind.
    ConnectionTable::new(Limits { sample_one_in: u64::MAX, ..Limits::default() }, capacity)
}

#[test]
fn silent_connections_make_room_first_and_one_with_an_open_command_never() {
    let mut table = table_of(5);
    for (id, at) in [(1, 0), (2, 10), (3, 20), (4, 30), (5, 40)] {
        table.insert(at, id);
    }
    table.set_phase(50, 1, Phase::CommandOpen);
    table.record_request(1);
    table.set_phase(60, 2, Phase::CommandOpen);
    table.set_phase(70, 2, Phase::Idle);
    table.set_phase(80, 3, Phase::PartialFirstCommand);
    assert_eq!(ids_and_reasons(table.make_room(500, 1)), [(4, Reason::Evicted)]);
    assert_eq!(ids_and_reasons(table.make_room(500, 1)), [(5, Reason::Evicted)]);
    // A command that is not whole is spared for 600 ms from the connection's arrival on.
    assert_eq!(ids_and_reasons(table.make_room(500, 9)), [(2, Reason::Evicted)]);
    assert_eq!(ids_and_reasons(table.make_room(620, 9)), [(3, Reason::Evicted)]);
    assert_eq!(ids_and_reasons(table.make_room(9000, 9)), []);
}

#[test]
fn a_close_order_is_for_the_phase_that_it_names() {
    let mut table = table_of(10);
    table.insert(0, 1);
    // Honest clients may take 2 s for a command.
    assert_eq!(table.expired(2400), []);
    let first = table.expired(2500)[0];
    assert_eq!((first.phase, first.reason), (Phase::Silent, Reason::Overdue));
    assert_eq!(table.expired(2550), []);
    // It was used before it was closed: it may stay again, and the order is outdated.
    let seq = table.set_phase(2600, 1, Phase::CommandOpen);
    assert_ne!(seq, first.seq);
    assert_eq!(table.expired(9000), []);
    let idle = table.set_phase(9000, 1, Phase::Idle);
    assert_eq!(table.expired(19_000), []);
    assert_eq!(table.expired(20_000)[0].seq, idle);
}

#[test]
fn a_response_that_is_read_bit_by_bit_may_take_long() {
    let mut table = table_of(10);
    table.insert(0, 1);
    table.set_phase(0, 1, Phase::CommandOpen);
    for at in [100, 4100, 8100] {
        table.set_phase(at, 1, Phase::ResponseUnread);
        assert_eq!(table.expired(at + 4900), []);
    }
    assert_eq!(ids_and_reasons(table.expired(13_100)), [(1, Reason::Overdue)]);
}

#[test]
fn connections_that_clients_close_make_reuse_unlikely_and_reused_ones_likely() {
    let mut closed_by_client = ReuseEstimator::default();
    let before = closed_by_client.reuse_probability(0, 2200);
    for _ in 0..50 {
        closed_by_client.record_client_close(0, 0);
    }
    assert!(closed_by_client.reuse_probability(0, 2200) < before / 2.0);
    let mut reused = ReuseEstimator::default();
    for _ in 0..50 {
        for interval in 0..9 {
            reused.record_survival(0, interval);
        }
        reused.record_reuse(0, 9);
    }
    assert_eq!(EDGES[9], 1600);
    assert!(reused.reuse_probability(0, 2200) > 0.9);
    assert_eq!(reused.unlikely_to_return_from(0.3, 2200), 2200);
    // What was seen long ago counts little.
    reused.record_survival(60_000, 0);
    assert!(reused.reuse_probability(9, 2200) < 0.3);
}

#[test]
fn growth_shows_before_the_capacity_is_used() {
    let mut growth = GrowthEstimator::default();
    for now in 0..200 {
        growth.arrive(now);
    }
    assert!(growth.growth(200, 500.0) > 150.0);
    for now in 200..600 {
        growth.leave(now);
    }
    assert_eq!(growth.growth(600, 500.0), 0.0);
}

/// Guards against a descriptor given twice, and against a side that can take all from the other.
#[test]
fn the_budget_follows_need_and_never_gives_a_descriptor_twice() {
    let mut budget = DescriptorBudget::new(360, 0.5, 0.25);
    assert_eq!(budget.client_limit(0), 270);
    budget.record_backend_need(0, 100);
    assert_eq!(budget.client_limit(0), 360 - 128);
    budget.record_backend_need(0, 1000);
    assert_eq!(budget.client_limit(0), 180);
    // The need is over: clients get the descriptors back.
    assert_eq!(budget.client_limit(60_000), 270);
    for clients in 0..=270 {
        let backends = budget.backend_limit(clients);
        assert!(clients + backends <= 360 && backends >= 90);
    }
    // Backends hold all they may when a crowd arrives: it gets the rest.
    assert!(budget.has_room(60_000, 179, 180) && !budget.has_room(60_000, 180, 180));
}
