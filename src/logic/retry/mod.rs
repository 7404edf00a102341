//! Retries: whether and where a request may be attempted again. Read [`check_attempt`] first.
//! `budget` limits the number of retries; `idempotency` decides whether a retry could apply the
//! request's effect twice.

mod budget;
pub(super) mod idempotency;

pub(super) use budget::RetryBudget;

use crate::interface::{BackendId, GiveUpReason, Outcome};
use crate::state::{BackendTable, PendingRequest};
use crate::time::{TimeSpan, Timestamp};

/// The shortest time that an attempt is given for sending its last byte.
const MIN_SEND_TIME: TimeSpan = TimeSpan::from_ms(1.0);

/// The tier to which a retry is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryTarget {
    /// The retry is sent to a cache node.
    CacheNode,
    /// The retry is sent to the origin.
    Origin,
}

/// The cost of a retry to the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryCost {
    /// The retry is not charged to the budget.
    Free,
    /// The retry is charged to the budget.
    One,
}

/// The times on which decisions about attempts depend: the time now, and how long after a decision
/// its effect may occur.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecisionTime {
    /// The time now.
    pub(super) now: Timestamp,
    /// The longest time from a decision until the attempt is written.
    pub(super) write_delay: TimeSpan,
    /// The shortest time between two batches of events.
    pub(super) tick: TimeSpan,
}

/// Decides whether a request may be attempted (again) at a backend that drops repeats.
///
/// Inputs: the request with its class, limits and attempts, none of which is in flight; the times.
/// Reason: another attempt must not apply the request's effect twice, must not exceed the number of
/// attempts that the settings allow, and is of no use after the deadline.
/// Source: rules 1 and 2 (docs/decisions.md).
///
/// # Errors
///
/// Returns the reason why the request is given up.
pub(super) fn check_attempt(pending: &PendingRequest, time: DecisionTime) -> Result<(), GiveUpReason> {
    if !idempotency::safety_in_window(pending, time).is_safe() {
        Err(GiveUpReason::RepeatUnsafe)
    } else if pending.attempts.len() >= pending.limits.max_attempts as usize {
        Err(GiveUpReason::AttemptsUsedUp)
    } else if time.now >= pending.deadline {
        Err(GiveUpReason::DeadlineReached)
    } else {
        Ok(())
    }
}

/// Decides whether a request may be attempted (again) at this backend.
///
/// Inputs: as for [`check_attempt`]; the backend; all known backends.
/// Reason: the repeats of a class may be dropped only within one zone or cell.
/// Source: rule 2 (docs/decisions.md).
///
/// # Errors
///
/// Returns the reason why the request is given up.
pub(super) fn check_attempt_at(
    pending: &PendingRequest,
    target: BackendId,
    backends: &BackendTable,
    time: DecisionTime,
) -> Result<(), GiveUpReason> {
    let Some(target) = backends.get(&target) else { return Err(GiveUpReason::BackendUnknown) };
    check_attempt(pending, time)?;
    if idempotency::safety_at_backend(pending, &target.info, backends).is_safe() {
        Ok(())
    } else {
        Err(GiveUpReason::RepeatUnsafe)
    }
}

/// Decides whether a retry is charged to the retry budget.
///
/// Inputs: the outcome of the last attempt.
/// Reason: an attempt whose connection failed put no load on its backend.
pub(super) fn cost(pending: &PendingRequest) -> RetryCost {
    if pending.last_outcome() == Some(Outcome::ConnectFailed) {
        RetryCost::Free
    } else {
        RetryCost::One
    }
}

/// Whether an origin is configured and accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OriginAvailability {
    /// The deployment has no origin: cache nodes fetch missing keys themselves.
    NotConfigured,
    /// An origin is configured, but the endpoint list does not list it as ready.
    NotReady,
    /// An origin is configured and accepts requests.
    Ready,
}

/// Decides to which tier a retry is sent.
///
/// Inputs: the request with its attempts; the availability of the origin.
/// Reason: a write that a cache node accepts never reaches the origin and is lost, so that writes
/// go to the origin wherever one is configured; a read that missed would miss again.
pub(super) fn target(pending: &PendingRequest, origin: OriginAvailability) -> RetryTarget {
    let has_missed = pending.has_outcome(Outcome::Miss);
    match origin {
        OriginAvailability::Ready if has_missed || pending.request.is_write => RetryTarget::Origin,
        OriginAvailability::NotReady if pending.request.is_write => RetryTarget::Origin,
        _ => RetryTarget::CacheNode,
    }
}

/// Decides the time within which the last byte of an attempt must be sent.
///
/// Inputs: the request with its class and attempts; the time left until its deadline; the times.
/// Reason: by the time a slow connection is established, the backends may no longer drop repeats.
/// Source: rule 2 (docs/decisions.md).
pub(super) fn send_within(pending: &PendingRequest, time_left: TimeSpan, time: DecisionTime) -> TimeSpan {
    let window_left = idempotency::window_left(pending, time).unwrap_or(time_left);
    time_left.min(window_left - time.tick).max(MIN_SEND_TIME)
}

#[cfg(test)]
mod tests;
