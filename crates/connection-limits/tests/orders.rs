//! Tests when and in which order connections are closed, and the estimates behind the decisions.

use pinetrail_connection_limits::{
    CloseOrder, CloseOrderReason, ConnectionId, ConnectionTable, DescriptorBudget, GrowthEstimator, Limits,
    Phase, ReuseEstimator, Timestamp, INTERVAL_STARTS,
};
use std::time::Duration;

/// The short idle timeout, before which a connection must be used again to count as reused.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The time for which the growth of the number of connections is estimated.
const GROWTH_HORIZON: Duration = Duration::from_millis(500);

fn at_ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn ids_and_reasons(orders: Vec<CloseOrder>) -> Vec<(ConnectionId, CloseOrderReason)> {
    orders.into_iter().map(|order| (order.id, order.reason)).collect()
}

fn table_of(capacity: usize) -> ConnectionTable {
    // Without a sample every connection of a kind has the same limit.
    ConnectionTable::new(Limits { sample_one_in: u64::MAX, ..Limits::default() }, capacity)
}

#[test]
fn silent_connections_are_evicted_first_and_one_with_a_running_command_never() {
    let mut table = table_of(5);
    for (id, at) in [(1, 0), (2, 10), (3, 20), (4, 30), (5, 40)] {
        table.insert(at_ms(at), id);
    }
    table.set_phase(at_ms(50), 1, Phase::CommandOpen);
    table.record_request(1);
    table.set_phase(at_ms(60), 2, Phase::CommandOpen);
    table.set_phase(at_ms(70), 2, Phase::Idle);
    table.set_phase(at_ms(80), 3, Phase::PartialFirstCommand);
    assert_eq!(ids_and_reasons(table.make_room(at_ms(500), 1)), [(4, CloseOrderReason::Evicted)]);
    assert_eq!(ids_and_reasons(table.make_room(at_ms(500), 1)), [(5, CloseOrderReason::Evicted)]);
    // A partial command is spared for 600 ms from the arrival of its connection on.
    assert_eq!(ids_and_reasons(table.make_room(at_ms(500), 9)), [(2, CloseOrderReason::Evicted)]);
    assert_eq!(ids_and_reasons(table.make_room(at_ms(620), 9)), [(3, CloseOrderReason::Evicted)]);
    assert_eq!(ids_and_reasons(table.make_room(at_ms(9000), 9)), []);
}

#[test]
fn a_close_order_applies_only_to_the_phase_that_it_names() {
    let mut table = table_of(10);
    table.insert(at_ms(0), 1);
    // Well-behaved clients may take 2 s for a command.
    assert_eq!(table.expired(at_ms(2400)), []);
    let first = table.expired(at_ms(2500))[0];
    assert_eq!((first.phase, first.reason), (Phase::Silent, CloseOrderReason::Overdue));
    assert_eq!(table.expired(at_ms(2550)), []);
    // The connection was used before it was closed: it stays open, and the order is outdated.
    let phase_number = table.set_phase(at_ms(2600), 1, Phase::CommandOpen);
    assert_ne!(phase_number, first.phase_number);
    assert_eq!(table.expired(at_ms(9000)), []);
    let idle = table.set_phase(at_ms(9000), 1, Phase::Idle);
    assert_eq!(table.expired(at_ms(19_000)), []);
    assert_eq!(table.expired(at_ms(20_000))[0].phase_number, idle);
}

#[test]
fn each_partial_read_of_a_response_restarts_its_timeout() {
    let mut table = table_of(10);
    table.insert(at_ms(0), 1);
    table.set_phase(at_ms(0), 1, Phase::CommandOpen);
    for at in [100, 19_100, 38_100] {
        table.set_phase(at_ms(at), 1, Phase::ResponseUnread);
        assert_eq!(table.expired(at_ms(at + 19_900)), []);
    }
    assert_eq!(ids_and_reasons(table.expired(at_ms(58_100))), [(1, CloseOrderReason::Overdue)]);
}

/// Guards against a crowd of clients that never read and hold their responses for long.
#[test]
fn unread_responses_beyond_their_budget_have_a_shorter_timeout() {
    let mut table = table_of(80);
    for id in 1..=40 {
        table.insert(at_ms(0), id);
        table.set_phase(at_ms(0), id, Phase::ResponseUnread);
    }
    assert_eq!(table.expired(at_ms(4900)), []);
    let orders = ids_and_reasons(table.expired(at_ms(5000)));
    assert_eq!(orders.len(), 30, "{orders:?}");
    assert!(orders.iter().all(|(_, reason)| *reason == CloseOrderReason::OverBudget), "{orders:?}");
}

/// Guards against a value that is cut off although it arrives, and against a client that makes no
/// progress and is never ordered to close.
#[test]
fn progress_restarts_the_time_of_a_partial_command_and_a_stop_does_not() {
    let mut table = table_of(10);
    table.insert(at_ms(0), 1);
    let first = table.set_phase(at_ms(10), 1, Phase::PartialFirstCommand);
    let overdue = ids_and_reasons(table.expired(at_ms(2500)));
    assert_eq!(overdue, [(1, CloseOrderReason::Overdue)]);
    let second = table.restart_phase(at_ms(2500), 1, at_ms(2000)).unwrap();
    assert_ne!(first, second);
    assert_eq!(table.expired(at_ms(4400)), []);
    assert_eq!(ids_and_reasons(table.expired(at_ms(4500))), [(1, CloseOrderReason::Overdue)]);
    assert_eq!(table.restart_phase(at_ms(4500), 1, at_ms(2000)), None);
}

#[test]
fn client_closes_lower_the_reuse_probability_and_reuses_raise_it() {
    let mut closed_by_client = ReuseEstimator::default();
    let before = closed_by_client.reuse_probability(0, IDLE_TIMEOUT);
    for _ in 0..50 {
        closed_by_client.record_client_close(at_ms(0), 0);
    }
    assert!(closed_by_client.reuse_probability(0, IDLE_TIMEOUT) < before / 2.0);
    let mut reused = ReuseEstimator::default();
    for _ in 0..50 {
        for interval in 0..9 {
            reused.record_survival(at_ms(0), interval);
        }
        reused.record_reuse(at_ms(0), 9);
    }
    assert_eq!(INTERVAL_STARTS[9], Duration::from_millis(1_600));
    assert!(reused.reuse_probability(0, IDLE_TIMEOUT) > 0.9);
    assert_eq!(reused.unlikely_to_return_from(0.3, IDLE_TIMEOUT), IDLE_TIMEOUT);
    // Old observations have little weight.
    reused.record_survival(at_ms(60_000), 0);
    assert!(reused.reuse_probability(9, IDLE_TIMEOUT) < 0.3);
}

#[test]
fn growth_is_estimated_before_the_capacity_is_used() {
    let mut growth = GrowthEstimator::default();
    for now in 0..200 {
        growth.record_arrival(at_ms(now));
    }
    assert!(growth.growth(at_ms(200), GROWTH_HORIZON) > 150.0);
    for now in 200..600 {
        growth.record_departure(at_ms(now));
    }
    assert_eq!(growth.growth(at_ms(600), GROWTH_HORIZON), 0.0);
}

/// Checks that each side keeps its reserve, and that no descriptor is given to both sides.
#[test]
fn the_budget_follows_backend_need_and_gives_no_descriptor_twice() {
    let mut budget = DescriptorBudget::new(360, 0.5, 0.25);
    assert_eq!(budget.client_limit(at_ms(0)), 270);
    budget.record_backend_need(at_ms(0), 100);
    assert_eq!(budget.client_limit(at_ms(0)), 360 - 128);
    budget.record_backend_need(at_ms(0), 1000);
    assert_eq!(budget.client_limit(at_ms(0)), 180);
    // Once the peak has decayed, clients get the descriptors back.
    assert_eq!(budget.client_limit(at_ms(60_000)), 270);
    for clients in 0..=270 {
        let backends = budget.backend_limit(clients);
        assert!(clients + backends <= 360 && backends >= 90);
    }
    // Clients that arrive while backends hold their maximum get the remaining descriptors.
    assert!(budget.has_room(at_ms(60_000), 179, 180) && !budget.has_room(at_ms(60_000), 180, 180));
}
