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
