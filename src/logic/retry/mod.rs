//! Retries: whether a request may be attempted once more, and where. Read [`check_attempt`] first.
//! What a retry may cost is in `budget`, what it may do twice in `idempotency`.

mod budget;
pub(super) mod idempotency;

pub(super) use budget::RetryBudget;

use crate::interface::{BackendId, GiveUpReason, Outcome};
use crate::state::{BackendTable, PendingRequest};
use crate::time::{TimeSpan, Timestamp};

/// An attempt has at least this long to be sent.
const MIN_SEND_TIME: TimeSpan = TimeSpan::from_ms(1.0);

/// Where a retry goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryTarget {
    /// To a cache node.
    CacheNode,
    /// To the origin.
    Origin,
}

/// What a retry costs the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryCost {
    /// Nothing.
    Free,
    /// One retry.
    One,
}

/// What is decided on time: the time now, and how long a decision may take to have its effect.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecisionTime {
    /// The time now.
    pub(super) now: Timestamp,
    /// How long after a decision its effect may come.
    pub(super) write_delay: TimeSpan,
    /// Shortest time between two batches of events.
    pub(super) tick: TimeSpan,
}

/// Decides: whether a request may be attempted once more, where that has no effect twice.
/// Inputs: the request with its class, limits and attempts, none of which is in flight; the time.
/// Reason: another attempt must have no second effect, must be within the number of attempts that
/// the deployment allows, and is of no use after the deadline.
/// Source: rules 1 and 2 (docs/decisions.md).
///
/// # Errors
///
/// The reason for which the request is given up.
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

/// Decides: whether a request may be attempted once more at this backend.
/// Inputs: as for [`check_attempt`]; the backend and all that are known.
/// Reason: a class may have its repeats dropped in one zone or cell only.
/// Source: rule 2 (docs/decisions.md).
///
/// # Errors
///
/// The reason for which the request is given up.
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

/// Decides: what a retry costs the retry budget.
/// Inputs: how the last attempt ended.
/// Reason: an attempt whose connection failed put no load on its backend.
pub(super) fn cost(pending: &PendingRequest) -> RetryCost {
    if pending.last_outcome() == Some(Outcome::ConnectFailed) {
        RetryCost::Free
    } else {
        RetryCost::One
    }
}

/// Which origin there is for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OriginAvailability {
    /// The deployment has none: cache nodes fetch by themselves.
    NotConfigured,
    /// There is one, and the endpoint list does not say that it takes requests.
    NotReady,
    /// There is one that takes requests.
    Ready,
}

/// Decides: where a retry goes.
/// Inputs: the request with its attempts; which origin there is.
/// Reason: a write that a cache node takes is lost, so that writes go to the origin wherever there
/// is one; a read that missed would miss again.
pub(super) fn target(pending: &PendingRequest, origin: OriginAvailability) -> RetryTarget {
    let has_missed = pending.has_outcome(Outcome::Miss);
    match origin {
        OriginAvailability::Ready if has_missed || pending.request.is_write => RetryTarget::Origin,
        OriginAvailability::NotReady if pending.request.is_write => RetryTarget::Origin,
        _ => RetryTarget::CacheNode,
    }
}

/// Decides: within which time the last byte of an attempt must be sent.
/// Inputs: the request with its class and attempts; the time left until its deadline; the time.
/// Reason: a connection may be established only when the backends no longer drop repeats.
/// Source: rule 2 (docs/decisions.md).
pub(super) fn send_within(pending: &PendingRequest, time_left: TimeSpan, time: DecisionTime) -> TimeSpan {
    let window_left = idempotency::window_left(pending, time).unwrap_or(time_left);
    time_left.min(window_left - time.tick).max(MIN_SEND_TIME)
}

#[cfg(test)]
mod tests;
