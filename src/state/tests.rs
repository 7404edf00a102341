//! The containers by themselves; what is decided with them is tested in `tests/`.

use super::average::RunningQuantile;
use super::{FetchTable, KeyEntry, MovingAverage, RequestQueue, Stage, TimerKind};
use crate::recent::Recent;

#[test]
fn a_timer_token_has_its_kind_in_the_top_bits_and_its_request_below() {
    let kinds =
        [TimerKind::Deadline, TimerKind::HalfObjective, TimerKind::Resubscribe, TimerKind::DispatchQueued];
    for (kind, number) in kinds.into_iter().zip(1..) {
        assert_eq!(kind.token(17), number << 60 | 17);
        assert_eq!(TimerKind::decode(kind.token(17)), Some((kind, 17)));
    }
    for unknown in [0, 17, 5 << 60, u64::MAX] {
        assert_eq!(TimerKind::decode(unknown), None, "{unknown:x}");
    }
}

#[test]
fn the_queue_returns_the_heaviest_of_a_stage_and_of_equals_the_last() {
    let mut queue = RequestQueue::default();
    for (id, stage, weight) in [
        (1, Stage::QueuedForBackend, 1.0),
        (2, Stage::QueuedForOrigin, 9.0),
        (3, Stage::QueuedForBackend, 2.0),
        (4, Stage::QueuedForBackend, 2.0),
    ] {
        queue.push(id, stage, weight);
    }
    queue.add_weight(1, 1.5);
    let order: Vec<_> = std::iter::from_fn(|| queue.pop_heaviest(Stage::QueuedForBackend)).collect();
    assert_eq!(order.iter().map(|queued| queued.id).collect::<Vec<_>>(), [1, 4, 3]);
    assert!(!queue.is_empty(), "the other stage is untouched");
}

#[test]
fn a_request_that_is_queued_again_gets_its_weight_back() {
    let mut queue = RequestQueue::default();
    queue.push(1, Stage::QueuedForBackend, 1.0);
    queue.add_weight(1, 4.0);
    let heavy = queue.pop_heaviest(Stage::QueuedForBackend).unwrap();
    assert!(!queue.restore_weight(heavy), "it is not queued");
    queue.push(1, Stage::QueuedForBackend, 1.0);
    assert!(queue.restore_weight(heavy));
    queue.push(2, Stage::QueuedForBackend, 3.0);
    assert_eq!(queue.pop_heaviest(Stage::QueuedForBackend).map(|queued| queued.id), Some(1));
}

#[test]
fn only_its_leader_takes_a_fetch_and_key_0_has_none() {
    let mut fetches = FetchTable::default();
    fetches.begin(0, 1, 7);
    assert!(fetches.get(0).is_none());
    fetches.begin(5, 1, 7);
    assert!(fetches.take_led_by(2, 5).is_none());
    assert_eq!(fetches.take_led_by(1, 5).map(|fetch| fetch.node), Some(7));
    assert!(fetches.get(5).is_none());
}

#[test]
fn a_set_changes_only_when_a_member_is_new_or_dropped() {
    let mut entry = KeyEntry::default();
    entry.change_members(1, None, 10.0);
    entry.change_members(2, None, 20.0);
    entry.change_members(1, None, 30.0);
    assert_eq!((&entry.members[..], entry.last_change), (&[1, 2][..], 20.0));
    entry.change_members(1, Some(2), 40.0);
    assert_eq!((&entry.members[..], entry.last_change), (&[1][..], 40.0));
}

#[test]
fn averages_move_towards_samples_and_a_quantile_settles_at_its_share() {
    let mut average = MovingAverage::default();
    average.update_or_start(0.5, 8.0);
    average.update_or_start(0.5, 4.0);
    assert!((average.value() - 6.0).abs() < 1e-9);
    let mut quantile = RunningQuantile::default();
    let above = (0..10_000u64).filter(|n| quantile.exceeded_by((n * 7919 % 100 + 1) as f64, 0.2)).count();
    assert!((1_800..2_200).contains(&above), "{above} of 10000");
}

#[test]
fn a_full_table_forgets_what_was_not_used_lately() {
    let mut table: Recent<u32> = Recent::new(4);
    for key in 1..=4 {
        *table.touch(key) = 1;
    }
    *table.touch(1) += 1;
    table.touch(5);
    assert_eq!((table.get(1), table.get(2), table.get(5)), (Some(&2), None, Some(&0)));
    assert_eq!(table.uses(), 6);
}
