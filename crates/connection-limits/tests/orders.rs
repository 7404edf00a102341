//! Who is named to close, when, and in which order.

use pinetrail_connection_limits::{
    ConnectionTable, DescriptorBudget, GrowthEstimator, Limits, Phase, Reason, ReuseEstimator, EDGES,
};

fn named(orders: Vec<pinetrail_connection_limits::CloseOrder>) -> Vec<(u64, Reason)> {
    orders.into_iter().map(|order| (order.id, order.reason)).collect()
}

fn places(most: usize) -> ConnectionTable {
    // No sample: each connection is dealt with like all of its kind.
    ConnectionTable::new(Limits { sample_one_in: u64::MAX, ..Limits::default() }, most)
}

#[test]
fn room_is_made_by_those_that_said_nothing_and_never_by_one_at_work() {
    let mut places = places(5);
    for (id, at) in [(1, 0), (2, 10), (3, 20), (4, 30), (5, 40)] {
        places.insert(at, id);
    }
    places.set_phase(50, 1, Phase::AtWork);
    places.record_request(1);
    places.set_phase(60, 2, Phase::AtWork);
    places.set_phase(70, 2, Phase::Idle);
    places.set_phase(80, 3, Phase::FirstHalf);
    assert_eq!(named(places.make_room(500, 1)), [(4, Reason::NoRoom)]);
    assert_eq!(named(places.make_room(500, 1)), [(5, Reason::NoRoom)]);
    // Half a command is spared for 600 ms, counted from the connection on.
    assert_eq!(named(places.make_room(500, 9)), [(2, Reason::NoRoom)]);
    assert_eq!(named(places.make_room(620, 9)), [(3, Reason::NoRoom)]);
    assert_eq!(named(places.make_room(9000, 9)), []);
}

#[test]
fn an_order_counts_for_the_stay_that_it_names() {
    let mut places = places(10);
    places.insert(0, 1);
    // Honest clients may take 2 s over a command.
    assert_eq!(places.expired(2400), []);
    let first = places.expired(2500)[0];
    assert_eq!((first.phase, first.reason), (Phase::Silent, Reason::Overdue));
    assert_eq!(places.expired(2550), []);
    // It spoke before it was told: its place is its own again, and the order is about the past.
    let stay = places.set_phase(2600, 1, Phase::AtWork);
    assert_ne!(stay, first.seq);
    assert_eq!(places.expired(9000), []);
    let idle = places.set_phase(9000, 1, Phase::Idle);
    assert_eq!(places.expired(19_000), []);
    assert_eq!(places.expired(20_000)[0].seq, idle);
}

#[test]
fn an_answer_that_is_read_bit_by_bit_may_take_long() {
    let mut places = places(10);
    places.insert(0, 1);
    places.set_phase(0, 1, Phase::AtWork);
    for at in [100, 4100, 8100] {
        places.set_phase(at, 1, Phase::Unread);
        assert_eq!(places.expired(at + 4900), []);
    }
    assert_eq!(named(places.expired(13_100)), [(1, Reason::Overdue)]);
}

#[test]
fn those_that_leave_by_themselves_make_a_kind_hopeless_and_those_closed_do_not() {
    let mut left = ReuseEstimator::default();
    let before = left.reuse_probability(0, 2200);
    (0..50).for_each(|_| left.record_client_close(0, 0));
    assert!(left.reuse_probability(0, 2200) < before / 2.0);
    let mut spoke = ReuseEstimator::default();
    for _ in 0..50 {
        (0..9).for_each(|interval| spoke.record_survival(0, interval));
        spoke.record_reuse(0, 9);
    }
    assert_eq!(EDGES[9], 1600);
    assert!(spoke.reuse_probability(0, 2200) > 0.9);
    assert_eq!(spoke.unlikely_to_return_from(0.3, 2200), 2200);
    // What was seen long ago counts little.
    spoke.record_survival(60_000, 0);
    assert!(spoke.reuse_probability(9, 2200) < 0.3);
}

#[test]
fn growth_is_pressure_before_the_places_are_taken() {
    let mut flow = GrowthEstimator::default();
    (0..200).for_each(|at| flow.arrive(at));
    assert!(flow.growth(200, 500.0) > 150.0);
    (200..600).for_each(|at| flow.leave(at));
    assert_eq!(flow.growth(600, 500.0), 0.0);
}

/// Guards against a descriptor given twice, and against a side that can take all from the other.
#[test]
fn the_split_follows_need_and_never_gives_a_descriptor_twice() {
    let mut split = DescriptorBudget::new(360, 0.5, 0.25);
    assert_eq!(split.client_limit(0), 270);
    split.record_backend_need(0, 100);
    assert_eq!(split.client_limit(0), 360 - 128);
    split.record_backend_need(0, 1000);
    assert_eq!(split.client_limit(0), 180);
    // The need is over: the places go back.
    assert_eq!(split.client_limit(60_000), 270);
    for consumers in 0..=270 {
        let providers = split.backend_limit(consumers);
        assert!(consumers + providers <= 360 && providers >= 90);
    }
    // Providers hold all they may when a crowd comes: it is held to what is left.
    assert!(split.has_room(60_000, 179, 180) && !split.has_room(60_000, 180, 180));
}
