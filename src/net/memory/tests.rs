//! Tests of the memory budget.

use super::MemoryBudget;

/// Guards against streams that hold much for their clients while memory is short.
#[test]
fn less_of_a_stream_is_held_while_memory_is_short() {
    let budget = MemoryBudget::new(32);
    let plentiful = budget.stream_window_bytes();
    let half = budget.reserve(MemoryBudget::bytes_within(32) / 2).unwrap();
    assert!(budget.stream_window_bytes() < plentiful);
    drop(half);
    assert_eq!(budget.stream_window_bytes(), plentiful);
}

#[test]
fn a_reservation_gives_back_what_it_no_longer_needs() {
    let budget = MemoryBudget::new(1);
    let limit = MemoryBudget::bytes_within(1);
    let mut reservation = budget.reserve(limit).unwrap();
    assert!(budget.reserve(1).is_none());

    reservation.shrink_to(limit - 10);
    reservation.shrink_to(limit);

    assert_eq!(reservation.bytes(), limit - 10);
    assert!(budget.reserve(11).is_none() && budget.reserve(10).is_some());
    drop(reservation);
    assert!(budget.reserve(limit).is_some());
}
