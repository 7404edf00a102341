//! Unit tests of the containers. The decisions that use them are tested in [`crate::logic`] and in
//! `tests/`.

use super::average::RunningQuantile;
use super::timer::FiredTimer;
use super::{FetchTable, KeyEntry, MovingAverage, TimerKind};
use crate::interface::{BackendId, Key, RequestId};
use crate::recent::LruTable;
use crate::time::Timestamp;

#[test]
fn a_timer_token_has_its_kind_in_the_top_bits_and_its_request_below() {
    let kinds =
        [TimerKind::Deadline, TimerKind::ShedQueued, TimerKind::Resubscribe, TimerKind::DispatchQueued];
    for (kind, number) in kinds.into_iter().zip(1..) {
        assert_eq!(kind.token(RequestId(17)), number << 60 | 17);
        assert_eq!(
            TimerKind::decode(kind.token(RequestId(17))),
            Some(FiredTimer { kind, request: RequestId(17) })
        );
    }
    for unknown in [0, 17, 5 << 60, u64::MAX] {
        assert_eq!(TimerKind::decode(unknown), None, "{unknown:x}");
    }
}

#[test]
fn only_its_leader_takes_a_fetch_and_a_request_without_key_has_none() {
    let mut fetches = FetchTable::default();
    fetches.begin(Key::NONE, RequestId(1), BackendId(7));
    assert!(fetches.get(Key::NONE).is_none());
    fetches.begin(Key(5), RequestId(1), BackendId(7));
    assert!(fetches.remove_if_leader(RequestId(2), Key(5)).is_none());
    assert_eq!(fetches.remove_if_leader(RequestId(1), Key(5)).map(|fetch| fetch.node), Some(BackendId(7)));
    assert!(fetches.get(Key(5)).is_none());
}

#[test]
fn a_set_changes_only_when_a_backend_is_new_or_dropped() {
    let mut entry = KeyEntry::default();
    entry.change_set(BackendId(1), None, Timestamp::from_ms(10.0));
    entry.change_set(BackendId(2), None, Timestamp::from_ms(20.0));
    entry.change_set(BackendId(1), None, Timestamp::from_ms(30.0));
    assert_eq!(
        (&entry.endpoint_set[..], entry.last_change),
        (&[BackendId(1), BackendId(2)][..], Timestamp::from_ms(20.0))
    );
    entry.change_set(BackendId(1), Some(BackendId(2)), Timestamp::from_ms(40.0));
    assert_eq!((&entry.endpoint_set[..], entry.last_change), (&[BackendId(1)][..], Timestamp::from_ms(40.0)));
}

#[test]
fn averages_move_towards_samples_and_a_quantile_settles_at_its_share() {
    let mut average = MovingAverage::default();
    average.update_or_init(0.5, 8.0);
    average.update_or_init(0.5, 4.0);
    assert!((average.value() - 6.0).abs() < 1e-9);
    let mut quantile = RunningQuantile::default();
    let above =
        (0..10_000u64).filter(|n| quantile.record_and_compare((n * 7919 % 100 + 1) as f64, 0.2)).count();
    assert!((1_800..2_200).contains(&above), "{above} of 10000");
}

#[test]
fn a_full_table_forgets_what_was_not_used_lately() {
    let mut table: LruTable<u64, u32> = LruTable::new(4);
    for key in 1..=4 {
        *table.touch(key) = 1;
    }
    *table.touch(1) += 1;
    table.touch(5);
    assert_eq!((table.get(1), table.get(2), table.get(5)), (Some(&2), None, Some(&0)));
    assert_eq!(table.use_count(), 6);
}
