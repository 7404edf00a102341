//! Idempotency: whether another attempt, or a client's repeat after a rejection, could apply the
//! effect of a request twice. Read [`RepeatSafety`] first.
//!
//! Invariant: an attempt counts as executed unless its outcome shows that it never ran. A retry of
//! a request that may have executed could apply its effect twice.

use super::DecisionTime;
use crate::interface::{EndpointInfo, Outcome};
use crate::settings::{Class, DeduplicationScope, Idempotency};
use crate::state::{Attempt, BackendTable, PendingRequest};
use crate::time::TimeSpan;

/// The largest fraction of a deduplication window that is reserved for the write delay.
const MAX_WINDOW_FRACTION_FOR_WRITES: f64 = 0.5;

/// Whether a repeat of a request could apply the request's effect twice, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::logic) enum RepeatSafety {
    /// A repeat is safe because no earlier attempt can have executed.
    NeverExecuted,
    /// A repeat is safe because the request may execute any number of times.
    Idempotent,
    /// A repeat is safe because the backends drop repeats of the request.
    Deduplicated,
    /// A repeat is not safe: the effect of the request may be applied twice.
    Unsafe,
}

impl RepeatSafety {
    /// Returns whether a repeat cannot apply the effect of the request a second time.
    pub(in crate::logic) fn is_safe(self) -> bool {
        self != RepeatSafety::Unsafe
    }
}

/// Decides whether an attempt now, at a backend that drops repeats, could apply the effect of a
/// request twice.
///
/// Inputs: the request with its class and attempts; the times.
/// Reason: repeats are dropped only within the deduplication window.
/// Source: rule 2 (docs/decisions.md).
pub(in crate::logic) fn safety_in_window(pending: &PendingRequest, time: DecisionTime) -> RepeatSafety {
    repeat_safety(pending, |first| is_inside_window(first, &pending.class, time))
}

/// Decides whether an attempt at this backend, within the deduplication window, could apply the
/// effect of a request twice.
///
/// Inputs: the request with its class and attempts; the endpoint list's entries of this backend and
/// of all others.
/// Reason: repeats are dropped only among the backends of the class's deduplication scope.
/// Source: rule 2 (docs/decisions.md).
pub(in crate::logic) fn safety_at_backend(
    pending: &PendingRequest,
    target: &EndpointInfo,
    backends: &BackendTable,
) -> RepeatSafety {
    repeat_safety(pending, |first| {
        // Removed backends are kept as long as a pending request was sent to them.
        let Some(executed_at) = backends.get(&first.backend) else { return false };
        is_in_scope(pending.class.deduplication_scope, &executed_at.info, target)
    })
}

/// Decides whether a client's repeat of a request, at any backend, could apply the effect of the
/// request twice.
///
/// Inputs: the request with its class and attempts; the times.
/// Reason: a rejection invites the client to send the request again to any proxy.
/// Source: rule 2 (docs/decisions.md).
pub(in crate::logic) fn safety_anywhere(pending: &PendingRequest, time: DecisionTime) -> RepeatSafety {
    let is_everywhere = pending.class.deduplication_scope == DeduplicationScope::All;
    repeat_safety(pending, |first| is_everywhere && is_inside_window(first, &pending.class, time))
}

/// Returns the time left in which another attempt of a request with an idempotency key may be sent,
/// or `None` if no deduplication window applies.
pub(super) fn window_left(pending: &PendingRequest, time: DecisionTime) -> Option<TimeSpan> {
    let class = &pending.class;
    if class.idempotency != Idempotency::IdempotencyKey {
        return None;
    }
    let first = first_possible_execution(pending)?;
    Some(first.sent_at + class.deduplication_window - time.now - usable_write_delay(class, time))
}

fn repeat_safety(pending: &PendingRequest, is_dropped: impl Fn(&Attempt) -> bool) -> RepeatSafety {
    let Some(first) = first_possible_execution(pending) else { return RepeatSafety::NeverExecuted };
    match pending.class.idempotency {
        Idempotency::Idempotent => RepeatSafety::Idempotent,
        Idempotency::IdempotencyKey if is_dropped(first) => RepeatSafety::Deduplicated,
        Idempotency::IdempotencyKey | Idempotency::NotIdempotent => RepeatSafety::Unsafe,
    }
}

/// Returns the first attempt that may have executed, if any.
fn first_possible_execution(pending: &PendingRequest) -> Option<&Attempt> {
    pending.attempts.iter().find(|attempt| may_have_executed(attempt.outcome))
}

/// Returns whether an attempt with this outcome, or with none yet, may have executed.
fn may_have_executed(outcome: Option<Outcome>) -> bool {
    !outcome.is_some_and(Outcome::proves_not_run)
}

/// Returns whether the backends will still drop a repeat of an attempt when a repeat that is sent
/// now arrives.
fn is_inside_window(first: &Attempt, class: &Class, time: DecisionTime) -> bool {
    let usable_window = class.deduplication_window - usable_write_delay(class, time);
    time.now - first.sent_at < usable_window - time.tick
}

/// Returns the write delay, capped at [`MAX_WINDOW_FRACTION_FOR_WRITES`] of the class's
/// deduplication window.
fn usable_write_delay(class: &Class, time: DecisionTime) -> TimeSpan {
    time.write_delay.min(class.deduplication_window * MAX_WINDOW_FRACTION_FOR_WRITES)
}

/// Returns whether two backends drop repeats of each other's requests.
fn is_in_scope(scope: DeduplicationScope, executed_at: &EndpointInfo, target: &EndpointInfo) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => executed_at.zone == target.zone,
        DeduplicationScope::Cell => executed_at.cell == target.cell,
    }
}
