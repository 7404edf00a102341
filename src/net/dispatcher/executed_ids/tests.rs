//! Tests how long ids are remembered, and what happens when there is no room for more.

use super::*;

fn after(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

#[test]
fn an_id_is_remembered_for_the_retention_and_then_forgotten() {
    let (mut ids, start) = (ExecutedIds::new(10), Instant::now());
    ids.insert(hash_id("a"), start);
    assert_eq!(ids.status("a", after(start, 59)), IdStatus::Executed);
    assert_eq!(ids.status("b", after(start, 59)), IdStatus::Unknown);
    assert_eq!(ids.status("a", after(start, 60)), IdStatus::Unknown);
    assert!(ids.by_age.is_empty() && ids.hashes.is_empty());
}

/// Guards against ids that are forgotten under a flood of others, and against a table that grows
/// without a bound.
#[test]
fn without_room_new_ids_wait_until_the_oldest_may_be_forgotten() {
    let (mut ids, start) = (ExecutedIds::new(2), Instant::now());
    ids.insert(hash_id("a"), start);
    ids.insert(hash_id("b"), after(start, 1));
    assert_eq!(ids.status("c", after(start, 2)), IdStatus::NoRoom { retry_after: Duration::from_secs(3) });
    assert_eq!(ids.status("a", after(start, 2)), IdStatus::Executed);
    assert_eq!(ids.status("c", after(start, 5)), IdStatus::Unknown);
    ids.insert(hash_id("c"), after(start, 5));
    assert_eq!(ids.status("a", after(start, 5)), IdStatus::NoRoom { retry_after: Duration::from_secs(1) });
    assert_eq!((ids.by_age.len(), ids.hashes.len()), (2, 2));
}
