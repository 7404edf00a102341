use super::*;

fn origin() -> Origin {
    Origin::new(2, 100, 1000)
}

#[test]
fn calls_within_capacity_take_their_usual_time() {
    let mut origin = origin();

    assert!(origin.begin_call(0, 0).is_empty() && origin.begin_call(0, 1).is_empty());

    assert_eq!((origin.take_ended(99), origin.take_ended(100)), (vec![], vec![0, 1]));
}

#[test]
fn a_call_over_capacity_takes_longer() {
    let mut origin = origin();

    for caller in 0..3 {
        assert!(origin.begin_call(200, caller).is_empty());
    }

    // The third call takes (3/2)^2 times as long.
    assert_eq!((origin.take_ended(300), origin.calls_in_flight()), (vec![0, 1], 1));
}

#[test]
fn at_twice_its_capacity_it_is_down_for_a_while_and_all_calls_fail() {
    let mut origin = origin();
    for caller in [2, 0, 1] {
        assert!(origin.begin_call(301, caller).is_empty());
    }

    assert_eq!(origin.begin_call(302, 3), [2, 0, 1, 3]);

    assert_eq!((origin.outages, origin.begin_call(400, 7), origin.calls_in_flight()), (1, vec![7], 0));
    assert!(origin.begin_call(1302, 1).is_empty());
}
