//! Tests how long ids are remembered, and what happens when there is no room for more.

use super::*;

fn after(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

#[test]
fn an_id_is_remembered_for_the_retention_and_then_forgotten() {
    let (mut ids, start) = (ExecutedIds::new(10), Instant::now());
    ids.insert(hash_id("a"), start);
    assert_eq!(ids.status("a", after(start, 60)), IdStatus::Executed);
    assert_eq!(ids.status("b", after(start, 60)), IdStatus::Unknown);
    assert_eq!(ids.status("a", after(start, 61)), IdStatus::Unknown);
    assert!(ids.generations.is_empty());
}

/// Guards against ids that are forgotten under a flood of others, and against a table that grows
/// without a bound.
#[test]
fn without_room_new_ids_wait_until_the_oldest_may_be_forgotten() {
    let (mut ids, start) = (ExecutedIds::new(2), Instant::now());
    ids.insert(hash_id("a"), start);
    ids.insert(hash_id("b"), after(start, 1));
    assert_eq!(ids.status("c", after(start, 2)), IdStatus::NoRoom { retry_after: Duration::from_secs(4) });
    assert_eq!(ids.status("a", after(start, 5)), IdStatus::Executed);
    assert_eq!(ids.status("c", after(start, 6)), IdStatus::Unknown);
    ids.insert(hash_id("c"), after(start, 6));
    assert_eq!(ids.status("a", after(start, 6)), IdStatus::NoRoom { retry_after: Duration::from_secs(1) });
    assert_eq!(ids.status("b", after(start, 6)), IdStatus::Executed);
    assert_eq!(ids.len(), 2);
}

/// Guards against sound writes that are rejected because the ids of others fill the table: within the
/// time for which each id is kept at the least, there is room for what one core accepts.
#[test]
fn there_is_room_for_the_ids_of_a_busy_process_with_little_memory() {
    const WRITES_PER_SECOND: usize = 10_000;
    const MIN_MEMORY_MB: usize = 24;
    const STEP: Duration = Duration::from_micros(100);
    let (mut ids, start) = (ExecutedIds::new(ExecutedIds::capacity_within(MIN_MEMORY_MB)), Instant::now());
    for number in 0..WRITES_PER_SECOND * 12 {
        let now = start + STEP * number as u32;
        let id = number.to_string();
        assert_eq!(ids.status(&id, now), IdStatus::Unknown, "write {number}");
        ids.insert(hash_id(&id), now);
    }
}
