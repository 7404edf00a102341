use super::idempotency::RepeatSafety;
use super::*;
use crate::interface::EndpointInfo;
use crate::logic::fixtures::pending;
use crate::settings::{DeduplicationScope, Idempotency};
use crate::state::Backend;

fn at(ms: f64) -> DecisionTime {
    DecisionTime {
        now: Timestamp::from_ms(ms),
        write_delay: TimeSpan::from_ms(20.0),
        tick: TimeSpan::from_ms(1.0),
    }
}

fn backends() -> BackendTable {
    let backend = |id, zone, cell| {
        let info = EndpointInfo { backend: BackendId(id), zone, cell, ..EndpointInfo::default() };
        (BackendId(id), Backend { info, ..Backend::default() })
    };
    BackendTable::from([backend(1, 0, 0), backend(2, 0, 1), backend(3, 1, 0)])
}

#[test]
fn only_an_attempt_that_never_executed_may_be_repeated_in_a_class_that_is_not_idempotent() {
    use Outcome::{Cancelled, ConnectFailed, Error, Full, Miss, Moot, Reset, Timeout};
    for outcome in [ConnectFailed, Full, Miss, Moot] {
        let pending = pending(Idempotency::NotIdempotent, DeduplicationScope::All, &[outcome]);
        assert_eq!(check_attempt(&pending, at(10.0)), Ok(()), "{outcome:?}");
    }
    for outcome in [Cancelled, Error, Reset, Timeout] {
        let pending = pending(Idempotency::NotIdempotent, DeduplicationScope::All, &[outcome]);
        assert_eq!(check_attempt(&pending, at(10.0)), Err(GiveUpReason::RepeatUnsafe), "{outcome:?}");
    }
}

#[test]
fn a_request_is_attempted_within_its_attempts_and_its_deadline() {
    let retried = |outcomes: &[Outcome]| pending(Idempotency::Idempotent, DeduplicationScope::All, outcomes);
    assert_eq!(check_attempt(&retried(&[Outcome::Error; 2]), at(799.0)), Ok(()));
    assert_eq!(check_attempt(&retried(&[Outcome::Error; 3]), at(10.0)), Err(GiveUpReason::AttemptsUsedUp));
    assert_eq!(check_attempt(&retried(&[]), at(800.0)), Err(GiveUpReason::DeadlineReached));
}

#[test]
fn a_keyed_request_is_repeated_inside_its_window_less_the_write_delay_and_the_tick() {
    let pending = pending(Idempotency::IdempotencyKey, DeduplicationScope::All, &[Outcome::Timeout]);
    assert_eq!(idempotency::safety_in_window(&pending, at(278.0)), RepeatSafety::Deduplicated);
    assert_eq!(idempotency::safety_in_window(&pending, at(279.0)), RepeatSafety::Unsafe);
    assert_eq!(send_within(&pending, TimeSpan::from_ms(700.0), at(100.0)).as_ms(), 179.0);
}

#[test]
fn a_keyed_request_is_repeated_only_in_its_deduplication_scope() {
    use DeduplicationScope::{All, Cell, Zone};
    let backends = backends();
    for (scope, target, is_allowed) in
        [(All, 3, true), (Zone, 2, true), (Zone, 3, false), (Cell, 2, false), (Cell, 3, true)]
    {
        let pending = pending(Idempotency::IdempotencyKey, scope, &[Outcome::Timeout]);
        let checked = check_attempt_at(&pending, BackendId(target), &backends, at(10.0));
        assert_eq!(checked.is_ok(), is_allowed, "{scope:?} {target}");
        assert_eq!(idempotency::safety_anywhere(&pending, at(10.0)).is_safe(), scope == All);
    }
}

#[test]
fn an_unknown_backend_is_never_attempted() {
    let pending = pending(Idempotency::Idempotent, DeduplicationScope::All, &[]);
    let checked = check_attempt_at(&pending, BackendId(9), &backends(), at(10.0));
    assert_eq!(checked, Err(GiveUpReason::BackendUnknown));
}

#[test]
fn a_retry_goes_to_the_origin_after_a_miss_and_for_a_write() {
    use OriginAvailability::{NotConfigured, NotReady, Ready};
    let read = |outcome| pending(Idempotency::Idempotent, DeduplicationScope::All, &[outcome]);
    let mut write = read(Outcome::Error);
    write.request.is_write = true;
    for (pending, origin, expected) in [
        (&read(Outcome::Error), Ready, RetryTarget::CacheNode),
        (&read(Outcome::Miss), Ready, RetryTarget::Origin),
        (&read(Outcome::Miss), NotReady, RetryTarget::CacheNode),
        (&write, Ready, RetryTarget::Origin),
        (&write, NotReady, RetryTarget::Origin),
        (&write, NotConfigured, RetryTarget::CacheNode),
    ] {
        assert_eq!(target(pending, origin), expected, "{origin:?}");
    }
}

#[test]
fn a_budget_pays_for_one_retry_in_five_requests_and_keeps_ten() {
    let mut budget = RetryBudget::new();
    assert!(budget.withdraw().is_ok());
    assert!(budget.withdraw().is_err());
    for _ in 0..6 {
        budget.deposit();
    }
    assert!(budget.withdraw().is_ok());
    assert!(budget.withdraw().is_err());
    for _ in 0..1_000 {
        budget.deposit();
    }
    assert_eq!((0..20).filter(|_| budget.withdraw().is_ok()).count(), 10);
}

#[test]
fn a_retry_after_a_failed_connection_is_free() {
    let failed = |outcome| pending(Idempotency::Idempotent, DeduplicationScope::All, &[outcome]);
    assert_eq!(cost(&failed(Outcome::ConnectFailed)), RetryCost::Free);
    assert_eq!(cost(&failed(Outcome::Timeout)), RetryCost::One);
}
