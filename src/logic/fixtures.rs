//! Test fixtures that the unit tests of several rules share.

use crate::interface::{BackendId, Key, Outcome, Request, RequestId};
use crate::settings::{Class, DeduplicationScope, Idempotency, Limits, SafetyLimits};
use crate::state::PendingRequest;
use crate::time::{TimeSpan, Timestamp};

const DEDUPLICATION_WINDOW_MS: f64 = 300.0;

/// The safety limits with a fifth of the capacity at the start and a warm-up time of 10 s.
pub(super) const SAFETY_LIMITS: SafetyLimits = SafetyLimits {
    start_capacity: 0.2,
    warm_up_time: TimeSpan::from_ms(10_000.0),
    overload_multiple: 3.0,
    overload_time: TimeSpan::from_ms(1_500.0),
    max_poll_interval: TimeSpan::ZERO,
};

/// Returns a request that arrived at 0 ms, with one attempt at backend 1 for each of `outcomes`,
/// all sent at 0 ms.
pub(super) fn pending(
    idempotency: Idempotency,
    scope: DeduplicationScope,
    outcomes: &[Outcome],
) -> PendingRequest {
    let request = Request {
        id: RequestId(1),
        class: 0,
        tenant: 0,
        key: Key(5),
        budget: TimeSpan::from_ms(800.0),
        work_hint: None,
        is_repeat: false,
        is_write: false,
    };
    let class = Class {
        latency_objective: TimeSpan::from_ms(400.0),
        client_timeout: TimeSpan::from_ms(1_000.0),
        idempotency,
        deduplication_scope: scope,
        deduplication_window: TimeSpan::from_ms(DEDUPLICATION_WINDOW_MS),
        priority_weight: 1.0,
    };
    let limits = Limits {
        max_attempts: 3,
        idle_connection_timeout: TimeSpan::from_ms(60_000.0),
        max_retry_after: TimeSpan::from_ms(1_000.0),
    };
    let deadline = Timestamp::from_ms(800.0);
    let mut pending = PendingRequest::new(request, class, limits, deadline, TimeSpan::from_ms(10.0));
    for outcome in outcomes {
        let attempt = pending.begin_attempt(BackendId(1), Timestamp::ZERO);
        pending.end_attempt(attempt.number, *outcome);
    }
    pending
}
